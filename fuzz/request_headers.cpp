// Parses lines "name: value" as header fields. Accepted fields must be within their bounds, and
// formatting and parsing them again must yield the same value.

#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "acaciasill/net/call_headers.h"
#include "acaciasill/wire/codec.h"

using namespace acaciasill;

namespace {

// Aborts, which libFuzzer reports as a crash, if the condition is false.
void require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

std::vector<wire::header_field> parse_lines(std::string_view text) {
  std::vector<wire::header_field> fields;
  while (!text.empty()) {
    const auto end = text.find('\n');
    const auto line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    const auto colon = line.find(": ");
    if (colon != std::string_view::npos) {
      fields.push_back({std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
    }
  }
  return fields;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto headers = net::parse_call_headers(parse_lines(text));
  if (!headers.ok()) {
    return 0;
  }
  require(headers->organisation.size() <= wire::max_name_bytes);
  require(headers->idempotency_key.size() <= wire::max_idempotency_key_bytes);
  require(headers->deadline.value_or(net::max_deadline) <= net::max_deadline);
  require(headers->retry_budget.value_or(0) <= net::max_retry_budget);
  const auto round_trip = net::parse_call_headers(net::format_call_headers(*headers));
  require(round_trip.ok() && *round_trip == *headers);
  return 0;
}
