#ifndef ACACIASILL_CONTROL_TABLE_STORE_H
#define ACACIASILL_CONTROL_TABLE_STORE_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "acaciasill/support/time.h"

// Interface to a platform's table service with a change feed. Reads are linearizable, except those
// that a replica answers; every change of any row increments one version number of the table.
namespace acaciasill::control {

// One row of a table.
struct stored_row {
  std::string key;
  std::string value;
  // Table version of the row's last change.
  std::uint64_t version = 0;
  // Whether the row was removed; set only in the change feed.
  bool removed = false;
  // Whether the value could not be decoded; it is then empty.
  bool unreadable = false;

  bool operator==(const stored_row&) const = default;
};

// Result code of an operation.
enum class store_end : std::uint8_t {
  done,
  conflict,      // The row has another version; the result holds the current row.
  refused,       // Rejected by the store without effect: overloaded or unavailable.
  history_gone,  // The change feed no longer reaches back to the requested version.
  failed_before, // No byte of the request was sent.
  unknown,       // No answer: a write may have taken effect, or may still do so.
};

// Result of an operation.
struct store_result {
  store_end end = store_end::unknown;
  std::vector<stored_row> rows;
  // Table version up to which the rows are complete.
  std::uint64_t version = 0;
  // Number of times that the store was restored from a copy, if the store states it, or 0. A
  // restored store has lost its last changes and assigns their versions again, so that versions of
  // different eras cannot be compared.
  std::uint64_t era = 0;
  // Whether the result is the copy of another daemon, which may be older than the store's state.
  bool from_replica = false;
  // Time since the store confirmed that copy; 0 if the replica does not state it.
  support::duration age{0};

  bool operator==(const store_result&) const = default;
};

using store_callback = std::function<void(store_result)>;

// Position in the change feed of a table.
struct feed_position {
  // Table version up to which the reader knows all changes.
  std::uint64_t version = 0;
  // Era of the version; 0 if unknown.
  std::uint64_t era = 0;

  bool operator==(const feed_position&) const = default;
};

// The operations. Each invokes its callback once, asynchronously, on the control thread.
struct table_store {
  // Reads all rows of a table.
  std::function<void(const std::string& table, store_callback)> read_all;

  // Reads the rows changed after the given position. Answers as soon as there are any, or when the
  // wait time is over.
  std::function<void(const std::string& table, feed_position after, support::milliseconds wait,
                     store_callback)>
      read_changes;

  // Writes a row if it still has the expected version; 0 means that the row does not exist.
  std::function<void(const std::string& table, const stored_row& row,
                     std::uint64_t expected_version, store_callback)>
      write;
};

// Runs a function on the control thread after a delay.
using delayed_call = std::function<void(support::duration, std::function<void()>)>;

} // namespace acaciasill::control

#endif
