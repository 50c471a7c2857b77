#ifndef STANDIN_BACKEND_RUN_COUNTERS_H
#define STANDIN_BACKEND_RUN_COUNTERS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace acaciasill::standin {

// Calls that this server received (attempts) and started (runs) for one request id.
struct request_tally {
  std::uint32_t attempts = 0;
  std::uint32_t runs = 0;

  bool operator==(const request_tally&) const = default;
};

// Totals since the start of the process.
struct run_totals {
  std::atomic<std::uint64_t> attempts{0};
  std::atomic<std::uint64_t> runs{0};
  std::atomic<std::uint64_t> completed{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> not_started{0};
  std::atomic<std::uint64_t> cancelled{0};
  std::atomic<std::uint64_t> child_failures{0};
  // Replies to child calls that were truncated or belonged to another request.
  std::atomic<std::uint64_t> foreign_answers{0};
  std::atomic<std::int64_t> in_flight{0};
};

// Counts calls in total and, where tracked, by request id and by idempotency key. Thread-safe.
class run_counters {
public:
  explicit run_counters(bool track) : track_(track) {}

  // Records that a call arrived, whether or not it starts.
  void add_attempt(const std::string& request_id);

  // Records that a call started. An empty key is not counted by key.
  void add_run(const std::string& request_id, const std::string& idempotency_key);

  run_totals& totals() { return totals_; }

  // Returns the totals, and the repeated attempts and runs over requests and keys, as a JSON
  // object.
  std::string to_json() const;

  // Returns one line "id attempts runs" for each request id.
  std::string list_requests() const;

  // Returns one line "key runs" for each idempotency key.
  std::string list_keys() const;

private:
  static constexpr std::size_t shard_count = 64;

  struct shard {
    mutable std::mutex mutex;
    std::unordered_map<std::string, request_tally> requests;
    std::unordered_map<std::string, std::uint32_t> key_runs;
  };

  shard& find_shard(const std::string& text);

  bool track_;
  run_totals totals_;
  std::array<shard, shard_count> shards_;
};

} // namespace acaciasill::standin

#endif
