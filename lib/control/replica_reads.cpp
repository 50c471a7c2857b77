#include "acaciasill/control/replica_reads.h"

#include <algorithm>
#include <utility>

namespace acaciasill::control {

// One read with the replicas that have not been tried for it yet.
struct replica_reads::attempt {
  table_read request;
  store_callback done;
  std::vector<std::string> remaining;
  // Whether a replica answered that it has lost the store.
  bool found_stale = false;
};

replica_reads::replica_reads(table_store direct, replica_read read_replica, delayed_call run_later,
                             std::function<support::time_point()> now, std::uint64_t seed,
                             replica_read_settings settings)
    : direct_(std::move(direct)), read_replica_(std::move(read_replica)),
      run_later_(std::move(run_later)), now_(std::move(now)), random_(seed), settings_(settings) {}

replica_reads::~replica_reads() = default;

table_store replica_reads::store() {
  table_store result;
  result.read_all = [this](const std::string& table, store_callback done) {
    read({table, std::nullopt, {}}, std::move(done));
  };
  result.read_changes = [this](const std::string& table, feed_position after,
                               support::milliseconds wait, store_callback done) {
    read({table, after, wait}, std::move(done));
  };
  result.write = direct_.write;
  return result;
}

void replica_reads::set_replicas(std::vector<std::string> call_addresses) {
  replicas_ = std::move(call_addresses);
}

bool replica_reads::is_available(const std::string& call_address) const {
  const auto found = unavailable_until_.find(call_address);
  return found == unavailable_until_.end() || found->second <= now_();
}

void replica_reads::read(table_read request, store_callback done) {
  auto current = std::make_shared<attempt>();
  current->request = std::move(request);
  current->done = std::move(done);
  const bool bypasses = !current->request.after && std::exchange(bypasses_replicas_, false);
  if (!bypasses && !replicas_.empty()) {
    // Successive reads of a table begin with different replicas.
    const auto first = next_replica_[current->request.table]++ % replicas_.size();
    current->remaining = replicas_;
    std::rotate(current->remaining.begin(),
                current->remaining.begin() + static_cast<std::ptrdiff_t>(first),
                current->remaining.end());
    std::reverse(current->remaining.begin(), current->remaining.end());
  }
  read_next(current);
}

void replica_reads::read_next(const std::shared_ptr<attempt>& current) {
  const auto now = now_();
  while (!current->remaining.empty()) {
    const auto address = std::move(current->remaining.back());
    current->remaining.pop_back();
    if (!is_available(address)) {
      continue;
    }
    if (const auto stale = stale_until_.find(address);
        stale != stale_until_.end() && stale->second > now) {
      current->found_stale = true;
      continue;
    }
    ++replica_read_count_;
    auto request = current->request;
    request.wait = std::min(request.wait, settings_.wait);
    read_replica_(address, request,
                  [this, current, address, alive = std::weak_ptr(alive_)](store_result result) {
                    if (!alive.expired()) {
                      handle_replica_result(current, address, std::move(result));
                    }
                  });
    return;
  }
  read_direct(current);
}

void replica_reads::handle_replica_result(const std::shared_ptr<attempt>& current,
                                          const std::string& address, store_result result) {
  result.from_replica = true;
  if (result.end == store_end::done || result.end == store_end::history_gone) {
    unavailable_until_.erase(address);
    stale_until_.erase(address);
    if (result.end == store_end::done) {
      record_confirmed(current->request.table, result.age);
    }
    current->done(std::move(result));
    return;
  }
  if (result.end == store_end::refused) {
    stale_until_[address] = now_() + settings_.stale_time;
    current->found_stale = true;
  } else {
    unavailable_until_[address] = now_() + settings_.unavailable_time;
  }
  read_next(current);
}

void replica_reads::read_direct(const std::shared_ptr<attempt>& current) {
  const auto now = now_();
  if (current->found_stale && now < next_direct_) {
    // Replicas will notice the return of the store, so that few of their readers have to try.
    run_later_(support::duration(0), [current] { current->done({store_end::refused, {}, 0}); });
    return;
  }
  ++direct_read_count_;
  const auto done = [this, current, alive = std::weak_ptr(alive_)](store_result result) {
    if (!alive.expired() && current->found_stale && result.end != store_end::done &&
        result.end != store_end::history_gone) {
      next_direct_ = now_() + support::jittered(settings_.direct_interval, random_);
    }
    if (!alive.expired() && result.end == store_end::done) {
      record_confirmed(current->request.table, support::duration(0));
    }
    current->done(std::move(result));
  };
  if (current->request.after) {
    direct_.read_changes(current->request.table, *current->request.after, current->request.wait,
                         done);
  } else {
    direct_.read_all(current->request.table, done);
  }
}

std::optional<support::duration> replica_reads::age_of(const std::string& table) const {
  const auto found = confirmed_at_.find(table);
  return found == confirmed_at_.end() ? std::nullopt : std::optional(now_() - found->second);
}

void replica_reads::record_confirmed(const std::string& table, support::duration age) {
  auto& confirmed = confirmed_at_.try_emplace(table).first->second;
  confirmed = std::max(confirmed, now_() - age);
}

} // namespace acaciasill::control
