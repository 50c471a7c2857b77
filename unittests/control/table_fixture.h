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

// A table store in memory whose answers wait until the test lets them go, and a clock that only the
// test moves.
class manual_store {
public:
  manual_store() {
    store.read_all = [this](const std::string& table, store_callback done) {
      ++reads;
      pending.push_back([this, table, done = std::move(done)] {
        done(fails != store_end::done ? store_result{fails, {}, 0}
                                      : store_result{store_end::done, all(table), version});
      });
    };
    store.read_changes = [this](const std::string& table, std::uint64_t after,
                                support::milliseconds, store_callback done) {
      waiting.push_back([this, table, after, done = std::move(done)] {
        if (history_lost) {
          done({store_end::history_gone, {}, 0});
          return;
        }
        done(fails != store_end::done
                 ? store_result{fails, {}, 0}
                 : store_result{store_end::done, changes(table, after), version});
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

  // Changes a row as somebody else would.
  void put(const std::string& table, const std::string& key, const std::string& value) {
    rows[table][key] = {key, value, ++version, false};
  }

  void remove(const std::string& table, const std::string& key) {
    rows[table][key] = {key, "", ++version, true};
  }

  // Answers the reads and writes that were asked for, and those that these ask for.
  void answer() {
    while (!pending.empty()) {
      const auto next = std::move(pending.front());
      pending.pop_front();
      next();
    }
  }

  // Answers the reads of changes that wait now.
  void answer_changes() {
    for (const auto& next : std::exchange(waiting, {})) {
      next();
    }
    answer();
  }

  // Lets all pauses end.
  void pass_time() {
    for (const auto& next : std::exchange(pauses, {})) {
      next();
    }
    answer();
  }

  delayed_call after() {
    return [this](support::duration, std::function<void()> function) {
      pauses.push_back(std::move(function));
    };
  }

  table_store store;
  std::map<std::string, std::map<std::string, stored_row>> rows;
  std::uint64_t version = 0;
  // How calls end instead of being done.
  store_end fails = store_end::done;
  bool history_lost = false;
  // Writes are done and the answer is lost.
  bool loses_answers = false;
  int reads = 0;
  int writes = 0;
  std::deque<std::function<void()>> pending;
  std::vector<std::function<void()>> waiting;
  std::vector<std::function<void()>> pauses;

private:
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
    if (fails != store_end::done) {
      done({fails, {}, 0});
      return;
    }
    const auto held = rows[table].find(row.key);
    const bool exists = held != rows[table].end() && !held->second.removed;
    const auto present = exists ? held->second.version : 0;
    if (present != expected) {
      done({store_end::conflict, exists ? std::vector{held->second} : std::vector<stored_row>{},
            version});
      return;
    }
    put(table, row.key, row.value);
    done({loses_answers ? store_end::unknown : store_end::done, {}, version});
  }
};

} // namespace acaciasill::control

#endif
