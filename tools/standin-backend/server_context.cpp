#include "server_context.h"

#include "call_job.h"

namespace acaciasill::standin {

bool open_calls::add(std::uint64_t connection, const std::shared_ptr<call_job>& job) {
  const std::lock_guard lock(mutex_);
  const auto [place, is_new] = connections_.try_emplace(connection);
  place->second.jobs.emplace(job.get(), job);
  return is_new;
}

void open_calls::remove(std::uint64_t connection, const call_job* job) {
  const std::lock_guard lock(mutex_);
  if (const auto place = connections_.find(connection); place != connections_.end()) {
    place->second.jobs.erase(job);
  }
}

std::vector<std::shared_ptr<call_job>> open_calls::close(std::uint64_t connection) {
  std::vector<std::shared_ptr<call_job>> open;
  const std::lock_guard lock(mutex_);
  const auto place = connections_.find(connection);
  if (place == connections_.end()) {
    return open;
  }
  for (const auto& [key, job] : place->second.jobs) {
    if (auto alive = job.lock()) {
      open.push_back(std::move(alive));
    }
  }
  connections_.erase(place);
  return open;
}

server_context::server_context(const settings& given)
    : config(given), io(static_cast<int>(given.threads)), counters(given.track),
      slots({given.slots, given.queue_bound, given.beyond == over_slots::collapse}) {
  faults.fail_ratio = given.fail_ratio;
}

bool is_cold(const server_context& context) {
  return support::monotonic_now() - context.started < context.config.cold_for;
}

} // namespace acaciasill::standin
