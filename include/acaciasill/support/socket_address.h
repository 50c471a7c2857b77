#ifndef ACACIASILL_SUPPORT_SOCKET_ADDRESS_H
#define ACACIASILL_SUPPORT_SOCKET_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Texts of the form "ip:port", with brackets around an IPv6 address.
namespace acaciasill::support {

// Parts of such a text. The host has not been checked.
struct host_and_port {
  std::string host;
  bool has_brackets = false;
  std::uint16_t port = 0;

  bool operator==(const host_and_port&) const = default;
};

// Returns the parts; nullopt if there is no port or it exceeds 65535.
std::optional<host_and_port> split_address(std::string_view text);

// Whether a server can have the address: an IP address and a port other than 0.
bool is_server_address(std::string_view text);

} // namespace acaciasill::support

#endif
