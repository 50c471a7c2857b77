#include "acaciasill/net/load_answer.h"

#include "absl/strings/str_format.h"

#include "acaciasill/support/hash.h"

namespace acaciasill::net {
namespace {

constexpr std::string_view checksum_prefix = "end=";
constexpr std::size_t checksum_digits = 16;

std::string format_hash(std::uint64_t hash) {
  return absl::StrFormat("%016x", hash);
}

// Returns the first two lines, which identify the request.
std::string format_id_lines(std::string_view request_id, std::uint64_t body_hash) {
  std::string text = "id=";
  text.append(request_id).append("\nbody=").append(format_hash(body_hash)).append("\n");
  return text;
}

} // namespace

std::string format_answer(const load_answer& answer, std::size_t padding_bytes) {
  std::string text = format_id_lines(answer.request_id, answer.body_hash);
  text.append("service=").append(answer.service).append("\n");
  text.append(padding_bytes, '.');
  text.append("\n");
  const auto hash = support::hash64(text);
  text.append(checksum_prefix).append(format_hash(hash)).append("\n");
  return text;
}

answer_check check_answer(std::string_view text, std::string_view request_id,
                          std::uint64_t body_hash) {
  const std::size_t trailer_bytes = checksum_prefix.size() + checksum_digits + 1;
  if (text.size() < trailer_bytes) {
    return answer_check::truncated;
  }
  const auto hashed_text = text.substr(0, text.size() - trailer_bytes);
  const auto expected_trailer =
      std::string(checksum_prefix).append(format_hash(support::hash64(hashed_text))).append("\n");
  if (text.substr(hashed_text.size()) != expected_trailer) {
    return answer_check::truncated;
  }
  const auto expected_id_lines = format_id_lines(request_id, body_hash);
  return hashed_text.substr(0, expected_id_lines.size()) == expected_id_lines
             ? answer_check::intact
             : answer_check::mismatched;
}

} // namespace acaciasill::net
