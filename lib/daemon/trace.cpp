#include "acaciasill/daemon/trace.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace acaciasill::daemon {
namespace {

// One in this many completed requests is recorded.
constexpr std::uint64_t sample_interval = 16;

} // namespace

trace_ring::trace_ring(std::size_t capacity) : capacity_(capacity) {
  records_.reserve(capacity);
}

void trace_ring::add(trace_record record) {
  const std::lock_guard lock(mutex_);
  if (records_.size() < capacity_) {
    records_.push_back(std::move(record));
    return;
  }
  records_[next_] = std::move(record);
  next_ = (next_ + 1) % capacity_;
}

std::vector<trace_record> trace_ring::find(const wire::request_id& id) const {
  const std::lock_guard lock(mutex_);
  std::vector<trace_record> found;
  for (std::size_t offset = 0; offset < records_.size(); ++offset) {
    const auto& record = records_[(next_ + offset) % records_.size()];
    if (record.id == id) {
      found.push_back(record);
    }
  }
  return found;
}

bool is_sampled(const wire::request_id& id) {
  return (id.low ^ id.high) % sample_interval == 0;
}

std::string_view outcome_name(wire::outcome outcome) {
  switch (outcome) {
  case wire::outcome::completed:
    return "completed";
  case wire::outcome::not_run:
    return "not-run";
  case wire::outcome::failed:
    return "failed";
  case wire::outcome::unknown:
    return "unknown";
  }
  return "unknown";
}

std::string format_trace(const std::vector<trace_record>& records) {
  auto list = nlohmann::json::array();
  for (const auto& record : records) {
    list.push_back({{"role", record.role == trace_role::entry ? "entry" : "upstream"},
                    {"service", record.service},
                    {"organisation", record.organisation},
                    {"rank", record.rank},
                    {"depth", record.depth},
                    {"level", record.level},
                    {"threshold", record.threshold},
                    {"attempts", record.attempts},
                    {"queue_us", record.queue_us},
                    {"total_us", record.total_us},
                    {"outcome", outcome_name(record.outcome)},
                    {"result_code", support::format_code(record.code)},
                    {"upstream", record.upstream}});
  }
  return list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace acaciasill::daemon
