#ifndef ACACIASILL_DAEMON_PROCESS_METRICS_H
#define ACACIASILL_DAEMON_PROCESS_METRICS_H

#include <vector>

#include <prometheus/metric_family.h>

namespace acaciasill::board {
struct call_board;
}
namespace acaciasill::net {
struct gossip_counters;
}

// Figures of the daemon as a whole, beside those of calls.
namespace acaciasill::daemon {

// The upstream's limit and load.
std::vector<prometheus::MetricFamily> collect_call_gauges(const board::call_board& board);

// The same, and the gossip's traffic.
std::vector<prometheus::MetricFamily> collect_process_metrics(const board::call_board& board,
                                                              const net::gossip_counters& gossip);

} // namespace acaciasill::daemon

#endif
