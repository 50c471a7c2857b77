#include "run_counters.h"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>

namespace acaciasill::standin {

run_counters::shard& run_counters::find_shard(const std::string& text) {
  return shards_[std::hash<std::string>{}(text) % shard_count];
}

void run_counters::add_attempt(const std::string& request_id) {
  totals_.attempts.fetch_add(1, std::memory_order_relaxed);
  if (!track_) {
    return;
  }
  auto& locked_shard = find_shard(request_id);
  const std::lock_guard lock(locked_shard.mutex);
  ++locked_shard.requests[request_id].attempts;
}

void run_counters::add_run(const std::string& request_id, const std::string& idempotency_key) {
  totals_.runs.fetch_add(1, std::memory_order_relaxed);
  if (!track_) {
    return;
  }
  {
    auto& locked_shard = find_shard(request_id);
    const std::lock_guard lock(locked_shard.mutex);
    ++locked_shard.requests[request_id].runs;
  }
  if (idempotency_key.empty()) {
    return;
  }
  auto& locked_shard = find_shard(idempotency_key);
  const std::lock_guard lock(locked_shard.mutex);
  ++locked_shard.key_runs[idempotency_key];
}

std::string run_counters::to_json() const {
  std::uint64_t requests = 0;
  std::uint64_t keys = 0;
  std::uint64_t double_runs = 0;
  std::uint32_t max_attempts = 0;
  for (const auto& locked_shard : shards_) {
    const std::lock_guard lock(locked_shard.mutex);
    requests += locked_shard.requests.size();
    keys += locked_shard.key_runs.size();
    for (const auto& [id, tally] : locked_shard.requests) {
      max_attempts = std::max(max_attempts, tally.attempts);
    }
    for (const auto& [key, runs] : locked_shard.key_runs) {
      double_runs += runs - 1;
    }
  }
  const auto attempts = totals_.attempts.load();
  const double mean = requests == 0 ? 0.0 : static_cast<double>(attempts) / requests;
  const nlohmann::json out = {{"attempts", attempts},
                              {"runs", totals_.runs.load()},
                              {"completed", totals_.completed.load()},
                              {"failed", totals_.failed.load()},
                              {"not_started", totals_.not_started.load()},
                              {"cancelled", totals_.cancelled.load()},
                              {"child_failures", totals_.child_failures.load()},
                              {"foreign_answers", totals_.foreign_answers.load()},
                              {"in_flight", totals_.in_flight.load()},
                              {"requests", requests},
                              {"keys", keys},
                              {"double_runs", double_runs},
                              {"max_attempts", max_attempts},
                              {"mean_attempts", mean}};
  return out.dump();
}

std::string run_counters::list_requests() const {
  std::string out;
  for (const auto& locked_shard : shards_) {
    const std::lock_guard lock(locked_shard.mutex);
    for (const auto& [id, tally] : locked_shard.requests) {
      out.append(id).append(" ").append(std::to_string(tally.attempts));
      out.append(" ").append(std::to_string(tally.runs)).append("\n");
    }
  }
  return out;
}

std::string run_counters::list_keys() const {
  std::string out;
  for (const auto& locked_shard : shards_) {
    const std::lock_guard lock(locked_shard.mutex);
    for (const auto& [key, runs] : locked_shard.key_runs) {
      out.append(key).append(" ").append(std::to_string(runs)).append("\n");
    }
  }
  return out;
}

} // namespace acaciasill::standin
