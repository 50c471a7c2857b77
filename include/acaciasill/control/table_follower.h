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

  bool operator==(const follower_settings&) const = default;
};

// Callbacks of a table_follower.
struct follower_callbacks {
  // A row is new, changed or removed.
  std::function<void(const stored_row&)> on_change;
  // The whole table was read, and on_change was called for every difference.
  std::function<void()> on_loaded;
  // The result of calls to the store changed between success and failure.
  std::function<void(bool reached, store_end end)> on_contact_changed;
};

// Maintains a copy of one table: reads it whole, then follows its change feed, and reads it whole
// again if a call fails or the feed no longer reaches back far enough. A failed call never removes
// rows. Used on the control thread only.
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

private:
  void read_all();
  void handle_full_read(const store_result& result);
  void read_changes();
  void handle_changes(const store_result& result);
  void apply(const stored_row& row);
  void report_contact(bool reached, store_end end);
  void schedule_retry(void (table_follower::*operation)());

  follower_settings settings_;
  const table_store& store_;
  delayed_call run_later_;
  support::random_source random_;
  follower_callbacks callbacks_;
  std::map<std::string, stored_row> rows_;
  std::uint64_t version_ = 0;
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
