#include "acaciasill/control/table_follower.h"

#include <algorithm>
#include <utility>

namespace acaciasill::control {

table_follower::table_follower(follower_settings settings, const table_store& store,
                               delayed_call after, std::uint64_t seed, follower_callbacks callbacks)
    : settings_(std::move(settings)), store_(store), after_(std::move(after)), random_(seed),
      callbacks_(std::move(callbacks)) {}

table_follower::~table_follower() = default;

void table_follower::start() {
  read_all();
}

void table_follower::refresh() {
  if (!reading_all_) {
    read_all();
  }
}

void table_follower::read_all() {
  reading_all_ = true;
  const auto turn = ++turn_;
  store_.read_all(settings_.table,
                  [this, turn, alive = std::weak_ptr(alive_)](const store_result& result) {
                    if (!alive.expired() && turn == turn_) {
                      take_all(result);
                    }
                  });
}

void table_follower::take_all(const store_result& result) {
  reading_all_ = false;
  note_contact(result.end == store_end::done, result.end);
  if (result.end != store_end::done) {
    retry_later(&table_follower::read_all);
    return;
  }
  pause_ = support::duration(0);
  if (loaded_ && result.version < version_) {
    // An answer from before what is known already says nothing new.
    read_changes();
    return;
  }
  auto gone = std::exchange(rows_, {});
  for (const auto& row : result.rows) {
    const auto known = gone.find(row.key);
    const bool is_same = known != gone.end() && known->second.version == row.version;
    rows_[row.key] = row;
    if (known != gone.end()) {
      gone.erase(known);
    }
    if (!is_same) {
      callbacks_.on_change(row);
    }
  }
  for (auto& [key, row] : gone) {
    row.removed = true;
    callbacks_.on_change(row);
  }
  version_ = result.version;
  loaded_ = true;
  callbacks_.on_loaded();
  read_changes();
}

void table_follower::read_changes() {
  const auto turn = ++turn_;
  store_.read_changes(settings_.table, version_, settings_.wait,
                      [this, turn, alive = std::weak_ptr(alive_)](const store_result& result) {
                        if (!alive.expired() && turn == turn_) {
                          take_changes(result);
                        }
                      });
}

void table_follower::take_changes(const store_result& result) {
  if (result.end == store_end::history_gone) {
    read_all();
    return;
  }
  note_contact(result.end == store_end::done, result.end);
  if (result.end != store_end::done) {
    // What was missed may be more than the feed still holds, and a whole read tells it at once.
    retry_later(&table_follower::read_all);
    return;
  }
  pause_ = support::duration(0);
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

void table_follower::note_contact(bool reached, store_end end) {
  if (told_contact_ && reached == reached_) {
    return;
  }
  told_contact_ = true;
  reached_ = reached;
  callbacks_.on_contact(reached, end);
}

void table_follower::retry_later(void (table_follower::*step)()) {
  const support::duration least = settings_.min_pause;
  const support::duration most = settings_.max_pause;
  pause_ = std::clamp(pause_ * 2, least, most);
  const auto turn = ++turn_;
  after_(support::jittered(pause_, random_), [this, step, turn, alive = std::weak_ptr(alive_)] {
    if (!alive.expired() && turn == turn_) {
      (this->*step)();
    }
  });
}

} // namespace acaciasill::control
