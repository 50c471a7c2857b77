#include "acaciasill/support/socket_address.h"

#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace acaciasill::support {

std::optional<host_and_port> split_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  host_and_port result;
  auto host = text.substr(0, colon);
  result.has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  result.host = result.has_brackets ? host.substr(1, host.size() - 2) : host;
  const auto port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), result.port);
  if (error != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  return result;
}

bool is_server_address(std::string_view text) {
  // The system's parser stops at a zero byte.
  if (text.find('\0') != std::string_view::npos) {
    return false;
  }
  in6_addr address{};
  const auto parts = split_address(text);
  return parts && parts->port != 0 &&
         ::inet_pton(parts->has_brackets ? AF_INET6 : AF_INET, parts->host.c_str(), &address) == 1;
}

} // namespace acaciasill::support
