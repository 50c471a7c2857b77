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

// How a table is followed.
struct follower_settings {
  std::string table;
  // How long the store may hold a read of changes back; one call is made in each such time.
  support::milliseconds wait{15000};
  // Bounds of the pause after a failed call; it doubles and is jittered.
  support::milliseconds min_pause{100};
  support::milliseconds max_pause{1000};

  bool operator==(const follower_settings&) const = default;
};

// What a follower tells.
struct follower_callbacks {
  // A row that is new, changed or removed.
  std::function<void(const stored_row&)> on_change;
  // The whole table was read, and its rows were reported.
  std::function<void()> on_loaded;
  // Whether the last call succeeded, when that changes, and how it ended.
  std::function<void(bool reached, store_end end)> on_contact;
};

// Keeps a copy of one table: reads it whole, then follows its changes, and reads it whole again
// where the feed's history is gone. A failed call never takes rows away. Lives on the control
// thread.
class table_follower {
public:
  table_follower(follower_settings settings, const table_store& store, delayed_call after,
                 std::uint64_t seed, follower_callbacks callbacks);
  table_follower(const table_follower&) = delete;
  table_follower& operator=(const table_follower&) = delete;
  ~table_follower();

  // Begins; it goes on until the object is destroyed.
  void start();

  // Reads the whole table again at once, where no such read is on its way.
  void refresh();

  // The rows as they are known, and the version up to which they are.
  const std::map<std::string, stored_row>& rows() const { return rows_; }
  std::uint64_t version() const { return version_; }
  bool is_loaded() const { return loaded_; }

private:
  void read_all();
  void take_all(const store_result& result);
  void read_changes();
  void take_changes(const store_result& result);
  void apply(const stored_row& row);
  void note_contact(bool reached, store_end end);
  void retry_later(void (table_follower::*step)());

  follower_settings settings_;
  const table_store& store_;
  delayed_call after_;
  support::random_source random_;
  follower_callbacks callbacks_;
  std::map<std::string, stored_row> rows_;
  std::uint64_t version_ = 0;
  bool loaded_ = false;
  bool reached_ = false;
  bool told_contact_ = false;
  // Calls that were made for an earlier purpose are dropped when they end.
  std::uint64_t turn_ = 0;
  bool reading_all_ = false;
  support::duration pause_{0};
  // Ends with this object; what was scheduled looks here first.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciasill::control

#endif
