#ifndef ACACIASILL_CONTROL_TABLE_FOLLOWER_H
#define ACACIASILL_CONTROL_TABLE_FOLLOWER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "acaciasill/control/table_store.h"
#include "acaciasill/support/random.h"

namespace acaciasill::control {

// Settings of a table_follower.
struct follower_settings {
  std::string table;
  // Long-poll time: how long the store may delay the answer to a read of changes if there are none.
  support::milliseconds wait{15000};
  // Bounds of the exponential backoff, with jitter, after a failed call.
  support::milliseconds min_backoff{100};
  support::milliseconds max_backoff{1000};
  // Pause, with jitter, between an answer of the store that holds changes and the next read, so
  // that a burst of changes takes few reads. Replicas are read without a pause.
  support::milliseconds change_pause{0};
  // Pause, with jitter, after a full read of the store that found the table empty.
  support::milliseconds empty_pause{0};
  // Upper bound of the random delay before the table is read again after the store was restored.
  support::milliseconds restore_spread{300};

  bool operator==(const follower_settings&) const = default;
};

// Callbacks of a table_follower.
struct follower_callbacks {
  // A row is new, changed or removed.
  std::function<void(const stored_row&)> on_change;
  // on_change was called for every change of an answer.
  std::function<void()> on_updated;
  // The store was restored from a copy: versions known from before are void. on_change is called
  // for every row of the following full read.
  std::function<void(std::uint64_t era)> on_restored;
  // The result of calls to the store changed between success and failure.
  std::function<void(bool reached, store_end end)> on_contact_changed;
};

// Maintains a copy of one table: reads it whole, then follows its change feed, and reads it whole
// again if a call fails, the feed no longer reaches back far enough, or the store was restored from
// a copy. A failed call never removes rows. Used on the control thread only.
class table_follower {
public:
  table_follower(follower_settings settings, const table_store& store, delayed_call run_later,
                 std::uint64_t seed, follower_callbacks callbacks);
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;
  ~table_follower();

  // Starts following the table, until the object is destroyed.
  void start();

  // Reads the whole table again at once, unless such a read is in progress.
  void refresh();

  // The known rows, and the table version up to which they are complete.
  const std::map<std::string, stored_row>& rows() const { return rows_; }
  std::uint64_t version() const { return version_; }
  bool is_loaded() const { return is_loaded_; }

  // Whether the table was read since the store was last restored.
  bool is_current() const { return is_loaded_ && !is_restored_; }

  // Latest era of the store; 0 if it states none.
  std::uint64_t era() const { return era_; }

  // Whether the last call succeeded.
  bool is_reachable() const { return is_reachable_; }

  // Takes note of an era found in the answer to another call.
  void observe_era(std::uint64_t era);

private:
  void read_all();
  void handle_full_read(const store_result& result);
  void read_changes();
  void handle_changes(const store_result& result);
  void apply(const stored_row& row);
  bool is_outdated(const store_result& result) const;
  void enter_era(std::uint64_t era);
  void void_versions();
  void continue_reading(support::milliseconds pause);
  void report_contact(bool reached, store_end end);
  void schedule_retry(void (table_follower::*operation)());

  follower_settings settings_;
  const table_store& store_;
  delayed_call run_later_;
  support::random_source random_;
  follower_callbacks callbacks_;
  std::map<std::string, stored_row> rows_;
  std::uint64_t version_ = 0;
  std::uint64_t era_ = 0;
  // Whether the store was restored and the table has not been read again since.
  bool is_restored_ = false;
  // Whether the last read of changes found the history gone.
  bool was_history_gone_ = false;
  bool is_loaded_ = false;
  bool is_reachable_ = false;
  bool has_reported_contact_ = false;
  // Number of the current call or pause; results of earlier ones are ignored.
  std::uint64_t request_number_ = 0;
  bool is_reading_all_ = false;
  support::duration backoff_{0};
  // Expires with this object; scheduled callbacks check it through a weak pointer.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciasill::control

#endif
