#include "acaciasill/decide/duplicates.h"

#include <map>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "fault_injection.h"

using namespace acaciasill::decide;
using acaciasill::decide::testing::cases_until_failure;

namespace {

enum class fault { none, key_ignored, ended_early };

// Compares the table with a set of the calls in flight.
bool duplicates_match_oracle(fault injected) {
  const auto picks =
      *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(0, 24));
  duplicate_table table(64);
  std::map<std::string, duplicate_ticket> in_flight;
  for (const auto pick : picks) {
    const auto key = "key" + std::to_string(pick % 8);
    if (pick >= 16) {
      if (const auto found = in_flight.find(key); found != in_flight.end()) {
        end_call(table, found->second);
        in_flight.erase(found);
      }
      continue;
    }
    const auto shown = injected == fault::key_ignored ? std::string() : key;
    const auto call = fingerprint({1, 1}, "bonds", "POST", "/deposit", shown);
    const auto ticket = begin_call(table, call);
    const bool first = ticket.check == duplicate_check::first;
    if (first != !in_flight.contains(key)) {
      return false;
    }
    if (first) {
      in_flight.emplace(key, ticket);
    }
    if (first && injected == fault::ended_early) {
      end_call(table, ticket);
    }
  }
  return true;
}

} // namespace

TEST_CASE("a call is a duplicate exactly while the same call is in flight") {
  CHECK(rc::check([] { RC_ASSERT(duplicates_match_oracle(fault::none)); }));
  CHECK(cases_until_failure("idempotency key ignored",
                            [] { return duplicates_match_oracle(fault::key_ignored); }) > 0);
  CHECK(cases_until_failure("call ended early",
                            [] { return duplicates_match_oracle(fault::ended_early); }) > 0);
}

TEST_CASE("of the same call begun on several threads at most one is the first") {
  duplicate_table table(64);
  std::atomic<int> running{0};
  std::atomic<bool> overlapped{false};
  std::atomic<int> firsts{0};
  const auto begin_repeatedly = [&] {
    for (int round = 0; round < 20000; ++round) {
      const auto ticket = begin_call(table, 0x1234567800000042ULL);
      if (ticket.check != duplicate_check::first) {
        continue;
      }
      if (++running > 1) {
        overlapped = true;
      }
      ++firsts;
      --running;
      end_call(table, ticket);
    }
  };
  std::vector<std::thread> threads;
  for (int index = 0; index < 4; ++index) {
    threads.emplace_back(begin_repeatedly);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK_FALSE(overlapped);
  CHECK(firsts > 0);
}

TEST_CASE("calls beyond a full group are reported as untracked") {
  duplicate_table table(1);
  int untracked = 0;
  for (std::uint64_t call = 1; call <= 100; ++call) {
    untracked += begin_call(table, call << 1U).check == duplicate_check::untracked ? 1 : 0;
  }
  CHECK(untracked == 92);
}
