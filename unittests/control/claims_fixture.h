#ifndef ACACIASILL_UNITTESTS_CONTROL_CLAIMS_FIXTURE_H
#define ACACIASILL_UNITTESTS_CONTROL_CLAIMS_FIXTURE_H

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "acaciasill/control/claims.h"

// In-memory fake of the platform's table, and a driver for the claims of one daemon.
namespace acaciasill::control::tests {

using support::milliseconds;
using support::time_point;

// Table with the transaction semantics of the platform.
struct fake_table {
  std::map<std::string, table_row> rows;

  bool write(const write_rows& request) {
    const auto matches = [this](const table_row& row) {
      const auto present = rows.find(row.key);
      return row.version == (present == rows.end() ? absent_version : present->second.version);
    };
    if (!std::all_of(request.rows.begin(), request.rows.end(), matches)) {
      return false;
    }
    for (const auto& row : request.rows) {
      rows[row.key] = {row.key, row.value, row.version + 1};
    }
    return true;
  }

  platform_answer serve(const platform_request& request) {
    platform_answer answer{request.ticket, platform_end::done, {}, {}};
    if (const auto* read = std::get_if<read_row>(&request.operation)) {
      if (const auto row = rows.find(read->key); row != rows.end()) {
        answer.rows.push_back(row->second);
      }
      return answer;
    }
    if (!write(std::get<write_rows>(request.operation))) {
      answer.end = platform_end::refused;
    }
    return answer;
  }
};

// One daemon process, which records the requests and results of its claims.
struct claiming_daemon {
  claims_state_ptr state;
  support::random_source random{17};
  std::deque<platform_request> requests;
  std::set<std::uint64_t> granted;
  std::map<std::uint64_t, claim_refused> refused;
  std::map<std::uint64_t, bool> settled;
  std::map<std::uint64_t, key_answer> answers;
  time_point timer = time_point::max();

  explicit claiming_daemon(const std::string& holder) : claiming_daemon(settings_for(holder)) {}
  explicit claiming_daemon(const claim_settings& settings) : state(make_claims(settings)) {}

  static claim_settings settings_for(const std::string& holder) {
    claim_settings settings;
    settings.holder = holder;
    return settings;
  }

  void handle_event(const claim_event& event, time_point now) {
    std::vector<claim_action> actions;
    timer = time_point::max();
    step(*state, event, now, random, actions);
    for (auto& action : actions) {
      std::visit([this](auto& each) { take(each); }, action);
    }
  }
  void fire_timer(time_point now) { handle_event(claim_timer_fired{}, now); }

  // Lets the table answer all pending requests and those that result from the answers.
  void serve_all(fake_table& table, time_point now) {
    while (!requests.empty()) {
      const auto request = requests.front();
      requests.pop_front();
      handle_event(table.serve(request), now);
    }
  }

  // Answers the next request with the given result, without applying it to the table.
  platform_request fail_next_request(platform_end end, time_point now) {
    const auto request = requests.front();
    requests.pop_front();
    handle_event(platform_answer{request.ticket, end, {}, {}}, now);
    return request;
  }

private:
  void take(platform_request& request) { requests.push_back(std::move(request)); }
  void take(const claim_granted& action) { granted.insert(action.call); }
  void take(const claim_refused& action) { refused[action.call] = action; }
  void take(const claim_settled& action) { settled[action.call] = action.recorded; }
  void take(const key_answer& action) { answers[action.query] = action; }
  void take(const set_claim_timer& action) { timer = action.at; }
};

} // namespace acaciasill::control::tests

#endif
