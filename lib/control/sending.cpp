#include "sending.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "records.h"

namespace acaciasill::control {
namespace {

constexpr std::uint32_t retransmit_multiplier = 4;

// A leave is transmitted more often than other updates, since a lost one makes calls fail.
constexpr std::uint32_t urgent_retransmit_factor = 3;

// Maximum number of queued records considered for one datagram.
constexpr std::size_t max_candidates = 16;

// Maximum number of queued records. Anti-entropy exchanges deliver the rest.
constexpr std::size_t max_queued_updates = 512;

datagram make_datagram(const node_state& state, message_body body) {
  const member& self = self_of(state);
  datagram message;
  message.sender_incarnation = self.incarnation;
  message.sender_nonce = self.start_nonce;
  message.configuration_generation = state.configuration.generation;
  message.body = std::move(body);
  return message;
}

// A queued record, ordered by transmission priority.
struct candidate {
  bool ordinary = true;
  std::uint32_t sent = 0;
  const std::string* address = nullptr;

  bool operator<(const candidate& other) const {
    return std::tie(ordinary, sent, *address) <
           std::tie(other.ordinary, other.sent, *other.address);
  }
};

// Returns the records to send next: urgent ones first, then those transmitted least often. At most
// max_candidates are returned, about what a datagram can hold.
std::vector<std::string> next_updates(const node_state& state) {
  std::vector<candidate> candidates;
  candidates.reserve(state.outgoing.records.size());
  for (const auto& [address, queued] : state.outgoing.records) {
    candidates.push_back({!queued.urgent, queued.sent, &address});
  }
  const std::size_t count = std::min(candidates.size(), max_candidates);
  const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(candidates.begin(), middle, candidates.end());
  std::vector<std::string> addresses;
  for (auto next = candidates.begin(); next != middle; ++next) {
    addresses.push_back(*next->address);
  }
  return addresses;
}

void add_marks(node_state& state, datagram& message) {
  const std::uint32_t limit = retransmit_limit(state);
  for (auto next = state.outgoing.marks.begin(); next != state.outgoing.marks.end();) {
    const data_centre_mark& mark = state.marks.at(next->first);
    if (encoded_bound(message) + encoded_bound(mark) > max_datagram_bytes ||
        message.marks.size() >= max_scopes) {
      return;
    }
    message.marks.push_back(mark);
    next = ++next->second >= limit ? state.outgoing.marks.erase(next) : std::next(next);
  }
}

void add_updates(node_state& state, datagram& message) {
  const std::uint32_t limit = retransmit_limit(state);
  for (const auto& address : next_updates(state)) {
    const record* entry = find_record(state, address);
    if (entry == nullptr || !fits(message, entry->fields)) {
      continue;
    }
    message.updates.push_back(stamp_record(state, *entry));
    queued_update& queued = state.outgoing.records[address];
    if (++queued.sent >= (queued.urgent ? urgent_retransmit_factor * limit : limit)) {
      state.outgoing.records.erase(address);
    }
  }
}

void emit(step_context& context, const std::string& to, datagram message) {
  context.actions.emplace_back(send_datagram{to, std::move(message)});
}

} // namespace

bool fits(const datagram& message, const member& next) {
  return message.updates.size() < max_updates &&
         encoded_bound(message) + encoded_bound(next) <= max_datagram_bytes;
}

void send_body(step_context& context, const std::string& to, message_body body) {
  datagram message = make_datagram(context.state, std::move(body));
  add_marks(context.state, message);
  add_updates(context.state, message);
  emit(context, to, std::move(message));
}

void send_records(step_context& context, const std::string& to, message_body body,
                  std::vector<member> updates) {
  datagram message = make_datagram(context.state, std::move(body));
  message.updates = std::move(updates);
  emit(context, to, std::move(message));
}

void send_correction(step_context& context, const std::string& to, message_body body,
                     const std::string& about) {
  datagram message = make_datagram(context.state, std::move(body));
  if (const record* entry = find_record(context.state, about); entry != nullptr) {
    message.updates.push_back(stamp_record(context.state, *entry));
  }
  add_marks(context.state, message);
  add_updates(context.state, message);
  emit(context, to, std::move(message));
}

void send_all_records(step_context& context, const std::string& to, const message_body& body,
                      const std::vector<member>& updates, std::size_t max_datagrams) {
  datagram message = make_datagram(context.state, body);
  std::size_t sent = 0;
  for (const auto& fields : updates) {
    if (!fits(message, fields)) {
      emit(context, to, std::exchange(message, make_datagram(context.state, body)));
      if (++sent >= max_datagrams) {
        return;
      }
    }
    message.updates.push_back(fields);
  }
  emit(context, to, std::move(message));
}

void queue_record(node_state& state, const std::string& address, bool urgent) {
  auto& waiting = state.outgoing.records;
  if (urgent || waiting.size() < max_queued_updates || waiting.contains(address)) {
    waiting[address] = queued_update{0, urgent};
  }
}

void queue_mark(node_state& state, const std::string& data_centre) {
  state.outgoing.marks[data_centre] = 0;
}

std::uint32_t size_digits(const node_state& state) {
  const auto found = state.records.by_data_centre.find(state.settings.data_centre);
  std::size_t members = found == state.records.by_data_centre.end() ? 1 : found->second.size();
  std::uint32_t digits = 1;
  for (; members >= 10; members /= 10) {
    ++digits;
  }
  return digits;
}

std::uint32_t retransmit_limit(const node_state& state) {
  return retransmit_multiplier * size_digits(state);
}

pending_request send_platform_request(step_context& context, platform_operation operation) {
  platform_request request{context.state.next_ticket++, std::move(operation)};
  const pending_request pending{request.ticket, context.state.now + 2 * request.timeout};
  context.actions.emplace_back(std::move(request));
  return pending;
}

bool is_waiting(const pending_request& request, support::time_point now) {
  return request.ticket != 0 && now < request.expires;
}

bool completes(pending_request& request, const platform_answer& answer) {
  if (request.ticket == 0 || request.ticket != answer.ticket) {
    return false;
  }
  request = {};
  return true;
}

void log(step_context& context, support::log_level level, const char* part, std::string text) {
  context.actions.emplace_back(log_line{level, part, std::move(text)});
}

std::vector<std::string> choose_random(support::random_source& random,
                                       std::vector<std::string> addresses, std::size_t count) {
  const std::size_t wanted = std::min(count, addresses.size());
  for (std::size_t index = 0; index < wanted; ++index) {
    const auto other = index + support::uniform_below(random, addresses.size() - index);
    std::swap(addresses[index], addresses[other]);
  }
  addresses.resize(wanted);
  return addresses;
}

support::duration jittered(support::random_source& random, support::duration period) {
  const double factor = 0.9 + 0.2 * support::uniform_unit(random);
  return std::chrono::duration_cast<support::duration>(period * factor);
}

} // namespace acaciasill::control
