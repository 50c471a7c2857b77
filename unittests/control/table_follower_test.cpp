#include "acaciasill/control/table_follower.h"

#include <utility>

#include <catch2/catch.hpp>

#include "control/table_fixture.h"

using namespace acaciasill::control;

namespace {

struct followed_table {
  explicit followed_table(manual_store& platform, follower_settings settings = {.table = "t"})
      : follower(settings, platform.store, platform.after(), 1,
                 {[this](const stored_row& row) { changes.push_back(row); }, [this] { ++loads; },
                  [this](std::uint64_t era) { restored.push_back(era); },
                  [this](bool reached, store_end) { contacts.push_back(reached); }}) {
    follower.start();
    platform.answer();
  }

  std::vector<stored_row> changes;
  int loads = 0;
  std::vector<std::uint64_t> restored;
  std::vector<bool> contacts;
  table_follower follower;
};

} // namespace

TEST_CASE("a table is read whole and then kept up to date by its changes") {
  manual_store platform;
  platform.put("t", "a", "1");
  followed_table table(platform);
  CHECK(table.follower.rows().at("a").value == "1");
  platform.put("t", "a", "2");
  platform.put("t", "b", "3");
  platform.answer_changes();
  CHECK(table.follower.rows().at("a").value == "2");
  CHECK(table.follower.rows().at("b").value == "3");
  platform.remove("t", "a");
  platform.answer_changes();
  CHECK(table.follower.rows().count("a") == 0);
  CHECK(table.changes.back().removed);
  CHECK(platform.reads == 1);
}

TEST_CASE("a full read replaces a feed without sufficient history, including removals") {
  manual_store platform;
  platform.put("t", "a", "1");
  platform.put("t", "b", "1");
  followed_table table(platform);
  platform.rows["t"].erase("a");
  platform.put("t", "c", "1");
  platform.is_history_gone = true;
  platform.answer_changes();
  CHECK(table.follower.rows().count("a") == 0);
  CHECK(table.follower.rows().count("c") == 1);
  CHECK(table.loads == 2);
}

TEST_CASE("an unavailable store removes no rows and is retried after a backoff") {
  manual_store platform;
  platform.put("t", "a", "1");
  followed_table table(platform);
  platform.call_result = store_end::unknown;
  platform.answer_changes();
  CHECK(table.follower.rows().size() == 1);
  platform.fire_timers();
  platform.fire_timers();
  platform.call_result = store_end::done;
  platform.put("t", "b", "1");
  platform.fire_timers();
  CHECK(table.follower.rows().size() == 2);
  CHECK(table.contacts == std::vector<bool>{true, false, true});
}

TEST_CASE("an answer that a later read supersedes is ignored") {
  manual_store platform;
  platform.put("t", "a", "1");
  followed_table table(platform);
  const auto late = platform.waiting.back();
  table.follower.refresh();
  platform.answer();
  platform.put("t", "a", "2");
  late();
  CHECK(table.follower.rows().at("a").value == "1");
  platform.answer_changes();
  CHECK(table.follower.rows().at("a").value == "2");
}

TEST_CASE("after the store was restored from a copy, the table is read again in the new era") {
  manual_store platform;
  platform.era = GENERATE(std::uint64_t{0}, std::uint64_t{3});
  platform.put("t", "a", "1");
  platform.take_copy();
  followed_table table(platform);
  platform.put("t", "a", "lost");
  platform.put("t", "b", "lost");
  platform.answer_changes();
  platform.restore();
  platform.answer_changes();
  platform.fire_timers();
  CHECK(table.follower.rows().at("a").value == "1");
  CHECK(table.follower.rows().count("b") == 0);
  CHECK(table.follower.version() == platform.version);
  CHECK(table.follower.is_current());
  CHECK(table.restored.size() == 1);
  // The versions of the lost changes are assigned again.
  platform.put("t", "a", "again");
  platform.answer_changes();
  CHECK(table.follower.rows().at("a").value == "again");
  CHECK(platform.reads == 2);
}

TEST_CASE("a row whose lost version was assigned again is reported as changed") {
  manual_store platform;
  platform.era = 1;
  platform.take_copy();
  followed_table table(platform);
  platform.put("t", "a", "lost");
  platform.answer_changes();
  platform.restore();
  platform.put("t", "a", "other");
  platform.answer_changes();
  platform.fire_timers();
  CHECK(table.follower.rows().at("a").value == "other");
  CHECK(table.changes.back().value == "other");
}

TEST_CASE("an answer of an earlier era that arrives late is dropped") {
  manual_store platform;
  platform.era = 1;
  platform.put("t", "a", "1");
  platform.take_copy();
  followed_table table(platform);
  platform.put("t", "a", "lost");
  platform.holds_answers = true;
  platform.answer_changes();
  platform.holds_answers = false;
  platform.restore();
  // Another call of the process finds the new era first.
  table.follower.observe_era(platform.era);
  platform.fire_timers();
  for (const auto& late : std::exchange(platform.held, {})) {
    late();
  }
  platform.answer();
  CHECK(table.follower.rows().at("a").value == "1");
  CHECK(table.follower.era() == 2);
}

TEST_CASE("two restorations in a row leave the state of the last one") {
  manual_store platform;
  platform.era = 1;
  platform.put("t", "a", "1");
  platform.take_copy();
  followed_table table(platform);
  platform.put("t", "a", "2");
  platform.answer_changes();
  platform.restore();
  platform.answer_changes();
  platform.put("t", "a", "3");
  platform.restore();
  platform.fire_timers();
  platform.answer_changes();
  platform.fire_timers();
  CHECK(table.follower.rows().at("a").value == "1");
  CHECK(table.follower.is_current());
  CHECK(table.follower.era() == 3);
}

TEST_CASE("a store that has no history at all is not read without a pause") {
  manual_store platform;
  platform.put("t", "a", "1");
  followed_table table(platform);
  platform.is_history_gone = true;
  for (int round = 0; round < 10; ++round) {
    platform.answer_changes();
  }
  CHECK(platform.reads <= 3);
  platform.fire_timers();
  CHECK(platform.reads <= 4);
}

TEST_CASE("a burst of changes takes one read after the first") {
  manual_store platform;
  followed_table table(platform, {.table = "t", .change_pause = acaciasill::support::seconds(1)});
  platform.put("t", "a", "1");
  platform.answer_changes();
  CHECK(table.follower.rows().count("a") == 1);
  for (const auto* key : {"b", "c", "d", "e"}) {
    platform.put("t", key, "1");
    CHECK(platform.waiting.empty());
  }
  platform.fire_timers();
  REQUIRE(platform.waiting.size() == 1);
  platform.answer_changes();
  CHECK(table.follower.rows().size() == 5);
}

TEST_CASE("a replica that lags behind never takes the table back") {
  manual_store platform;
  platform.put("t", "a", "2");
  followed_table table(platform);
  const auto version = table.follower.version();
  auto replica = platform.store;
  store_result older{store_end::done, {{"a", "1", version - 1, false}}, version - 1, 0, true};
  table_store lagging;
  lagging.read_all = [&](const std::string&, const store_callback& done) { done(older); };
  lagging.read_changes = platform.store.read_changes;
  lagging.write = platform.store.write;
  platform.store = lagging;
  table.follower.refresh();
  platform.answer();
  CHECK(table.follower.rows().at("a").value == "2");
  CHECK(table.restored.empty());
}
