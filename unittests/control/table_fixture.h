#ifndef ACACIASILL_UNITTESTS_CONTROL_TABLE_FIXTURE_H
#define ACACIASILL_UNITTESTS_CONTROL_TABLE_FIXTURE_H

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "acaciasill/control/table_store.h"

namespace acaciasill::control {

// In-memory table store whose answers and timers are released by the test.
class manual_store {
public:
  manual_store() {
    store.read_all = [this](const std::string& table, store_callback done) {
      ++reads;
      pending.push_back([this, table, done = std::move(done)] {
        deliver(done, call_result != store_end::done ? make_result(call_result)
                                                     : make_result(store_end::done, all(table)));
      });
    };
    store.read_changes = [this](const std::string& table, feed_position position,
                                support::milliseconds, store_callback done) {
      waiting.push_back([this, table, after = position.version, done = std::move(done)] {
        if (is_history_gone || after > version) {
          deliver(done, make_result(store_end::history_gone));
          return;
        }
        deliver(done, call_result != store_end::done
                          ? make_result(call_result)
                          : make_result(store_end::done, changes(table, after)));
      });
    };
    store.write = [this](const std::string& table, const stored_row& row, std::uint64_t expected,
                         store_callback done) {
      ++writes;
      pending.push_back([this, table, row, expected, done = std::move(done)] {
        write(table, row, expected, done);
      });
    };
  }

  // Changes a row on behalf of another client.
  void put(const std::string& table, const std::string& key, const std::string& value) {
    rows[table][key] = {key, value, ++version, false};
  }

  void remove(const std::string& table, const std::string& key) {
    rows[table][key] = {key, "", ++version, true};
  }

  // Takes a copy of all rows, which restore() returns to.
  void take_copy() {
    copied_rows = rows;
    copied_version = version;
  }

  // Returns to the copy: later changes are lost, and their versions are assigned again.
  void restore() {
    rows = copied_rows;
    version = copied_version;
    era += era != 0 ? 1 : 0;
  }

  // Answers all pending reads and writes and those that result from the answers.
  void answer() {
    while (!pending.empty()) {
      const auto next = std::move(pending.front());
      pending.pop_front();
      next();
    }
  }

  // Answers the pending reads of changes.
  void answer_changes() {
    for (const auto& next : std::exchange(waiting, {})) {
      next();
    }
    answer();
  }

  // Fires all pending timers.
  void fire_timers() {
    for (const auto& next : std::exchange(timers, {})) {
      next();
    }
    answer();
  }

  delayed_call after() {
    return [this](support::duration, std::function<void()> function) {
      timers.push_back(std::move(function));
    };
  }

  table_store store;
  std::map<std::string, std::map<std::string, stored_row>> rows;
  std::uint64_t version = 0;
  // Era in the answers; 0 if the store states none.
  std::uint64_t era = 0;
  std::map<std::string, std::map<std::string, stored_row>> copied_rows;
  std::uint64_t copied_version = 0;
  // Results are determined but not delivered; the test delivers them through `held`.
  bool holds_answers = false;
  std::vector<std::function<void()>> held;
  // Result of all calls, unless it is done.
  store_end call_result = store_end::done;
  bool is_history_gone = false;
  // Writes take effect, but their result is unknown.
  bool loses_answers = false;
  int reads = 0;
  int writes = 0;
  std::deque<std::function<void()>> pending;
  std::vector<std::function<void()>> waiting;
  std::vector<std::function<void()>> timers;

private:
  store_result make_result(store_end end, std::vector<stored_row> result_rows = {}) const {
    const auto stated = end == store_end::done || end == store_end::conflict ? version : 0;
    return {end, std::move(result_rows), stated, era, false};
  }

  void deliver(const store_callback& done, store_result result) {
    if (holds_answers) {
      held.push_back([done, result = std::move(result)] { done(result); });
    } else {
      done(std::move(result));
    }
  }

  std::vector<stored_row> all(const std::string& table) {
    std::vector<stored_row> result;
    for (const auto& [key, row] : rows[table]) {
      if (!row.removed) {
        result.push_back(row);
      }
    }
    return result;
  }

  std::vector<stored_row> changes(const std::string& table, std::uint64_t after) {
    std::vector<stored_row> result;
    for (const auto& [key, row] : rows[table]) {
      if (row.version > after) {
        result.push_back(row);
      }
    }
    return result;
  }

  void write(const std::string& table, const stored_row& row, std::uint64_t expected,
             const store_callback& done) {
    if (call_result != store_end::done) {
      deliver(done, make_result(call_result));
      return;
    }
    const auto stored = rows[table].find(row.key);
    const bool exists = stored != rows[table].end() && !stored->second.removed;
    const auto present = exists ? stored->second.version : 0;
    if (present != expected) {
      deliver(done, make_result(store_end::conflict,
                                exists ? std::vector{stored->second} : std::vector<stored_row>{}));
      return;
    }
    put(table, row.key, row.value);
    deliver(done, make_result(loses_answers ? store_end::unknown : store_end::done));
  }
};

} // namespace acaciasill::control

#endif
