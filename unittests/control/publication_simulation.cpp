#include "publication_simulation.h"

#include <set>

namespace acaciasill::control {

using support::milliseconds;
using support::result_code;

publication_simulation::publication_simulation(std::uint64_t seed, platform_faults faults,
                                               publisher_defect defect)
    : random_(seed), faults_(faults), defect_(defect) {}

void publication_simulation::add_publisher(const publication_plan& plan, milliseconds start) {
  publishers_.push_back({make_publication(plan), {}, 0, {}});
  const std::size_t index = publishers_.size() - 1;
  schedule_at(support::time_point{} + start,
              [this, index] { deliver(index, publication_started{}); });
}

void publication_simulation::run() {
  while (!event_queue_.empty()) {
    auto next = event_queue_.extract(event_queue_.begin());
    now_ = next.key();
    next.mapped()();
  }
}

void publication_simulation::schedule_at(support::time_point when, event what) {
  event_queue_.emplace(when, std::move(what));
}

void publication_simulation::deliver(std::size_t index, const publication_event& input) {
  std::vector<publication_action> actions;
  if (const auto* answer = std::get_if<platform_answer>(&input);
      answer != nullptr && publishers_[index].state.stage == publication_stage::write_head) {
    apply_defect(publishers_[index], *answer);
  }
  step(publishers_[index].state, input, now_, random_, actions);
  for (const auto& each : actions) {
    if (const auto* request = std::get_if<platform_request>(&each)) {
      handle_request(index, *request);
    }
    if (const auto* timer = std::get_if<set_timer>(&each)) {
      set_publisher_timer(index, timer->at);
    }
    if (const auto* result = std::get_if<publication_finished>(&each)) {
      publishers_[index].result = *result;
    }
  }
}

void publication_simulation::apply_defect(publisher& each, const platform_answer& answer) const {
  if (defect_ == publisher_defect::unknown_is_refused && answer.end == platform_end::unknown) {
    each.state.stage = publication_stage::finished;
    each.result = publication_finished{result_code::publish_conflict, false, {}, ""};
  }
  if (defect_ == publisher_defect::trusts_done && answer.end == platform_end::done) {
    each.state.stage = publication_stage::finished;
    each.result = publication_finished{result_code::ok, true, each.state.next_head, ""};
  }
}

void publication_simulation::set_publisher_timer(std::size_t index, support::time_point when) {
  const auto number = ++publishers_[index].timer_number;
  schedule_at(std::max(when, now_), [this, index, number] {
    if (publishers_[index].timer_number == number) {
      deliver(index, timer_fired{});
    }
  });
}

void publication_simulation::handle_request(std::size_t index, const platform_request& request) {
  const auto effect_at = now_ + random_delay(20);
  const auto answer_at = effect_at + random_delay(20);
  const auto reply = [this, index](support::time_point when, platform_answer answer) {
    schedule_at(when, [this, index, answer] { deliver(index, answer); });
  };
  const bool writes = std::holds_alternative<write_rows>(request.operation);
  const auto lost = writes ? platform_end::unknown : platform_end::failed_before;
  const bool in_outage = now_ >= support::time_point{} + milliseconds(100) &&
                         now_ < support::time_point{} + milliseconds(1500);
  if (faults_.outage && in_outage) {
    return reply(answer_at, {request.ticket, platform_end::failed_before, {}, ""});
  }
  if (faults_.lost_before && chance(0.3)) {
    return reply(answer_at, {request.ticket, lost, {}, ""});
  }
  if (faults_.lost_after && chance(0.3)) {
    schedule_at(effect_at, [this, request] { apply_request(request); });
    return reply(answer_at, {request.ticket, lost, {}, ""});
  }
  if (faults_.late_effect && chance(0.3)) {
    schedule_at(effect_at + random_delay(5000), [this, request] { apply_request(request); });
    return reply(answer_at, {request.ticket, lost, {}, ""});
  }
  if (faults_.no_answer && chance(0.2)) {
    if (chance(0.5)) {
      schedule_at(effect_at, [this, request] { apply_request(request); });
    }
    return;
  }
  if (faults_.false_refusal && writes && chance(0.3)) {
    return reply(answer_at, {request.ticket, platform_end::refused, {}, ""});
  }
  if (faults_.false_success && writes && chance(0.3)) {
    return reply(answer_at, {request.ticket, platform_end::done, {}, ""});
  }
  schedule_at(effect_at,
              [this, request, answer_at, reply] { reply(answer_at, apply_request(request)); });
}

platform_answer publication_simulation::apply_request(const platform_request& request) {
  platform_answer answer{request.ticket, platform_end::done, {}, ""};
  if (const auto* object = std::get_if<write_object>(&request.operation)) {
    objects_[object->digest] = object->bytes;
  }
  if (const auto* read = std::get_if<read_row>(&request.operation)) {
    if (const auto found = rows_.find(read->key); found != rows_.end()) {
      answer.rows.push_back(found->second);
    }
  }
  if (const auto* list = std::get_if<list_rows>(&request.operation)) {
    for (const auto& [key, row] : rows_) {
      if (key.starts_with(list->prefix) && answer.rows.size() < list->limit) {
        answer.rows.push_back(row);
      }
    }
  }
  if (const auto* rows = std::get_if<write_rows>(&request.operation)) {
    answer.end = write(*rows) ? platform_end::done : platform_end::refused;
  }
  return answer;
}

bool publication_simulation::write(const write_rows& operation) {
  for (const auto& row : operation.rows) {
    const auto found = rows_.find(row.key);
    const auto version = found == rows_.end() ? absent_version : found->second.version;
    if (version != row.version && defect_ != publisher_defect::ignores_versions) {
      return false;
    }
  }
  for (const auto& row : operation.rows) {
    const auto version = rows_[row.key].version;
    rows_[row.key] = {row.key, row.value, version + 1};
  }
  ++head_writes_;
  return true;
}

milliseconds publication_simulation::random_delay(std::int64_t max_ms) {
  return milliseconds(static_cast<std::int64_t>(
                          support::uniform_below(random_, static_cast<std::uint64_t>(max_ms))) +
                      1);
}

std::string publication_simulation::check_invariants() const {
  std::map<std::string, configuration_head> by_token;
  std::uint64_t newest = 0;
  for (const auto& [key, row] : rows_) {
    if (!key.starts_with("history/")) {
      continue;
    }
    const auto head = decode_configuration_head(row.value);
    if (!head.ok() || row.version != 1 || key != history_key(head->generation)) {
      return "a history row was written twice or names another generation";
    }
    if (!by_token.emplace(head->publication_token, *head).second) {
      return "one token created two generations";
    }
    if (!objects_.contains(head->digest)) {
      return "a generation names an object that does not exist";
    }
    newest = std::max(newest, head->generation);
  }
  if (head_writes_ != newest || by_token.size() != newest) {
    return "the head generation did not increase by one with each write";
  }
  for (const auto& each : publishers_) {
    if (!each.result) {
      return "a publication did not end";
    }
    const auto& result = *each.result;
    const auto own = by_token.find(each.state.plan.token);
    if (result.code == result_code::ok && result.changed &&
        (own == by_token.end() || own->second != result.head)) {
      return "a publication reported as successful is not in the history";
    }
    const bool reported_failure = result.code == result_code::publish_conflict ||
                                  result.code == result_code::platform_unavailable ||
                                  result.code == result_code::platform_corrupt;
    if (reported_failure && own != by_token.end()) {
      return "a publication reported as failed took effect";
    }
  }
  return "";
}

} // namespace acaciasill::control
