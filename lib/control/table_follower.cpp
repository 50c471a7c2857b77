#include "acaciasill/control/table_follower.h"

#include <algorithm>
#include <utility>

namespace acaciasill::control {

table_follower::table_follower(follower_settings settings, const table_store& store,
                               delayed_call run_later, std::uint64_t seed,
                               follower_callbacks callbacks)
    : settings_(std::move(settings)), store_(store), run_later_(std::move(run_later)),
      random_(seed), callbacks_(std::move(callbacks)) {}

table_follower::~table_follower() = default;

void table_follower::start() {
  read_all();
}

void table_follower::refresh() {
  if (!is_reading_all_) {
    read_all();
  }
}

void table_follower::read_all() {
  is_reading_all_ = true;
  const auto request_number = ++request_number_;
  store_.read_all(settings_.table, [this, request_number,
                                    alive = std::weak_ptr(alive_)](const store_result& result) {
    if (!alive.expired() && request_number == request_number_) {
      handle_full_read(result);
    }
  });
}

void table_follower::handle_full_read(const store_result& result) {
  is_reading_all_ = false;
  report_contact(result.end == store_end::done, result.end);
  if (result.end != store_end::done) {
    schedule_retry(&table_follower::read_all);
    return;
  }
  backoff_ = support::duration(0);
  if (is_loaded_ && result.version < version_) {
    // The answer is older than the known state.
    read_changes();
    return;
  }
  auto removed_rows = std::exchange(rows_, {});
  for (const auto& row : result.rows) {
    const auto known = removed_rows.find(row.key);
    const bool is_same = known != removed_rows.end() && known->second.version == row.version;
    rows_[row.key] = row;
    if (known != removed_rows.end()) {
      removed_rows.erase(known);
    }
    if (!is_same) {
      callbacks_.on_change(row);
    }
  }
  for (auto& [key, row] : removed_rows) {
    row.removed = true;
    callbacks_.on_change(row);
  }
  version_ = result.version;
  is_loaded_ = true;
  callbacks_.on_loaded();
  read_changes();
}

void table_follower::read_changes() {
  const auto request_number = ++request_number_;
  store_.read_changes(
      settings_.table, version_, settings_.wait,
      [this, request_number, alive = std::weak_ptr(alive_)](const store_result& result) {
        if (!alive.expired() && request_number == request_number_) {
          handle_changes(result);
        }
      });
}

void table_follower::handle_changes(const store_result& result) {
  if (result.end == store_end::history_gone) {
    read_all();
    return;
  }
  report_contact(result.end == store_end::done, result.end);
  if (result.end != store_end::done) {
    // The missed changes may exceed the history of the feed; a full read returns the current state.
    schedule_retry(&table_follower::read_all);
    return;
  }
  backoff_ = support::duration(0);
  for (const auto& row : result.rows) {
    apply(row);
  }
  version_ = std::max(version_, result.version);
  read_changes();
}

void table_follower::apply(const stored_row& row) {
  const auto known = rows_.find(row.key);
  if (known != rows_.end() && known->second.version >= row.version) {
    return;
  }
  if (row.removed) {
    rows_.erase(row.key);
  } else {
    rows_[row.key] = row;
  }
  callbacks_.on_change(row);
}

void table_follower::report_contact(bool reached, store_end end) {
  if (has_reported_contact_ && reached == is_reachable_) {
    return;
  }
  has_reported_contact_ = true;
  is_reachable_ = reached;
  callbacks_.on_contact_changed(reached, end);
}

void table_follower::schedule_retry(void (table_follower::*operation)()) {
  const support::duration min_delay = settings_.min_backoff;
  const support::duration max_delay = settings_.max_backoff;
  backoff_ = std::clamp(backoff_ * 2, min_delay, max_delay);
  const auto request_number = ++request_number_;
  run_later_(support::jittered(backoff_, random_),
             [this, operation, request_number, alive = std::weak_ptr(alive_)] {
               if (!alive.expired() && request_number == request_number_) {
                 (this->*operation)();
               }
             });
}

} // namespace acaciasill::control
