#include "acaciasill/control/replicated_tables.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "control/modelled_store.h"

using namespace acaciasill::control;
using namespace acaciasill::support;

namespace {

constexpr char configuration_table[] = "op";
constexpr std::size_t data_centre_count = 6;
// Times of a read between daemons: one way, and what the HTTP client allows beyond the wait.
constexpr milliseconds transfer{1};
constexpr milliseconds margin{500};
// Required times until a change is known to every daemon.
constexpr milliseconds longest_spread{2500};
constexpr milliseconds median_spread{1000};
// Required time until a daemon that reaches the store has a configuration in force: shorter for the
// small deployments.
milliseconds configuration_bound(std::size_t daemons) {
  constexpr std::size_t small_deployment = 60;
  return daemons < small_deployment ? milliseconds(2000) : milliseconds(3000);
}
// Required number of calls to the store on a calm day of 40 s, start included: 1,200 for 195
// daemons, and 6 for each daemon of a larger system.
constexpr std::uint64_t max_calls = 1200;
constexpr std::uint64_t max_calls_per_daemon = 6;
// Required time from the return of the store until lost rows are back.
constexpr milliseconds longest_rewrite{2000};

// One daemon. A process that was killed no longer answers; its successor has the same address.
struct modelled_daemon {
  std::string address;
  std::string data_centre;
  bool is_alive = true;
  bool is_cut_off = false;
  bool is_without_store = false;
  std::unique_ptr<replicated_tables> tables;
  // Highest configuration in force, and the time at which it was learnt.
  int configuration = 0;
  time_point configured{};
};

// Daemons in virtual time that share a modelled store.
class modelled_system {
public:
  explicit modelled_system(std::size_t count) : store(clock) {
    store.put(configuration_table, "config", "1");
    for (std::size_t index = 0; index < count; ++index) {
      auto created = std::make_unique<modelled_daemon>();
      created->address =
          "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200) + ":7000";
      created->data_centre = "dc-" + std::to_string(index % data_centre_count);
      daemons.push_back(std::move(created));
    }
  }

  // Starts all daemons within 0.3 s; their backend servers report within 1.5 s.
  void start() {
    for (auto& started : daemons) {
      clock.run_later(random_delay(milliseconds(300)), [this, &started] { start(*started); });
    }
  }

  void start(modelled_daemon& started) {
    started.is_alive = true;
    started.tables = make_tables(started);
    started.tables->start();
    schedule_revision(started, started.tables.get());
    clock.run_later(random_delay(milliseconds(1500)),
                    [this, &started, owner = started.tables.get()] {
                      if (started.tables.get() == owner) {
                        set_state(started, serving_state::ready);
                      }
                    });
  }

  void kill(modelled_daemon& killed) {
    killed.is_alive = false;
    retired_.push_back(std::move(killed.tables));
    killed.configuration = 0;
  }

  static void set_state(modelled_daemon& changed, serving_state state) {
    changed.tables->members().set_local_entry(
        {changed.address, "n", changed.data_centre, "pricing", "i-1", 7, 36, state, 7001, {}});
  }

  void run(duration span) { clock.run_until(clock.now() + span); }

  // Daemons that read the store themselves.
  std::vector<modelled_daemon*> readers() {
    std::vector<modelled_daemon*> result;
    for (auto& candidate : daemons) {
      if (candidate->is_alive && candidate->tables->reads().replicas().empty()) {
        result.push_back(candidate.get());
      }
    }
    return result;
  }

  // Cuts one reader of each data centre off the store without its notice, and returns these.
  std::vector<modelled_daemon*> cut_readers_from_store() {
    std::map<std::string, modelled_daemon*> chosen;
    for (auto* reader : readers()) {
      chosen[reader->data_centre] = reader;
    }
    std::vector<modelled_daemon*> result;
    for (auto& [data_centre, reader] : chosen) {
      store.cut(reader->address, true);
      reader->is_without_store = true;
      result.push_back(reader);
    }
    return result;
  }

