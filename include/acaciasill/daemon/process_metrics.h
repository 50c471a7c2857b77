#ifndef ACACIASILL_DAEMON_PROCESS_METRICS_H
#define ACACIASILL_DAEMON_PROCESS_METRICS_H

#include <vector>

#include <prometheus/metric_family.h>

namespace acaciasill::board {
struct call_board;
}
namespace acaciasill::control {
class replicated_tables;
}
namespace acaciasill::net {
struct gossip_counters;
}

// Metrics of the daemon as a whole.
namespace acaciasill::daemon {

// Collects the concurrency limit, queue length and calls in flight.
std::vector<prometheus::MetricFamily> collect_call_gauges(const board::call_board& board);

// State of the tables of a directory-based daemon: versions, era, and reads by source.
std::vector<prometheus::MetricFamily>
collect_table_metrics(const control::replicated_tables& tables);

// Collects the call gauges and the gossip traffic counters.
std::vector<prometheus::MetricFamily> collect_process_metrics(const board::call_board& board,
                                                              const net::gossip_counters& gossip);

} // namespace acaciasill::daemon

#endif
