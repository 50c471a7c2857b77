#include "acaciasill/control/table_follower.h"

#include <catch2/catch.hpp>

#include "control/table_fixture.h"

using namespace acaciasill::control;

namespace {

struct followed_table {
  explicit followed_table(manual_store& platform)
      : follower({"t", {}, {}, {}}, platform.store, platform.after(), 1,
                 {[this](const stored_row& row) { changes.push_back(row); }, [this] { ++loads; },
                  [this](bool reached, store_end) { contacts.push_back(reached); }}) {
    follower.start();
    platform.answer();
  }

  std::vector<stored_row> changes;
  int loads = 0;
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
