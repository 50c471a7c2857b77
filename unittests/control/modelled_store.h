#ifndef ACACIASILL_UNITTESTS_CONTROL_MODELLED_STORE_H
#define ACACIASILL_UNITTESTS_CONTROL_MODELLED_STORE_H

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "acaciasill/control/table_store.h"

namespace acaciasill::control {

// Virtual time with scheduled functions.
class virtual_clock {
public:
  support::time_point now() const { return now_; }

  void run_later(support::duration delay, std::function<void()> function) {
    events_.push({now_ + std::max(delay, support::duration(0)), ++last_, std::move(function)});
  }

  void run_until(support::time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      auto next = events_.top();
      events_.pop();
      now_ = next.when;
      next.run();
    }
    now_ = end;
  }

private:
  struct event {
    support::time_point when;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::tie(other.when, other.number) < std::tie(when, number);
    }
  };

  support::time_point now_{support::seconds(1000)};
  std::uint64_t last_ = 0;
  std::priority_queue<event> events_;
};

// Table service in virtual time, with answer times, a write rate, outages, and restoration from a
// copy.
class modelled_store {
public:
  explicit modelled_store(virtual_clock& clock) : clock_(clock) {}

  // Interface for the client of this name.
  table_store client(const std::string& name) {
    table_store result;
    result.read_all = [this, name](const std::string& table, store_callback done) {
      call(name, std::move(done), [this, table](const store_callback& answer) {
        answer(make_result(store_end::done, rows_after(table, 0, false)));
      });
    };
    result.read_changes = [this, name](const std::string& table, feed_position after,
                                       support::milliseconds wait, store_callback done) {
      call(name, std::move(done), [this, table, after, wait](const store_callback& answer) {
        begin_feed(table, after.version, wait, answer);
      });
    };
    result.write = [this, name](const std::string& table, const stored_row& row,
                                std::uint64_t expected, store_callback done) {
      call(name, std::move(done), [this, table, row, expected](const store_callback& answer) {
        // One part takes one transaction at a time.
        next_write_ = std::max(next_write_, clock_.now()) + transaction_time;
        clock_.run_later(next_write_ - clock_.now(), [this, table, row, expected, answer] {
          write(table, row, expected, answer);
        });
      });
    };
    return result;
  }

  // Writes a row as the operator does.
  void put(const std::string& table, const std::string& key, const std::string& value) {
    tables_[table][key] = {key, value, ++version_, false, false};
    answer_feeds();
  }

  void remove(const std::string& table, const std::string& key) {
    tables_[table][key] = {key, "", ++version_, true, false};
    answer_feeds();
  }

  void take_copy() { copy_ = {tables_, version_}; }

  void restore() {
    std::tie(tables_, version_) = copy_;
    ++era_;
    answer_feeds();
  }

  // Refuses all calls with an answer.
  void set_down(bool down) { is_down_ = down; }
  // Loses all calls of the client, and the answers to those in progress.
  void cut(const std::string& name, bool is_cut) {
    if (is_cut) {
      cut_.insert(name);
    } else {
      cut_.erase(name);
    }
  }

