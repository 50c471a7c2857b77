#include "announcer.h"

#include <nlohmann/json.hpp>

#include "acaciasill/support/log.h"

namespace acaciasill::standin {
namespace {

constexpr support::milliseconds tick_period{100};
constexpr int ticks_per_announcement = 10;
constexpr support::milliseconds announce_timeout{900};
constexpr support::milliseconds leave_timeout{3000};
constexpr long status_ok = 200;

} // namespace

announcer::announcer(server_context& context, std::string address)
    : context_(context), address_(std::move(address)), timer_(context.io) {}

void announcer::start() {
  if (!context_.config.daemon.empty()) {
    on_tick();
  }
}

void announcer::on_tick() {
  if (leaving_) {
    return;
  }
  const auto now = support::monotonic_now();
  if (ticks_++ % ticks_per_announcement == 0) {
    context_.client.submit(post("/acaciasill/announce", announcement()),
                           [this](const client_reply& reply) { log_status_change(reply); });
  }
  samples_.push_back({now, context_.counters.totals().in_flight.load()});
  while (samples_.size() > 1 && now - samples_.front().time > context_.config.report.lag) {
    samples_.pop_front();
  }
  timer_.expires_after(tick_period);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      on_tick();
    }
  });
}

void announcer::log_status_change(const client_reply& reply) {
  const bool accepted = reply.status == status_ok;
  if (accepted == accepted_.exchange(accepted)) {
    return;
  }
  write_log(accepted ? support::log_level::info : support::log_level::warning, "announce",
            accepted ? "daemon accepted the announcement"
                     : "daemon did not accept the announcement; HTTP status (0 for no reply): " +
                           std::to_string(reply.status));
}

double announcer::reported_in_flight() const {
  const auto& report = context_.config.report;
  const auto in_flight = static_cast<double>(context_.counters.totals().in_flight.load());
  switch (report.mode) {
  case report_mode::honest:
    return in_flight;
  case report_mode::lagging:
    return samples_.empty() ? 0.0 : static_cast<double>(samples_.front().in_flight);
  case report_mode::misleading:
    return in_flight * report.in_flight_factor;
  }
  return in_flight;
}

std::string announcer::announcement() const {
  const auto& config = context_.config;
  const bool is_misleading = config.report.mode == report_mode::misleading;
  const double slots = is_misleading ? config.slots * config.report.slots_factor : config.slots;
  const nlohmann::json out = {{"service", config.service},
                              {"address", address_},
                              {"slots", static_cast<std::int64_t>(slots)},
                              {"connections", config.connections},
                              {"cold", is_cold(context_)},
                              {"in_flight", static_cast<std::int64_t>(reported_in_flight())}};
  return out.dump();
}

client_request announcer::post(const std::string& path, std::string body) const {
  client_request request;
  request.method = "POST";
  request.url = context_.config.daemon + path;
  request.headers = {"content-type: application/json"};
  request.body = std::move(body);
  request.timeout = announce_timeout;
  return request;
}

void announcer::leave(const std::function<void()>& on_done) {
  leaving_ = true;
  timer_.cancel();
  context_.left_at = support::monotonic_now().time_since_epoch().count();
  if (context_.config.daemon.empty()) {
    on_done();
    return;
  }
  auto request = post("/acaciasill/leave", announcement());
  request.timeout = leave_timeout;
  context_.client.submit(std::move(request), [on_done](const client_reply&) { on_done(); });
}

} // namespace acaciasill::standin
