#include "acaciasill/decide/call_recognition.h"

#include <catch2/catch.hpp>

#include "acaciasill/decide/parent_calls.h"

using namespace acaciasill::decide;
using acaciasill::support::milliseconds;
using acaciasill::support::seconds;
using acaciasill::support::time_point;

namespace {

const time_point start{seconds(100)};

// A sighting on a used connection.
call_sighting sighting(bool is_immediate, bool is_explained = true) {
  return {is_explained, true, is_immediate, false, false};
}

void repeat(call_evidence& evidence, int count, const call_sighting& sighted) {
  for (int number = 0; number < count; ++number) {
    record_sighting(evidence, sighted);
  }
}

std::optional<parent_ref> open(parent_table& table, std::uint64_t id, milliseconds time_left,
                               milliseconds age = milliseconds(0)) {
  return open_parent(table, {id, 1}, {0, false, 0, start + time_left, start - age});
}

} // namespace

TEST_CASE("a route is recognised by connections that are reused immediately") {
  call_evidence calls;
  CHECK_FALSE(is_called_by_backend(calls));
  repeat(calls, 12, sighting(false));
  repeat(calls, 4, sighting(true));
  CHECK(is_called_by_backend(calls));
  call_evidence callers;
  repeat(callers, 95, sighting(false));
  repeat(callers, 5, sighting(true));
  CHECK_FALSE(is_called_by_backend(callers));
}

// UNASKED: callers that send the next request at once were taken for the backend server.
TEST_CASE("connections that are reused immediately are no evidence where deadlines are required") {
  call_evidence callers;
  repeat(callers, 200, sighting(true));
  CHECK_FALSE(is_recognised_by_deadlines(callers));
  call_evidence calls;
  CHECK_FALSE(is_recognised_by_deadlines(calls));
  repeat(calls, 20, {true, false, false, true, false});
  CHECK(is_recognised_by_deadlines(calls));
  repeat(calls, 20, {false, false, false, false, false});
  CHECK_FALSE(is_recognised_by_deadlines(calls));
}

TEST_CASE("the organisation of a likely parent is certain if all candidates share it") {
  parent_table table(16);
  const auto open_for = [&table](std::uint64_t id, std::uint64_t organisation) {
    parent_facts facts;
    facts.deadline = start + milliseconds(700 * static_cast<int>(id));
    facts.organisation = organisation;
    return open_parent(table, {id, 1}, facts);
  };
  const child_facts child{start + milliseconds(600), std::nullopt, false};
  open_for(1, 7);
  open_for(2, 7);
  CHECK(find_likely_parent(table, child)->has_certain_organisation);
  const auto other = open_for(3, 8);
  CHECK_FALSE(find_likely_parent(table, child)->has_certain_organisation);
  // A running request with the usual number of calls may have made one more.
  borrow_from_parent(table, *other);
  borrow_from_parent(table, *other);
  CHECK_FALSE(find_likely_parent(table, child)->has_certain_organisation);
  close_parent(table, *other, 0);
  CHECK(find_likely_parent(table, child)->has_certain_organisation);
}

TEST_CASE("calls of several organisations that share an id have no organisation") {
  parent_table table(16);
  parent_facts facts;
  facts.organisation = 7;
  const auto first = open_parent(table, {1, 1}, facts);
  REQUIRE(first);
  CHECK(table.cells[first->cell].organisation == 7);
  facts.organisation = 8;
  REQUIRE(open_parent(table, {1, 1}, facts) == first);
  CHECK(table.cells[first->cell].organisation == no_organisation);
}

TEST_CASE("a route is recognised by deadlines of running requests if these are no accident") {
  call_evidence calls;
  repeat(calls, 20, {true, false, false, true, false});
  CHECK(is_called_by_backend(calls));
  CHECK(expires_with_parent(calls));
  call_evidence crowded;
  repeat(crowded, 10, {true, false, false, true, true});
  repeat(crowded, 10, {true, false, false, true, false});
  repeat(crowded, 10, {true, false, false, false, true});
  CHECK_FALSE(is_called_by_backend(crowded));
}

TEST_CASE("callers that send one request after the other are not taken for the backend server") {
  call_evidence evidence;
  repeat(evidence, 90, sighting(true));
  repeat(evidence, 10, sighting(true, false));
  CHECK_FALSE(is_called_by_backend(evidence));
}

TEST_CASE("old evidence gives way to a change of the callers") {
  call_evidence evidence;
  repeat(evidence, 5000, sighting(true));
  CHECK(is_called_by_backend(evidence));
  repeat(evidence, 2000, sighting(false));
  CHECK_FALSE(is_called_by_backend(evidence));
}

TEST_CASE("a call belongs to the running request that expires with it") {
  parent_table table(16);
  open(table, 1, milliseconds(700));
  open(table, 2, milliseconds(1500));
  const auto found = find_likely_parent(table, {start + milliseconds(701), std::nullopt, true});
  REQUIRE(found);
  CHECK(found->id == request_id{1, 1});
  CHECK(found->has_deadline_of_running);
  CHECK_FALSE(found->has_shifted_deadline);
}

TEST_CASE("a call belongs to the request of the previous call on its connection") {
  parent_table table(16);
  open(table, 1, milliseconds(3000), milliseconds(500));
  open(table, 2, milliseconds(3000), milliseconds(1));
  const auto found =
      find_likely_parent(table, {start + milliseconds(600), request_id{1, 1}, false});
  REQUIRE(found);
  CHECK(found->id == request_id{1, 1});
  const auto recent = find_likely_parent(table, {start + milliseconds(600), std::nullopt, false});
  REQUIRE(recent);
  CHECK(recent->id == request_id{2, 1});
}

TEST_CASE("no running request accounts for a call that outlives it") {
  parent_table table(16);
  open(table, 1, milliseconds(700));
  CHECK_FALSE(find_likely_parent(table, {start + milliseconds(5000), request_id{1, 1}, true}));
}

TEST_CASE("a running request accounts for two calls at a time") {
  parent_table table(16);
  const auto parent = open(table, 1, milliseconds(700));
  REQUIRE(parent);
  const child_facts child{start + milliseconds(600), std::nullopt, false};
  borrow_from_parent(table, *parent);
  CHECK(find_likely_parent(table, child));
  borrow_from_parent(table, *parent);
  CHECK_FALSE(find_likely_parent(table, child));
  return_to_parent(table, *parent, 0, {}, true, std::nullopt, start);
  CHECK(find_likely_parent(table, child));
  close_parent(table, *parent, 0);
  CHECK_FALSE(find_likely_parent(table, child));
}

TEST_CASE("running requests are found after others have ended in any order") {
  parent_table table(64);
  std::vector<parent_ref> opened;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    const auto parent = open(table, id, milliseconds(1000 * static_cast<int>(id)));
    REQUIRE(parent);
    opened.push_back(*parent);
  }
  for (std::size_t index = 0; index < opened.size(); index += 2) {
    close_parent(table, opened[index], 0);
  }
  for (std::uint64_t id = 1; id <= 40; ++id) {
    const auto found = find_likely_parent(
        table, {start + milliseconds(1000 * static_cast<int>(id)), std::nullopt, true});
    REQUIRE(found.has_value() == (id < 40 || id % 2 == 0));
    CHECK((found->id == request_id{id, 1}) == (id % 2 == 0));
  }
}
