#include "acaciasill/control/table_replica.h"

#include <algorithm>
#include <utility>

namespace acaciasill::control {

table_replica::table_replica(const table_follower& follower, delayed_call run_later,
                             copy_age_limit age_limit)
    : follower_(follower), run_later_(std::move(run_later)), age_limit_(std::move(age_limit)) {}

table_replica::~table_replica() = default;

void table_replica::read_all(const store_callback& done) {
  done(can_answer() ? rows_after(0) : make_result(store_end::refused));
}

void table_replica::read_changes(feed_position after, support::milliseconds wait,
                                 store_callback done) {
  if (answer_if_changed(after, done)) {
    return;
  }
  const auto number = ++last_number_;
  waiting_.push_back({number, after, std::move(done)});
  // A copy that becomes too old meanwhile is reported at that time.
  constexpr support::milliseconds excess{1};
  const auto copy_age = age();
  const support::duration until_outdated =
      copy_age ? age_limit_.max_age - *copy_age + excess : support::duration(wait);
  run_later_(std::min<support::duration>(wait, until_outdated),
             [this, number, alive = std::weak_ptr(alive_)] {
               if (!alive.expired()) {
                 expire(number);
               }
             });
}

void table_replica::handle_updated() {
  if (std::exchange(has_removed_, false)) {
    first_complete_version_ = follower_.version();
  }
  // An answer may start another read, which must not be examined in this pass.
  for (auto& read : std::exchange(waiting_, {})) {
    if (!answer_if_changed(read.after, read.done)) {
      waiting_.push_back(std::move(read));
    }
  }
}

std::optional<support::duration> table_replica::age() const {
  return age_limit_.age ? age_limit_.age() : std::nullopt;
}

bool table_replica::can_answer() const {
  const auto copy_age = age();
  return follower_.is_current() && follower_.is_reachable() &&
         (!copy_age || *copy_age <= age_limit_.max_age);
}

store_result table_replica::make_result(store_end end) const {
  const auto copy_age = age().value_or(support::duration(0));
  return {end, {}, follower_.version(), follower_.era(), true, copy_age};
}

store_result table_replica::rows_after(std::uint64_t version) const {
  auto result = make_result(store_end::done);
  for (const auto& [key, row] : follower_.rows()) {
    if (row.version > version) {
      result.rows.push_back(row);
    }
  }
  return result;
}

// Answers the read unless it has to wait for a change.
bool table_replica::answer_if_changed(const feed_position& after,
                                      const store_callback& done) const {
  if (!can_answer()) {
    done(make_result(store_end::refused));
    return true;
  }
  if (after.era != follower_.era() || after.version < first_complete_version_) {
    done(make_result(after.era > follower_.era() ? store_end::refused : store_end::history_gone));
    return true;
  }
  if (after.version >= follower_.version()) {
    return false;
  }
  done(rows_after(after.version));
  return true;
}

void table_replica::expire(std::uint64_t number) {
  const auto read = std::find_if(waiting_.begin(), waiting_.end(), [number](const auto& pending) {
    return pending.number == number;
  });
  if (read == waiting_.end()) {
    return;
  }
  const auto done = std::move(read->done);
  waiting_.erase(read);
  done(make_result(can_answer() ? store_end::done : store_end::refused));
}

} // namespace acaciasill::control
