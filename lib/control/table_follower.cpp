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
  if (result.end != store_end::done || is_outdated(result)) {
    schedule_retry(&table_follower::read_all);
    return;
  }
  backoff_ = support::duration(0);
  if (result.era > era_) {
    enter_era(result.era);
  }
  const bool is_older = is_loaded_ && !is_restored_ && result.version < version_;
  if (is_older && result.from_replica) {
    read_changes();
    return;
  }
  if (is_older) {
    // The store itself went back although it states no era.
    void_versions();
  }
  const bool is_restored = std::exchange(is_restored_, false);
  auto removed_rows = std::exchange(rows_, {});
  for (const auto& row : result.rows) {
    const auto known = removed_rows.find(row.key);
    const bool is_same =
        !is_restored && known != removed_rows.end() && known->second.version == row.version;
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
  callbacks_.on_updated();
  const auto pause = result.rows.empty() ? settings_.empty_pause : settings_.change_pause;
  continue_reading(result.from_replica ? support::milliseconds(0) : pause);
}

void table_follower::read_changes() {
  const auto request_number = ++request_number_;
  store_.read_changes(
      settings_.table, {version_, era_}, settings_.wait,
      [this, request_number, alive = std::weak_ptr(alive_)](const store_result& result) {
        if (!alive.expired() && request_number == request_number_) {
          handle_changes(result);
        }
      });
}

void table_follower::handle_changes(const store_result& result) {
  if (result.era > era_) {
    observe_era(result.era);
    if (is_restored_) {
      return;
    }
  }
  if (result.end == store_end::history_gone) {
    // A second time in a row, the read is delayed: the store may discard its history all the time.
    if (std::exchange(was_history_gone_, true)) {
      schedule_retry(&table_follower::read_all);
    } else {
      read_all();
    }
    return;
  }
  report_contact(result.end == store_end::done, result.end);
  if (result.end != store_end::done || is_outdated(result)) {
    // The missed changes may exceed the history of the feed; a full read returns the current state.
    schedule_retry(&table_follower::read_all);
    return;
  }
  if (result.version < version_ && !result.from_replica) {
    read_all();
    return;
  }
  was_history_gone_ = false;
  backoff_ = support::duration(0);
  for (const auto& row : result.rows) {
    apply(row);
  }
  version_ = std::max(version_, result.version);
  if (!result.rows.empty()) {
    callbacks_.on_updated();
  }
  const bool pauses = !result.rows.empty() && !result.from_replica;
  continue_reading(pauses ? settings_.change_pause : support::milliseconds(0));
}

// Reads the next changes after a pause with jitter, or at once.
void table_follower::continue_reading(support::milliseconds pause) {
  if (pause.count() == 0) {
    read_changes();
    return;
  }
  const auto request_number = ++request_number_;
  run_later_(support::jittered(pause, random_),
             [this, request_number, alive = std::weak_ptr(alive_)] {
               if (!alive.expired() && request_number == request_number_) {
                 read_changes();
               }
             });
}

// An answer of an earlier era was delayed on its way, or its replica has not noticed the new one.
bool table_follower::is_outdated(const store_result& result) const {
  return result.era != 0 && result.era < era_;
}

void table_follower::observe_era(std::uint64_t era) {
  if (era <= era_) {
    return;
  }
  enter_era(era);
  if (!is_restored_) {
    return;
  }
  is_reading_all_ = false;
  const auto request_number = ++request_number_;
  const auto spread =
      std::max<support::duration::rep>(1, support::duration(settings_.restore_spread).count());
  const support::duration delay(static_cast<support::duration::rep>(
      support::uniform_below(random_, static_cast<std::uint64_t>(spread))));
  run_later_(delay, [this, request_number, alive = std::weak_ptr(alive_)] {
    if (!alive.expired() && request_number == request_number_) {
      read_all();
    }
  });
}

void table_follower::enter_era(std::uint64_t era) {
  // Nothing is known from before the first era that the store states.
  if (std::exchange(era_, era) != 0) {
    void_versions();
  }
}

void table_follower::void_versions() {
  is_restored_ = true;
  callbacks_.on_restored(era_);
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
