#ifndef ACACIASILL_CONTROL_TABLE_STORE_H
#define ACACIASILL_CONTROL_TABLE_STORE_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "acaciasill/support/time.h"

// A platform's table service with a feed of changes, as the control part needs it. Reads are
// linearizable; every change of any row raises one common version.
namespace acaciasill::control {

// One row of a table.
struct stored_row {
  std::string key;
  std::string value;
  // The version of its last change.
  std::uint64_t version = 0;
  // Whether the row was removed; only in changes.
  bool removed = false;

  bool operator==(const stored_row&) const = default;
};

// How an operation ended.
enum class store_end : std::uint8_t {
  done,
  conflict,      // The row has another version; the result holds it as it is now.
  refused,       // The store took no part in it, for load or because it is not available.
  history_gone,  // The feed no longer reaches back to the version asked for.
  failed_before, // No byte of the request was sent.
  unknown,       // No answer: a write may have been done, or may still be done.
};

// What an operation brought.
struct store_result {
  store_end end = store_end::unknown;
  std::vector<stored_row> rows;
  // The version up to which the rows are complete.
  std::uint64_t version = 0;

  bool operator==(const store_result&) const = default;
};

using store_callback = std::function<void(store_result)>;

// The operations; each calls back once, later, on the control thread.
struct table_store {
  // All rows of a table.
  std::function<void(const std::string& table, store_callback)> read_all;

  // The rows that have changed since the version, as soon as there are any or the wait is over.
  std::function<void(const std::string& table, std::uint64_t after, support::milliseconds wait,
                     store_callback)>
      read_changes;

  // Writes a row if its version still is the expected one; 0 stands for a row that does not exist.
  std::function<void(const std::string& table, const stored_row& row,
                     std::uint64_t expected_version, store_callback)>
      write;
};

// Runs a function on the control thread after a time.
using delayed_call = std::function<void(support::duration, std::function<void()>)>;

} // namespace acaciasill::control

#endif
