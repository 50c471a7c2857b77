#include "acaciasill/net/peer_settings.h"

#include <charconv>

#include <asio/ip/address.hpp>

#include "acaciasill/support/result_code.h"

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
    return make_error(result_code::out_of_range, "a bound of the peer settings is nought");
  }
  const support::milliseconds none{0};
  if (settings.connect_timeout <= none || settings.stall_timeout <= none ||
      settings.idle_timeout <= none || settings.min_backoff <= none ||
      settings.max_backoff < settings.min_backoff) {
    return make_error(result_code::out_of_range, "a time of the peer settings");
  }
  return absl::OkStatus();
}

absl::StatusOr<peer_address> parse_peer_address(std::string_view text) {
  const auto error = [text] {
    return make_error(result_code::out_of_range,
                      "not an IP number and port: " + std::string(text.substr(0, 64)));
  };
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return error();
  }
  std::string host(text.substr(0, colon));
  const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (has_brackets) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, problem] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (problem != std::errc() || end != port_text.data() + port_text.size()) {
    return error();
  }
  asio::error_code failure;
  const auto address = asio::ip::make_address(host, failure);
  if (failure || address.is_v6() != has_brackets) {
    return error();
  }
  return peer_address(address, port);
}

} // namespace acaciasill::net
