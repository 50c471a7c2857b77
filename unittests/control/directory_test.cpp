#include "acaciasill/control/directory.h"

#include <utility>

#include <catch2/catch.hpp>

#include "acaciasill/control/backend_state.h"
#include "control/table_fixture.h"

using namespace acaciasill::control;

namespace {

directory_entry entry(const std::string& address, serving_state state = serving_state::ready) {
  return {address, "n", "dc", "pricing", "i-1", 7, 36, state, 0, {}};
}

struct test_directory {
  explicit test_directory(manual_store& platform)
      : members("10.0.0.1:1", {.table = directory_table}, platform.store, platform.after(), 1,
                {[this] { ++changes; }, [](std::uint64_t) {}, [](bool, store_end) {},
                 [this](const stored_row&, const absl::Status&) { ++unreadable; },
                 [](const directory_entry&, store_end) {}}) {
    members.start();
    platform.answer();
  }

  // Returns the local daemon's row as the store holds it.
  static directory_entry stored(manual_store& platform) {
    const auto& row = platform.rows[directory_table].at("10.0.0.1:1");
    return decode_entry(row.key, row.value).value();
  }

  int changes = 0;
  int unreadable = 0;
  directory members;
};

} // namespace

TEST_CASE("an entry round-trips through its row, and other text is rejected") {
  auto whole = entry("10.0.0.1:1", serving_state::leaving);
  CHECK(decode_entry(whole.call_address, encode_entry(whole)).value() == whole);
  whole.crashes = {{1, 0xffffffffffffffff}, {2}};
  CHECK(decode_entry(whole.call_address, encode_entry(whole)).value() == whole);
  whole.crashes.assign(acaciasill::decide::max_recorded_crashes + 1, {1});
  CHECK_FALSE(decode_entry(whole.call_address, encode_entry(whole)).ok());
  for (const auto* text : {"", "{}", "[1]", R"({"n":1})", "\xff\xfe"}) {
    CHECK_FALSE(decode_entry("10.0.0.1:1", text).ok());
  }
}

