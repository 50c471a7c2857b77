#include "acaciasill/board/call_board.h"

#include <memory>

namespace acaciasill::board {

call_board::call_board()
    : configuration(std::make_unique<const configuration_view>()),
      routing(std::make_unique<const routing_view>()),
      admission(std::make_unique<const decide::gate_view>()),
      backend(std::make_unique<const backend_target>()),
      crashes(std::make_unique<const decide::crash_view>()),
      coordinators(std::make_unique<const decide::coordinator_view>()), gate(organisation_capacity),
      thresholds(subject_capacity, organisation_capacity), duplicates(duplicate_capacity),
      parents(parent_capacity), retries(service_capacity), spills(service_capacity),
      first_attempt_times(subject_capacity), call_evidence(route_capacity),
      entry_excess(organisation_capacity), permit_buckets(limit_capacity) {}

} // namespace acaciasill::board
