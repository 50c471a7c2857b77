#include "acaciasill/daemon/call_context.h"

#include <array>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "acaciasill/support/hash.h"

namespace acaciasill::daemon {
namespace {

constexpr std::size_t signature_bytes = 12;

absl::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

std::string sign(std::string_view fields, const wire::request_id& id,
                 support::hmac_signer& signer) {
  const std::string signed_text = absl::StrCat(view(fields), "|", id.high, "|", id.low);
  return absl::BytesToHexString(signer.sign(signed_text).substr(0, signature_bytes));
}

} // namespace

std::string format_context(const call_context& context, support::hmac_signer& signer) {
  const std::string fields =
      absl::StrCat(static_cast<int>(context.rank), ".", static_cast<int>(context.depth), ".",
                   context.deadline.time_since_epoch().count(), ".",
                   absl::BytesToHexString(context.organisation));
  return absl::StrCat(fields, ".", sign(fields, context.id, signer));
}

std::optional<call_context> parse_context(std::string_view text, const wire::request_id& id,
                                          support::hmac_signer& signer) {
  const auto last = text.rfind('.');
  if (last == std::string_view::npos) {
    return std::nullopt;
  }
  const auto fields = text.substr(0, last);
  if (!support::constant_time_equal(text.substr(last + 1), sign(fields, id, signer))) {
    return std::nullopt;
  }
  const std::vector<std::string> parts = absl::StrSplit(view(fields), '.');
  int rank = 0;
  int depth = 0;
  std::int64_t deadline = 0;
  if (parts.size() != 4 || !absl::SimpleAtoi(parts[0], &rank) ||
      !absl::SimpleAtoi(parts[1], &depth) || !absl::SimpleAtoi(parts[2], &deadline)) {
    return std::nullopt;
  }
  call_context context;
  context.id = id;
  context.rank = static_cast<std::uint8_t>(rank);
  context.depth = static_cast<std::uint8_t>(depth);
  context.deadline = support::time_point(support::duration(deadline));
  context.organisation = absl::HexStringToBytes(parts[3]);
  return context;
}

} // namespace acaciasill::daemon
