#include "directory_support.h"

namespace acaciasill::daemon {

using control::store_end;

const char* name_of(store_end end) {
  switch (end) {
  case store_end::done:
    return "done";
  case store_end::conflict:
    return "conflict";
  case store_end::refused:
    return "refused";
  case store_end::history_gone:
    return "history_gone";
  case store_end::failed_before:
    return "not_sent";
  case store_end::unknown:
    return "no_answer";
  }
  return "unknown";
}

const char* name_of(control::report_effect effect) {
  switch (effect) {
  case control::report_effect::none:
    return "none";
  case control::report_effect::stale:
    return "stale";
  case control::report_effect::new_instance:
    return "new_life";
  case control::report_effect::reachable_again:
    return "returned";
  case control::report_effect::details_changed:
    return "figures";
  case control::report_effect::started_draining:
    return "leaves";
  }
  return "none";
}

net::peer_settings peer_settings_for_directory() {
  net::peer_settings settings;
  // The platform isolates its network, so the ports between daemons are not reachable from outside.
  settings.allow_unauthenticated = true;
  // A round trip within a region takes a few milliseconds.
  settings.connect_timeout = support::milliseconds(300);
  settings.max_backoff = support::milliseconds(500);
  // Network partitions and power failures do not reset connections, so dead peers are detected by
  // silence.
  settings.silence_timeout = support::milliseconds(600);
  return settings;
}

net::http_server_settings listen_settings(const net::peer_address& address,
                                          std::uint32_t max_body_bytes) {
  net::http_server_settings settings;
  settings.address = address.address().to_string();
  settings.port = address.port();
  settings.max_body_bytes = max_body_bytes;
  return settings;
}

} // namespace acaciasill::daemon