namespace {

// A row as encode_entry writes it, with one member replaced by other text.
std::string row_with(const std::string& name, const std::string& text) {
  std::string row = R"({"n":"n","d":"dc","s":"pricing","i":"i-1","b":7,"c":36,"r":0,"t":"ready"})";
  const auto begin = row.find('"' + name + "\":") + name.size() + 3;
  return row.replace(begin, row.find_first_of(",}", begin) - begin, text);
}

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against a row of another writer that names a server with truncated or absurd numbers.
TEST_CASE("a row with numbers out of range is rejected") {
  const std::string key = "10.0.0.1:1";
  CHECK(decode_entry(key, row_with("c", "36")).ok());
  for (const auto* member : {"b", "c", "r"}) {
    for (const auto* number :
         {"-1", "1.5", "1e300", "-1e300", "1e999", "99999999999999999999999"}) {
      INFO(member << ": " << number);
      CHECK_FALSE(decode_entry(key, row_with(member, number)).ok());
    }
  }
  CHECK_FALSE(decode_entry(key, row_with("c", "4294967332")).ok());
  CHECK_FALSE(decode_entry(key, row_with("c", std::to_string(max_server_slots + 1))).ok());
  CHECK_FALSE(decode_entry(key, row_with("r", "65536")).ok());
  CHECK_FALSE(decode_entry(key, row_with("r", R"(0,"x":[[1.5]])")).ok());
  CHECK_FALSE(decode_entry(key, row_with("r", R"(0,"x":[[-1]])")).ok());
}

TEST_CASE("a row whose key is no address of a server is rejected") {
  for (const auto* key : {"", "n-1", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65537", "10.0.0.1:99999",
                          "10.0.0.1:-1", "10.0.0.256:1", "10.0.0.1:1x", "::1:1", "[10.0.0.1]:1"}) {
    INFO(key);
    CHECK_FALSE(decode_entry(key, row_with("c", "36")).ok());
  }
  CHECK_FALSE(decode_entry(std::string("10.0.0.1\0:1", 11), row_with("c", "36")).ok());
  CHECK(decode_entry("[::1]:65535", row_with("c", "36")).ok());
}

TEST_CASE("a row of another writer is skipped, and the directory goes on") {
  constexpr std::size_t depth = 200000;
  manual_store platform;
  test_directory own(platform);
  const std::vector<std::string> odd = {nested(depth),
                                        std::string(depth, '['),
                                        row_with("n", nested(depth)),
                                        row_with("r", R"(0,"x":)" + nested(depth)),
                                        row_with("c", "1e300"),
                                        row_with("r", "70000")};
  for (std::size_t index = 0; index < odd.size(); ++index) {
    platform.put(directory_table, "10.0.1." + std::to_string(index) + ":1", odd[index]);
  }
  platform.put(directory_table, "10.0.1.99:99999", row_with("c", "36"));
  platform.put(directory_table, "10.0.0.2:1", encode_entry(entry("10.0.0.2:1")));
  platform.answer_changes();
  CHECK(own.unreadable == static_cast<int>(odd.size()) + 1);
  REQUIRE(own.members.entries().size() == 1);
  CHECK(own.members.entries().begin()->first == "10.0.0.2:1");
}

TEST_CASE("a daemon writes its row once for each change") {
  manual_store platform;
  test_directory own(platform);
  own.members.set_local_entry(entry("10.0.0.1:1"));
  own.members.set_local_entry(entry("10.0.0.1:1"));
  platform.answer();
  platform.answer_changes();
  CHECK(platform.writes == 1);
  own.members.set_local_entry(entry("10.0.0.1:1", serving_state::leaving));
  platform.answer();
  CHECK(platform.writes == 2);
  CHECK(test_directory::stored(platform).state == serving_state::leaving);
}

TEST_CASE("a conflict resolves a write of the local row whose answer was lost") {
  manual_store platform;
  test_directory own(platform);
  platform.loses_answers = true;
  own.members.set_local_entry(entry("10.0.0.1:1"));
  platform.answer();
  platform.loses_answers = false;
  own.members.set_local_entry(entry("10.0.0.1:1", serving_state::leaving));
  platform.fire_timers();
  CHECK(test_directory::stored(platform).state == serving_state::leaving);
}

TEST_CASE("a row that expired in the store is written again") {
  manual_store platform;
  test_directory own(platform);
  own.members.set_local_entry(entry("10.0.0.1:1"));
  platform.answer();
  platform.remove(directory_table, "10.0.0.1:1");
  platform.answer_changes();
  CHECK(test_directory::stored(platform) == entry("10.0.0.1:1"));
  CHECK_FALSE(platform.rows[directory_table].at("10.0.0.1:1").removed);
}

TEST_CASE("the row of an earlier process is available before it is replaced") {
  manual_store platform;
  platform.put(directory_table, "10.0.0.1:1",
               encode_entry(entry("10.0.0.1:1", serving_state::leaving)));
  test_directory own(platform);
  REQUIRE(own.members.initial_local_entry());
  CHECK(own.members.initial_local_entry()->state == serving_state::leaving);
  own.members.set_local_entry(entry("10.0.0.1:1"));
  platform.answer();
  CHECK(test_directory::stored(platform).state == serving_state::ready);
}

TEST_CASE("a row that cannot be decoded is skipped without affecting the others") {
  manual_store platform;
  platform.put(directory_table, "10.0.0.2:1", encode_entry(entry("10.0.0.2:1")));
  platform.put(directory_table, "10.0.0.3:1", "not a row");
  test_directory own(platform);
  CHECK(own.unreadable == 1);
  CHECK(own.members.entries().size() == 1);
  CHECK(make_cluster_view(own.members.entries(), 1).members.size() == 1);
}

TEST_CASE("only entries that accept work are routed to") {
  manual_store platform;
  platform.put(directory_table, "10.0.0.2:1", encode_entry(entry("10.0.0.2:1")));
  platform.put(directory_table, "10.0.0.3:1",
               encode_entry(entry("10.0.0.3:1", serving_state::leaving)));
  platform.put(directory_table, "10.0.0.4:1",
               encode_entry(entry("10.0.0.4:1", serving_state::absent)));
  platform.put(directory_table, "10.0.0.5:1",
               encode_entry(entry("10.0.0.5:1", serving_state::stopping)));
  test_directory own(platform);
  const auto view = make_cluster_view(own.members.entries(), 1);
  REQUIRE(view.members.size() == 1);
  CHECK(view.members.front().call_address == "10.0.0.2:1");
}

TEST_CASE("a row lost in the restoration of the store is written again") {
  manual_store platform;
  platform.era = GENERATE(std::uint64_t{0}, std::uint64_t{5});
  platform.put("other", "o", "1");
  platform.take_copy();
  test_directory own(platform);
  own.members.set_local_entry(entry("10.0.0.1:1"));
  platform.answer();
  platform.answer_changes();
  REQUIRE(platform.writes == 1);
  platform.restore();
  platform.answer_changes();
  platform.fire_timers();
  CHECK(platform.writes == 2);
  CHECK(test_directory::stored(platform) == entry("10.0.0.1:1"));
}

TEST_CASE("a departure that the restored store has lost is written again") {
  manual_store platform;
  platform.era = 5;
  test_directory own(platform);
  own.members.set_local_entry(entry("10.0.0.1:1"));
  platform.answer();
  platform.take_copy();
  own.members.set_local_entry(entry("10.0.0.1:1", serving_state::leaving));
  platform.answer();
  platform.restore();
  REQUIRE(test_directory::stored(platform).state == serving_state::ready);
  platform.answer_changes();
  platform.fire_timers();
  CHECK(test_directory::stored(platform).state == serving_state::leaving);
}

TEST_CASE("a write whose answer precedes the restoration is not taken as stored") {
  manual_store platform;
  platform.era = 5;
  platform.take_copy();
  test_directory own(platform);
  platform.holds_answers = true;
  own.members.set_local_entry(entry("10.0.0.1:1"));
  platform.answer();
  platform.holds_answers = false;
  platform.restore();
  platform.answer_changes();
  platform.fire_timers();
  for (const auto& late : std::exchange(platform.held, {})) {
    late();
  }
  platform.fire_timers();
  platform.answer_changes();
  REQUIRE(platform.rows[directory_table].count("10.0.0.1:1") == 1);
  CHECK(test_directory::stored(platform) == entry("10.0.0.1:1"));
}

TEST_CASE("a value that is not text is skipped like any other unreadable row") {
  manual_store platform;
  platform.put(directory_table, "10.0.0.2:1", encode_entry(entry("10.0.0.2:1")));
  platform.rows[directory_table]["10.0.0.2:1"].unreadable = true;
  test_directory own(platform);
  CHECK(own.unreadable == 1);
  CHECK(own.members.entries().empty());
}