  const std::map<std::string, stored_row>& rows(const std::string& table) { return tables_[table]; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t most_calls_in_a_second() const { return most_calls_in_a_second_; }

  // Time in which one part performs a transaction.
  static constexpr support::milliseconds transaction_time{4};

private:
  struct pending_feed {
    std::uint64_t number = 0;
    std::string table;
    std::uint64_t after = 0;
    store_callback answer;
  };

  static constexpr support::milliseconds transfer_time{2};
  static constexpr support::milliseconds client_timeout{1000};
  // TCP keep-alive closes the connection of a long poll whose peer is gone.
  static constexpr support::milliseconds keep_alive_timeout{3000};

  void call(const std::string& name, store_callback done,
            std::function<void(const store_callback&)> run) {
    ++calls_;
    count_in_second();
    auto answered = std::make_shared<bool>(false);
    const auto end = [answered, done = std::move(done)](store_result result) {
      if (!std::exchange(*answered, true)) {
        done(std::move(result));
      }
    };
    watch_cut(name, answered, end);
    const auto answer = [this, name, end](store_result result) {
      clock_.run_later(transfer_time, [this, name, end, result = std::move(result)] {
        if (!cut_.contains(name)) {
          end(result);
        }
      });
    };
    clock_.run_later(transfer_time, [this, name, answer, run = std::move(run)] {
      if (cut_.contains(name)) {
        return;
      }
      if (is_down_) {
        answer(make_result(store_end::refused, {}));
        return;
      }
      run(answer);
    });
  }

  // Ends a call whose client is cut off after the keep-alive time.
  void watch_cut(const std::string& name, const std::shared_ptr<bool>& answered,
                 const std::function<void(store_result)>& end) {
    if (*answered) {
      return;
    }
    if (cut_.contains(name)) {
      clock_.run_later(keep_alive_timeout, [end] { end({store_end::unknown, {}, 0}); });
      return;
    }
    clock_.run_later(client_timeout,
                     [this, name, answered, end] { watch_cut(name, answered, end); });
  }

  void count_in_second() {
    const auto second = clock_.now().time_since_epoch() / support::seconds(1);
    most_calls_in_a_second_ = std::max(most_calls_in_a_second_, ++calls_in_second_[second]);
  }

  void begin_feed(const std::string& table, std::uint64_t after, support::milliseconds wait,
                  const store_callback& answer) {
    const auto number = ++last_feed_;
    feeds_.push_back({number, table, after, answer});
    clock_.run_later(wait, [this, number] {
      for (auto feed = feeds_.begin(); feed != feeds_.end(); ++feed) {
        if (feed->number == number) {
          const auto done = feed->answer;
          feeds_.erase(feed);
          done(make_result(store_end::done, {}));
          return;
        }
      }
    });
    answer_feeds();
  }

  void answer_feeds() {
    for (auto& feed : std::exchange(feeds_, {})) {
      auto changed = rows_after(feed.table, feed.after, true);
      if (feed.after > version_) {
        feed.answer(make_result(store_end::history_gone, {}));
      } else if (!changed.empty()) {
        feed.answer(make_result(store_end::done, std::move(changed)));
      } else {
        feeds_.push_back(std::move(feed));
      }
    }
  }

  void write(const std::string& table, const stored_row& row, std::uint64_t expected,
             const store_callback& answer) {
    const auto stored = tables_[table].find(row.key);
    const bool exists = stored != tables_[table].end() && !stored->second.removed;
    if ((exists ? stored->second.version : 0) != expected) {
      answer(make_result(store_end::conflict,
                         exists ? std::vector{stored->second} : std::vector<stored_row>{}));
      return;
    }
    put(table, row.key, row.value);
    answer(make_result(store_end::done, {}));
  }

  std::vector<stored_row> rows_after(const std::string& table, std::uint64_t after,
                                     bool with_removed) {
    std::vector<stored_row> result;
    for (const auto& [key, row] : tables_[table]) {
      if (row.version > after && (with_removed || !row.removed)) {
        result.push_back(row);
      }
    }
    return result;
  }

  store_result make_result(store_end end, std::vector<stored_row> result_rows) const {
    return {end, std::move(result_rows), version_, era_, false};
  }

  virtual_clock& clock_;
  std::map<std::string, std::map<std::string, stored_row>> tables_;
  std::uint64_t version_ = 0;
  std::uint64_t era_ = 1;
  std::pair<std::map<std::string, std::map<std::string, stored_row>>, std::uint64_t> copy_;
  bool is_down_ = false;
  std::set<std::string> cut_;
  std::vector<pending_feed> feeds_;
  std::uint64_t last_feed_ = 0;
  support::time_point next_write_{};
  std::uint64_t calls_ = 0;
  std::map<std::int64_t, std::uint64_t> calls_in_second_;
  std::uint64_t most_calls_in_a_second_ = 0;
};

} // namespace acaciasill::control

#endif
