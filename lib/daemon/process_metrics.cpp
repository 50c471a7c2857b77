#include "acaciasill/daemon/process_metrics.h"

#include <chrono>
#include <limits>
#include <string>
#include <utility>

#include "acaciasill/board/call_board.h"
#include "acaciasill/control/replicated_tables.h"
#include "acaciasill/net/gossip_socket.h"

namespace acaciasill::daemon {
namespace {

prometheus::MetricFamily family_of(prometheus::MetricType type, std::string name, std::string help,
                                   double value) {
  prometheus::MetricFamily family;
  family.name = std::move(name);
  family.help = std::move(help);
  family.type = type;
  prometheus::ClientMetric metric;
  metric.counter.value = value;
  metric.gauge.value = value;
  family.metric.push_back(std::move(metric));
  return family;
}

prometheus::MetricFamily gauge(std::string name, std::string help, double value) {
  return family_of(prometheus::MetricType::Gauge, std::move(name), std::move(help), value);
}

prometheus::MetricFamily counter(std::string name, std::string help, double value) {
  return family_of(prometheus::MetricType::Counter, std::move(name), std::move(help), value);
}

double value_of(const std::atomic<std::uint64_t>& number) {
  return static_cast<double>(number.load(std::memory_order_relaxed));
}

} // namespace

std::vector<prometheus::MetricFamily> collect_call_gauges(const board::call_board& board) {
  const auto& gate = board.gate;
  return {
      gauge("acaciasill_upstream_limit", "calls that the local backend server may run at once",
            gate.limit.load()),
      gauge("acaciasill_upstream_in_flight", "calls that run in the local backend server",
            gate.in_flight.load()),
      gauge("acaciasill_upstream_waiting", "calls that wait for a slot", gate.waiting.load()),
      counter("acaciasill_upstream_started_total", "calls sent to the local backend server",
              value_of(board.calls_started)),
      gauge("acaciasill_upstream_stated_rate",
            "calls per second that the local backend server states to take",
            decide::rate_in_force(gate.rate)),
      counter("acaciasill_crashing_calls_refused_total",
              "calls refused because servers have crashed while they ran the same request",
              value_of(board.crashing_calls_refused)),
      gauge("acaciasill_calls_in_flight", "calls of callers and peers without an answer",
            value_of(board.calls_in_flight)),
  };
}

std::vector<prometheus::MetricFamily>
collect_table_metrics(const control::replicated_tables& tables) {
  const auto number = [](auto value) { return static_cast<double>(value); };
  const auto& reads = tables.reads();
  const auto age = tables.configuration_age();
  return {
      gauge("acaciasill_directory_version", "version of the directory",
            number(tables.members().version())),
      gauge("acaciasill_directory_entries", "daemons in the directory",
            number(tables.members().entries().size())),
      gauge("acaciasill_store_era", "era of the store, 0 if it states none",
            number(tables.members().era())),
      gauge("acaciasill_table_replicas", "daemons whose copies are read, 0 if the store is read",
            number(reads.replicas().size())),
      gauge("acaciasill_configuration_age_seconds",
            "time since the store confirmed the copy of the configuration; +Inf if it has not yet",
            age ? std::chrono::duration<double>(*age).count()
                : std::numeric_limits<double>::infinity()),
      counter("acaciasill_store_reads_total", "reads from the store",
              number(reads.direct_read_count())),
      counter("acaciasill_replica_reads_total", "reads from the copies of other daemons",
              number(reads.replica_read_count())),
  };
}

std::vector<prometheus::MetricFamily> collect_process_metrics(const board::call_board& board,
                                                              const net::gossip_counters& gossip) {
  auto families = collect_call_gauges(board);
  for (auto& family : {
           counter("acaciasill_control_sent_bytes_total", "bytes of datagrams sent",
                   value_of(gossip.sent_bytes)),
           counter("acaciasill_control_received_bytes_total", "bytes of datagrams received",
                   value_of(gossip.received_bytes)),
           counter("acaciasill_control_dropped_total",
                   "datagrams dropped as forged, corrupt, too large or replayed",
                   value_of(gossip.not_authenticated) + value_of(gossip.corrupt) +
                       value_of(gossip.too_large) + value_of(gossip.replayed)),
       }) {
    families.push_back(family);
  }
  return families;
}

} // namespace acaciasill::daemon
