#include "server_context.h"

#include "call_job.h"

namespace acaciasill::standin {

bool open_calls::add(std::uint64_t connection, const std::shared_ptr<call_job>& job) {
  const std::lock_guard lock(mutex_);
  const auto [found, is_new] = connections_.try_emplace(connection);
  found->second.jobs.emplace(job.get(), job);
  return is_new;
}

void open_calls::remove(std::uint64_t connection, const call_job* job) {
  const std::lock_guard lock(mutex_);
  if (const auto found = connections_.find(connection); found != connections_.end()) {
    found->second.jobs.erase(job);
  }
}

std::vector<std::shared_ptr<call_job>> open_calls::close(std::uint64_t connection) {
  std::vector<std::shared_ptr<call_job>> open;
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return open;
  }
  for (const auto& [key, job] : found->second.jobs) {
    if (auto alive = job.lock()) {
      open.push_back(std::move(alive));
    }
  }
  connections_.erase(found);
  return open;
}

server_context::server_context(const settings& initial_settings)
    : config(initial_settings), io(static_cast<int>(initial_settings.threads)),
      counters(initial_settings.track),
      slots({initial_settings.slots, initial_settings.queue_bound,
             initial_settings.on_overload == overload_behaviour::collapse}) {
  faults.fail_ratio = initial_settings.fail_ratio;
}

bool is_cold(const server_context& context) {
  return support::monotonic_now() - context.started < context.config.cold_for;
}

} // namespace acaciasill::standin
