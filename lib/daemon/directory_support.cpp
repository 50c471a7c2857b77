#include "directory_support.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <asio/steady_timer.hpp>

#include "absl/strings/str_join.h"

#include "acaciasill/daemon/directory_daemon.h"
#include "acaciasill/net/http_client.h"
#include "acaciasill/support/log.h"

namespace acaciasill::daemon {

using control::store_end;
using support::log_level;
using support::write_event;

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

void log_store_contact(const char* table, bool reached, store_end end) {
  write_event(reached ? log_level::info : log_level::warning, "store",
              reached ? "store answers" : "store does not answer",
              {{"for", table}, {"end", name_of(end)}});
}

void log_store_restored(const char* table, std::uint64_t era) {
  write_event(log_level::warning, "store", "store was restored from a copy",
              {{"for", table}, {"era", std::to_string(era)}});
}

void log_invalid_row(const control::stored_row& row, const absl::Status& status) {
  write_event(log_level::warning, "directory", "skipped invalid directory row",
              {{"key", row.key},
               {"row_version", std::to_string(row.version)},
               {"reason", std::string(status.message())}});
}

void log_invalid_objects(std::uint64_t configuration, const std::vector<model::finding>& findings) {
  constexpr std::size_t max_logged = 10;
  for (std::size_t index = 0; index < std::min(findings.size(), max_logged); ++index) {
    write_event(log_level::error, "configuration", "set aside an invalid object",
                {{"configuration", std::to_string(configuration)},
                 {"reason", model::format_finding(findings[index])},
                 {"of", std::to_string(findings.size())}});
  }
}

void log_written_row(const control::directory_entry& entry, store_end end) {
  write_event(log_level::info, "directory", "wrote own directory row",
              {{"instance", entry.instance},
               {"state", std::to_string(static_cast<int>(entry.state))},
               {"end", name_of(end)}});
}

void log_replicas(const std::vector<std::string>& call_addresses, std::uint64_t version) {
  write_event(log_level::info, "directory",
              call_addresses.empty() ? "reads the store" : "reads copies of other daemons",
              {{"replicas", absl::StrJoin(call_addresses, " ")},
               {"directory_version", std::to_string(version)}});
}

control::delayed_call make_delayed_call(asio::io_context& context) {
  return [&context](support::duration delay, std::function<void()> function) {
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, function = std::move(function)](asio::error_code error) {
      if (!error) {
        function();
      }
    });
  };
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

std::size_t max_buffered_bytes(const directory_daemon_settings& settings) {
  constexpr std::size_t memory_divisor = 4;
  const auto process_bytes = std::size_t{settings.memory_mb} << 20U;
  return settings.memory_mb == 0 ? net::default_max_buffered_bytes
                                 : process_bytes / memory_divisor / settings.threads;
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
