// Decodes the input as a response of the platform. The first byte selects the operation, the second
// the status; the rest of the first line is the entity tag and the remaining lines are the body.
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/net/platform_protocol.h"
#include "acaciasill/support/hash.h"

namespace {

using namespace acaciasill;

control::platform_operation choose_operation(std::uint8_t selector) {
  switch (selector % 6) {
  case 0:
    return control::read_row{"head/configuration"};
  case 1:
    return control::list_rows{"history/", 10};
  case 2:
    return control::write_rows{{{"k", "v", 1}}};
  case 3:
    return control::write_rows{{{"k", "v", 1}, {"l", "w", 0}}};
  case 4:
    return control::read_object{support::sha256_hex("abc")};
  default:
    return control::write_object{support::sha256_hex("abc"), "abc"};
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::array<std::uint16_t, 8> statuses = {200, 201, 204, 400, 404, 412, 429, 503};
  if (size < 2) {
    return 0;
  }
  const std::string rest(reinterpret_cast<const char*>(data) + 2, size - 2);
  const auto line_end = rest.find('\n');
  net::http_response response;
  response.status = statuses[data[1] % statuses.size()];
  response.headers = {{"ETag", rest.substr(0, line_end)}};
  response.body = line_end == std::string::npos ? "" : rest.substr(line_end + 1);
  const auto operation = choose_operation(data[0]);
  const auto answer = net::decode_answer(7, operation, response);
  const bool is_object_read = std::holds_alternative<control::read_object>(operation);
  if (is_object_read && answer.end == control::platform_end::done && answer.bytes != "abc") {
    std::abort(); // Only the object that matches the digest may be accepted.
  }
  for (const auto& row : answer.rows) {
    static_cast<void>(control::decode_configuration_head(row.value));
  }
  static_cast<void>(net::percent_decode(rest));
  return 0;
}
