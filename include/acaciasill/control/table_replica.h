#ifndef ACACIASILL_CONTROL_TABLE_REPLICA_H
#define ACACIASILL_CONTROL_TABLE_REPLICA_H

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "acaciasill/control/table_follower.h"
#include "acaciasill/control/table_store.h"

namespace acaciasill::control {

// Limits the age of a copy from which other daemons' reads are answered.
struct copy_age_limit {
  // Returns the time since the store confirmed the copy; nullopt if that is not known.
  std::function<std::optional<support::duration>()> age;
  // Greatest age at which the copy is up to date.
  support::duration max_age{0};
};

// Answers other daemons' reads of a table from the local copy of it, so that they need not read the
// store. Used on the control thread only.
class table_replica {
public:
  // The follower maintains the copy and must outlive the replica. Without an age limit the copy
  // counts as up to date as long as the follower's calls succeed.
  table_replica(const table_follower& follower, delayed_call run_later,
                copy_age_limit age_limit = {});
  table_replica(const table_replica&) = delete;
  table_replica& operator=(const table_replica&) = delete;
  ~table_replica();

  // Reads all rows. Fails with store_end::refused while there is no copy, or if the copy cannot be
  // kept up to date.
  void read_all(const store_callback& done);

  // Reads the rows changed after the position, as table_store::read_changes does. Fails with
  // history_gone if the position belongs to another era or precedes the removal of a row.
  void read_changes(feed_position after, support::milliseconds wait, store_callback done);

  // Records that the answer in progress removes a row.
  void handle_removed() { has_removed_ = true; }

  // To be called when the follower has applied an answer, or when its contact has changed.
  void handle_updated();

private:
  struct pending_read {
    std::uint64_t number = 0;
    feed_position after;
    store_callback done;
  };

  std::optional<support::duration> age() const;
  bool can_answer() const;
  store_result make_result(store_end end) const;
  store_result rows_after(std::uint64_t version) const;
  bool answer_if_changed(const feed_position& after, const store_callback& done) const;
  void expire(std::uint64_t number);

  const table_follower& follower_;
  delayed_call run_later_;
  copy_age_limit age_limit_;
  // Version from which the copy still knows every removal.
  std::uint64_t first_complete_version_ = 0;
  bool has_removed_ = false;
  std::uint64_t last_number_ = 0;
  std::list<pending_read> waiting_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciasill::control

#endif
