#include "acaciasill/net/peer_settings.h"

#include <asio/ip/address.hpp>

#include "acaciasill/support/result_code.h"
#include "acaciasill/support/socket_address.h"

namespace acaciasill::net {
namespace {

using support::make_error;
using support::result_code;

} // namespace

absl::Status check_settings(const peer_settings& settings) {
  if (settings.peer_key.empty() && !settings.allow_unauthenticated) {
    return make_error(result_code::peer_not_authenticated,
                      "set peer_key, or allow_unauthenticated: true");
  }
  if (settings.max_calls == 0 || settings.links_per_peer == 0 || settings.max_links == 0 ||
      settings.max_connections == 0 || settings.max_backlog_bytes == 0) {
    return make_error(result_code::out_of_range, "peer connection limits must be greater than 0");
  }
  const support::milliseconds zero{0};
  if (settings.connect_timeout <= zero || settings.stall_timeout <= zero ||
      settings.idle_timeout <= zero || settings.min_backoff <= zero ||
      settings.max_backoff < settings.min_backoff) {
    return make_error(result_code::out_of_range,
                      "peer timeouts must be greater than 0 and max_backoff at least min_backoff");
  }
  return absl::OkStatus();
}

absl::StatusOr<peer_address> parse_peer_address(std::string_view text) {
  const auto error = [text] {
    return make_error(result_code::out_of_range,
                      "expected an IP address and port, got: " + std::string(text.substr(0, 64)));
  };
  const auto parts = support::split_address(text);
  if (!parts) {
    return error();
  }
  asio::error_code address_error;
  const auto address = asio::ip::make_address(parts->host, address_error);
  if (address_error || address.is_v6() != parts->has_brackets) {
    return error();
  }
  return peer_address(address, parts->port);
}

} // namespace acaciasill::net