  // Publishes a configuration and returns how long each living daemon takes to know it, ascending.
  std::vector<duration> publish(int version) {
    const auto published = clock.now();
    store.put(configuration_table, "config", std::to_string(version));
    run(seconds(6));
    std::vector<duration> times;
    for (const auto& informed : daemons) {
      // A daemon that cannot reach the store itself is not bound.
      if (informed->is_alive && !informed->is_cut_off && !informed->is_without_store) {
        times.push_back(informed->configuration >= version ? informed->configured - published
                                                           : duration(seconds(60)));
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  // Number of daemons that know the state of the entry.
  std::size_t count_knowing(const std::string& address, serving_state state) const {
    return static_cast<std::size_t>(
        std::count_if(daemons.begin(), daemons.end(), [&](const auto& informed) {
          if (!informed->is_alive) {
            return false;
          }
          const auto& entries = informed->tables->members().entries();
          const auto entry = entries.find(address);
          return entry != entries.end() && entry->second.state == state;
        }));
  }

  std::size_t count_rows() {
    const auto& rows = store.rows(directory_table);
    return static_cast<std::size_t>(std::count_if(
        rows.begin(), rows.end(), [](const auto& row) { return !row.second.removed; }));
  }

  virtual_clock clock;
  modelled_store store;
  std::vector<std::unique_ptr<modelled_daemon>> daemons;

private:
  duration random_delay(milliseconds bound) {
    return microseconds(static_cast<std::int64_t>(
        uniform_below(random_, static_cast<std::uint64_t>(bound.count()) * 1000)));
  }

  void schedule_revision(modelled_daemon& owner, const replicated_tables* tables) {
    clock.run_later(milliseconds(500), [this, &owner, tables] {
      if (owner.tables.get() == tables) {
        owner.tables->revise();
        schedule_revision(owner, tables);
      }
    });
  }

  std::unique_ptr<replicated_tables> make_tables(modelled_daemon& owner) {
    replicated_tables_settings settings;
    settings.local_address = owner.address;
    settings.data_centre = owner.data_centre;
    settings.configuration_table = configuration_table;
    settings.configuration_bound = configuration_bound(daemons.size());
    return std::make_unique<replicated_tables>(
        settings,
        replicated_tables_environment{store.client(owner.address),
                                      [this, &owner](const directory_entry& replica,
                                                     const table_read& read, store_callback done) {
                                        read_replica(owner, replica.call_address, read, done);
                                      },
                                      [this](duration delay, std::function<void()> function) {
                                        clock.run_later(delay, std::move(function));
                                      },
                                      [this] { return clock.now(); }, random_()},
        replicated_tables_callbacks{
            {[] {}, [](std::uint64_t) {}, [](bool, store_end) {},
             [](const stored_row&, const absl::Status&) {},
             [](const directory_entry&, store_end) {}},
            [this, &owner](const stored_row& row) { apply_configuration(owner, row); },
            [](std::uint64_t) {},
            [](bool, store_end) {},
            [](const std::vector<std::string>&) {}});
  }

  void apply_configuration(modelled_daemon& owner, const stored_row& row) {
    if (row.removed) {
      return;
    }
    // As the daemon does, an older configuration is ignored.
    if (const int version = std::stoi(row.value); version > owner.configuration) {
      owner.configuration = version;
      owner.configured = clock.now();
    }
  }

  // A read over the network of a data centre, with the times of the HTTP client.
  void read_replica(modelled_daemon& reader, const std::string& address, const table_read& read,
                    const store_callback& done) {
    auto answered = std::make_shared<bool>(false);
    const store_callback end = [answered, done](store_result result) {
      if (!std::exchange(*answered, true)) {
        done(std::move(result));
      }
    };
    const auto found = std::find_if(daemons.begin(), daemons.end(), [&](const auto& candidate) {
      return candidate->address == address;
    });
    auto& replica = **found;
    if (!replica.is_alive) {
      clock.run_later(transfer, [end] { end({store_end::failed_before, {}, 0}); });
      return;
    }
    clock.run_later(read.wait + margin, [end] { end({store_end::unknown, {}, 0}); });
    clock.run_later(transfer, [this, &replica, &reader, read, end] {
      if (!replica.is_alive || replica.is_cut_off || reader.is_cut_off) {
        return;
      }
      const auto answer = [this, &replica, end](store_result result) {
        clock.run_later(transfer, [&replica, end, result = std::move(result)] {
          if (!replica.is_cut_off) {
            end(result);
          }
        });
      };
      auto* copy = replica.tables->find_replica(read.table);
      if (read.after) {
        copy->read_changes(*read.after, read.wait, answer);
      } else {
        copy->read_all(answer);
      }
    });
  }

  random_source random_{42};
  // Ended processes are kept, since callbacks of theirs may still be scheduled.
  std::vector<std::unique_ptr<replicated_tables>> retired_;
};

std::size_t sizes() {
  return GENERATE(std::size_t{30}, std::size_t{200});
}

// Plays a calm day and checks the calls to the store and the times until changes are known.
void check_calm_day(std::size_t count) {
  modelled_system system(count);
  system.start();
  system.run(seconds(8));
  CHECK(system.count_rows() == count);
  for (const auto& started : system.daemons) {
    CHECK(started->configuration == 1);
    CHECK(started->tables->members().entries().size() == count);
  }
  CHECK(system.readers().size() <= 2 * data_centre_count);
  for (int version = 2; version < 5; ++version) {
    const auto times = system.publish(version);
    CHECK(times[times.size() / 2] <= median_spread);
    CHECK(times.back() <= longest_spread);
  }
  modelled_system::set_state(*system.daemons[3], serving_state::leaving);
  system.run(longest_spread);
  CHECK(system.count_knowing(system.daemons[3]->address, serving_state::leaving) == count);
  system.run(seconds(12));
  CHECK(system.store.calls() <= std::max(max_calls, max_calls_per_daemon * count));
}

} // namespace

TEST_CASE("a calm day takes few calls to the store, and changes are known soon") {
  check_calm_day(sizes());
}

// Takes too long for the sanitizers; ctest runs it in the release build as scale.control.
TEST_CASE("a calm day of 1,000 daemons", "[.][scale]") {
  check_calm_day(1000);
}

TEST_CASE("the death of all readers at once delays no change beyond the bound") {
  const auto count = sizes();
  modelled_system system(count);
  system.start();
  system.run(seconds(8));
  const auto readers = system.readers();
  REQUIRE(!readers.empty());
  for (auto* reader : readers) {
    system.kill(*reader);
  }
  const auto times = system.publish(2);
  REQUIRE(times.size() == count - readers.size());
  CHECK(times.back() <= longest_spread);
  system.run(seconds(5));
  CHECK(system.readers().size() <= 2 * data_centre_count);
}

TEST_CASE("a reader that has lost the store without noticing delays no change beyond the bound") {
  const auto count = sizes();
  modelled_system system(count);
  system.start();
  system.run(seconds(8));
  const auto chosen = system.cut_readers_from_store();
  const auto times = system.publish(2);
  REQUIRE(times.size() == count - chosen.size());
  CHECK(times.back() <= longest_spread);
}

// CONFIG: the copies of readers did not know their age, so that daemons whose readers had both lost
// the store kept an old configuration until TCP keep-alive ended the readers' connections.
TEST_CASE("readers that have all lost the store without noticing delay no configuration") {
  const auto count = sizes();
  modelled_system system(count);
  system.start();
  system.run(seconds(8));
  // The moment of the loss, relative to the reads of the readers.
  system.run(milliseconds(GENERATE(0, 130, 470, 810)));
  const auto lost = system.readers();
  REQUIRE(lost.size() >= data_centre_count);
  // They may be cut off from their followers as well.
  const bool is_cut_off = GENERATE(false, true);
  for (auto* reader : lost) {
    system.store.cut(reader->address, true);
    reader->is_without_store = true;
    reader->is_cut_off = is_cut_off;
  }
  system.run(milliseconds(100));
  const auto times = system.publish(2);
  REQUIRE(times.size() == count - lost.size());
  CHECK(times.back() <= configuration_bound(count));
  for (auto* reader : lost) {
    system.store.cut(reader->address, false);
    reader->is_without_store = false;
    reader->is_cut_off = false;
  }
  system.run(seconds(6));
  CHECK(system.publish(3).back() <= configuration_bound(count));
  CHECK(system.readers().size() <= 2 * data_centre_count);
}

TEST_CASE("readers that have all lost the store delay no entry of the directory") {
  modelled_system system(30);
  system.start();
  system.run(seconds(8));
  const auto lost = system.readers();
  for (auto* reader : lost) {
    system.store.cut(reader->address, true);
    reader->is_without_store = true;
  }
  const auto connected = std::find_if(system.daemons.begin(), system.daemons.end(),
                                      [](const auto& each) { return !each->is_without_store; });
  REQUIRE(connected != system.daemons.end());
  modelled_system::set_state(**connected, serving_state::leaving);
  system.run(longest_spread);
  CHECK(system.count_knowing((*connected)->address, serving_state::leaving) ==
        system.daemons.size() - lost.size());
}

TEST_CASE("a reader that is paused or cut off delays no change beyond the bound") {
  const auto count = sizes();
  modelled_system system(count);
  system.start();
  system.run(seconds(8));
  for (auto* reader : system.cut_readers_from_store()) {
    reader->is_cut_off = true;
  }
  const auto times = system.publish(2);
  CHECK(times.back() <= longest_spread);
}

TEST_CASE("rows that lapsed while the store was down are back within two seconds") {
  const auto count = GENERATE(std::size_t{30}, std::size_t{200});
  modelled_system system(count);
  system.start();
  system.run(seconds(8));
  system.store.set_down(true);
  system.run(milliseconds(4500));
  for (const auto& lapsed : system.daemons) {
    system.store.remove(directory_table, lapsed->address);
  }
  system.store.set_down(false);
  system.run(longest_rewrite);
  CHECK(system.count_rows() == count);
  system.run(seconds(3));
  for (const auto& informed : system.daemons) {
    CHECK(informed->tables->members().entries().size() == count);
  }
}

TEST_CASE("a restored store gets the lost rows back, and nothing returns to an older state") {
  const auto count = GENERATE(std::size_t{30}, std::size_t{200});
  modelled_system system(count);
  system.store.take_copy();
  system.start();
  system.run(seconds(8));
  auto& leaving = *system.daemons[7];
  const bool row_is_in_copy = GENERATE(false, true);
  if (row_is_in_copy) {
    system.store.take_copy();
  }
  modelled_system::set_state(leaving, serving_state::leaving);
  system.publish(2);
  system.store.set_down(true);
  system.run(milliseconds(700));
  system.store.restore();
  system.store.set_down(false);
  system.run(longest_rewrite);
  CHECK(system.count_rows() == count);
  const auto& rows = system.store.rows(directory_table);
  CHECK(decode_entry(leaving.address, rows.at(leaving.address).value)->state ==
        serving_state::leaving);
  // The operator writes again; a process that had the newer configuration keeps it until then.
  for (const auto& informed : system.daemons) {
    CHECK(informed->configuration == 2);
  }
  const auto times = system.publish(3);
  CHECK(times.back() <= longest_spread);
  CHECK(system.count_knowing(leaving.address, serving_state::leaving) == count);
  CHECK(system.count_knowing(leaving.address, serving_state::ready) == 0);
  // A second drill.
  system.store.restore();
  system.run(longest_rewrite);
  CHECK(system.count_rows() == count);
  CHECK(system.publish(4).back() <= longest_spread);
}
