#include "acaciasill/daemon/backend_registry.h"

#include <catch2/catch.hpp>

#include "acaciasill/board/call_board.h"
#include "acaciasill/support/result_code.h"

using namespace acaciasill;
using namespace acaciasill::daemon;
using support::milliseconds;

TEST_CASE("an invalid announcement is rejected") {
  for (const auto* body : {"", "{}", "[1]", R"({"service":"a","address":"nowhere","slots":1})",
                           R"({"service":"a","address":"127.0.0.1:1","slots":-1})",
                           R"({"service":"a","address":"127.0.0.1:1","slots":"many"})"}) {
    CHECK(support::code_of(parse_announcement(body).status()) == support::result_code::bad_request);
  }
  CHECK(parse_announcement(R"({"service":"a","address":"127.0.0.1:1","slots":4})")->slots == 4);
}

TEST_CASE("an announcement with numbers or a port out of range is rejected") {
  for (const auto* members :
       {R"("address":"127.0.0.1:65537","slots":4)", R"("address":"127.0.0.1:0","slots":4)",
        R"("address":"127.0.0.1:1","slots":4294967300)", R"("address":"127.0.0.1:1","slots":1e300)",
        R"("address":"127.0.0.1:1","slots":4,"connections":4294967300)",
        R"("address":"127.0.0.1:1","slots":4,"in_flight":1.5)"}) {
    INFO(members);
    const auto body = std::string(R"({"service":"a",)") + members + "}";
    CHECK(support::code_of(parse_announcement(body).status()) == support::result_code::bad_request);
  }
  constexpr std::size_t depth = 200000;
  const auto nested = R"({"service":"a","address":"127.0.0.1:1","slots":)" +
                      std::string(depth, '[') + std::string(depth, ']') + "}";
  CHECK_FALSE(parse_announcement(nested).ok());
}

TEST_CASE("a backend server is lost when its heartbeat times out and can announce itself again") {
  board::call_board board;
  const board::rcu_reader_thread reader;
  int changes = 0;
  int losses = 0;
  backend_registry registry(
      board, milliseconds(1000),
      {[&](const backend_announcement&, bool is_new) { changes += is_new; }, [&] { ++losses; }});
  const backend_announcement announcement{"front", "127.0.0.1:1", "", 4, 8, false, 1};
  const support::time_point start{};
  registry.announce(announcement, start);
  registry.announce(announcement, start + milliseconds(900));
  registry.check_heartbeat(start + milliseconds(1800));
  CHECK(losses == 0);
  registry.check_heartbeat(start + milliseconds(1901));
  CHECK(losses == 1);
  {
    const board::rcu_read_guard guard;
    CHECK_FALSE(board.backend.read(guard).present);
  }
  registry.announce(announcement, start + milliseconds(2000));
  CHECK(changes == 2);
  const board::rcu_read_guard guard;
  CHECK(board.backend.read(guard).address == "127.0.0.1:1");
}
