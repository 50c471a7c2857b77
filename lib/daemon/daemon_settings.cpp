#include "acaciasill/daemon/daemon_settings.h"

#include "acaciasill/support/result_code.h"

namespace acaciasill::daemon {
namespace {

constexpr std::int64_t max_threads = 64;
constexpr std::int64_t max_body_limit = 16 << 20;
constexpr support::milliseconds max_stop_timeout{600000};
constexpr support::milliseconds min_heartbeat_timeout{100};
constexpr support::milliseconds max_heartbeat_timeout{60000};

void read_mode(model::settings_reader& reader, daemon_settings& settings) {
  std::string mode = "protect";
  reader.text("mode", mode);
  if (mode == "passthrough") {
    settings.mode = operating_mode::passthrough;
    return;
  }
  if (mode != "protect") {
    reader.reject("mode", support::result_code::out_of_range, "must be protect or passthrough");
  }
}

void read_log_settings(model::settings_reader& reader, daemon_settings& settings) {
  std::string level = "info";
  reader.text("log_level", level);
  if (const auto status = support::parse_log_level(level, settings.log.level); !status.ok()) {
    reader.reject("log_level", support::result_code::out_of_range,
                  "must be debug, info, warning or error");
  }
  reader.flag("log_json", settings.log.json);
}

} // namespace

void read_daemon_settings(model::settings_reader& reader, daemon_settings& settings) {
  reader.text("name", settings.name, model::presence::required);
  reader.text("data_centre", settings.data_centre, model::presence::required);
  reader.text("region", settings.region);
  reader.text("http_listen", settings.http_listen, model::presence::required);
  reader.text("peer_listen", settings.peer_listen, model::presence::required);
  reader.text("gossip_listen", settings.gossip_listen, model::presence::required);
  reader.text_list("seeds", settings.seeds);
  reader.text("platform_url", settings.platform_url);
  reader.text("configuration_dir", settings.configuration_dir);
  read_mode(reader, settings);
  reader.integer("threads", settings.threads, 1, max_threads);
  reader.text("peer_key", settings.peer_key);
  reader.flag("allow_unauthenticated", settings.allow_unauthenticated);
  reader.flag("serve_without_configuration", settings.serve_without_configuration);
  reader.integer("max_body_bytes", settings.max_body_bytes, 0, max_body_limit);
  reader.time_span("stop_timeout_ms", settings.stop_timeout, support::milliseconds(0),
                   max_stop_timeout);
  reader.time_span("heartbeat_timeout_ms", settings.heartbeat_timeout, min_heartbeat_timeout,
                   max_heartbeat_timeout);
  read_log_settings(reader, settings);
  if (settings.peer_key.empty() && !settings.allow_unauthenticated) {
    reader.reject("peer_key", support::result_code::missing_key,
                  "give a key, or set allow_unauthenticated to true");
  }
}

} // namespace acaciasill::daemon
