#include "acaciasill/net/load_answer.h"

#include "absl/strings/str_format.h"

#include "acaciasill/support/hash.h"

namespace acaciasill::net {
namespace {

constexpr std::string_view end_mark = "end=";
constexpr std::size_t hash_digits = 16;

std::string hash_text(std::uint64_t hash) {
  return absl::StrFormat("%016x", hash);
}

// The first two lines, which name the request.
std::string head(std::string_view request_id, std::uint64_t body_hash) {
  std::string text = "id=";
  text.append(request_id).append("\nbody=").append(hash_text(body_hash)).append("\n");
  return text;
}

} // namespace

std::string format_answer(const load_answer& answer, std::size_t fill_bytes) {
  std::string text = head(answer.request_id, answer.body_hash);
  text.append("service=").append(answer.service).append("\n");
  text.append(fill_bytes, '.');
  text.append("\n");
  const auto hash = support::hash64(text);
  text.append(end_mark).append(hash_text(hash)).append("\n");
  return text;
}

answer_check check_answer(std::string_view text, std::string_view request_id,
                          std::uint64_t body_hash) {
  const std::size_t tail = end_mark.size() + hash_digits + 1;
  if (text.size() < tail) {
    return answer_check::cut;
  }
  const auto covered = text.substr(0, text.size() - tail);
  const auto expected =
      std::string(end_mark).append(hash_text(support::hash64(covered))).append("\n");
  if (text.substr(covered.size()) != expected) {
    return answer_check::cut;
  }
  const auto expected_head = head(request_id, body_hash);
  return covered.substr(0, expected_head.size()) == expected_head ? answer_check::whole
                                                                  : answer_check::foreign;
}

} // namespace acaciasill::net
