#include "first_contact.h"

#include <algorithm>
#include <string_view>

#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr std::string_view rows_prefix = "seeds/";
constexpr std::uint32_t max_rows = 400;

// Newcomers ask this many peers at once for the first page.
constexpr std::size_t asked_seeds = 2;

// The period in which an unanswered newcomer asks again.
constexpr support::milliseconds ask_period{1000};

// The shortest time between two writes of one node.
constexpr support::milliseconds write_period{5000};

std::string row_key(const node_state& state) {
  return std::string(rows_prefix) + state.settings.data_centre + "/" +
         std::to_string(*state.duties.seed_row);
}

// The data centre in a key "seeds/<data centre>/<slot>"; empty for another key.
std::string data_centre_of(const std::string& key) {
  const auto end = key.rfind('/');
  if (!key.starts_with(rows_prefix) || end <= rows_prefix.size()) {
    return {};
  }
  return key.substr(rows_prefix.size(), end - rows_prefix.size());
}

// Rows of the own data centre go first, since their members share the most.
std::vector<std::string> contact_addresses(const node_state& state) {
  const auto own = state.contact.seeds.find(state.settings.data_centre);
  std::set<std::string> addresses(state.settings.seeds.begin(), state.settings.seeds.end());
  if (own != state.contact.seeds.end()) {
    addresses.insert(own->second.begin(), own->second.end());
  }
  if (addresses.empty() || state.now >= state.refresh_until) {
    for (const auto& [data_centre, rows] : state.contact.seeds) {
      addresses.insert(rows.begin(), rows.end());
    }
  }
  addresses.erase(state.settings.gossip_address);
  return {addresses.begin(), addresses.end()};
}

void ask_for_page(step_context& context, const std::string& to) {
  send_correction(context, to, page_request{context.state.contact.page_after},
                  context.state.settings.gossip_address);
}

void join(step_context& context) {
  node_state& state = context.state;
  contact_state& contact = state.contact;
  contact.next_ask = state.now + jittered(context.random, ask_period);
  contact.page_peer.clear();
  contact.page_after.clear();
  // After a pause the members that were known are as good as seeds.
  auto addresses = contact_addresses(state);
  for (auto& address : running_members(state, state.settings.data_centre)) {
    addresses.push_back(std::move(address));
  }
  for (const auto& seed : choose_some(context.random, std::move(addresses), asked_seeds)) {
    ask_for_page(context, seed);
  }
}

// Contacts one row's address of the own data centre that is not among the members, so that two
// groups that never knew each other become one.
void contact_strangers(step_context& context) {
  node_state& state = context.state;
  std::vector<std::string> strangers;
  for (const auto& address : contact_addresses(state)) {
    const record* entry = find_record(state, address);
    if (entry == nullptr) {
      strangers.push_back(address);
    }
  }
  for (const auto& address : choose_some(context.random, std::move(strangers), 1)) {
    state.contact.page_peer.clear();
    state.contact.page_after.clear();
    ask_for_page(context, address);
  }
}

void look_at_rows(step_context& context) {
  node_state& state = context.state;
  contact_state& contact = state.contact;
  const auto& timings = state.settings.timings;
  const auto period = contact.joined ? timings.seeds_period : timings.head_period;
  const auto backoff = period * (1U << std::min(3U, contact.failures));
  contact.next_look = state.now + jittered(context.random, backoff);
  if (!is_waiting(contact.list_request, state.now)) {
    contact.list_request = ask_platform(context, list_rows{std::string(rows_prefix), max_rows});
  }
}

void take_rows(step_context& context, const platform_answer& answer) {
  contact_state& contact = context.state.contact;
  if (answer.end != platform_end::done) {
    ++contact.failures;
    return;
  }
  contact.failures = 0;
  contact.seeds.clear();
  for (const auto& row : answer.rows) {
    const std::string data_centre = data_centre_of(row.key);
    if (!data_centre.empty() && data_centre.size() <= max_name_bytes &&
        row.value.size() <= max_name_bytes && row.value.find(':') != std::string::npos) {
      contact.seeds[data_centre].insert(row.value);
    }
  }
  // A row may name a data centre that nobody here knows yet.
  context.state.duties.worked_out_at = 0;
}

// Writes the own address into the row of the duty, where it says something else.
void take_own_row(step_context& context, const platform_answer& answer) {
  node_state& state = context.state;
  contact_state& contact = state.contact;
  const bool known = answer.end == platform_end::done || answer.end == platform_end::refused;
  if (!known || !state.duties.seed_row || state.now < contact.next_write) {
    return;
  }
  table_row row{row_key(state), state.settings.gossip_address, absent_version};
  if (!answer.rows.empty()) {
    // The duty may have moved since the row was read; the answer is then of no use.
    if (answer.rows.front().key != row.key || answer.rows.front().value == row.value) {
      return;
    }
    row.version = answer.rows.front().version;
  }
  contact.next_write = state.now + write_period;
  contact.write_request = ask_platform(context, write_rows{{row}});
}

} // namespace

void run_first_contact(step_context& context) {
  node_state& state = context.state;
  contact_state& contact = state.contact;
  const bool alone = is_alone(state);
  if ((!contact.joined || alone) && state.now >= contact.next_ask) {
    join(context);
  }
  const bool looks = state.duties.seed_row || alone || !contact.joined;
  if (!looks || state.now < contact.next_look) {
    return;
  }
  look_at_rows(context);
  if (contact.joined) {
    contact_strangers(context);
  }
  const bool keeps = state.duties.seed_row && state.confirmed && !state.leave.began;
  if (keeps && !is_waiting(contact.row_request, state.now) &&
      !is_waiting(contact.write_request, state.now)) {
    contact.row_request = ask_platform(context, read_row{row_key(state)});
  }
}

void take_page(step_context& context, const std::string& from, const page& body) {
  node_state& state = context.state;
  contact_state& contact = state.contact;
  if (!contact.page_peer.empty() && contact.page_peer != from) {
    return;
  }
  contact.page_peer = from;
  const bool advances = body.next > contact.page_after && body.next.size() <= max_name_bytes;
  if (body.next.empty() || !advances) {
    contact.joined = true;
    contact.page_peer.clear();
    contact.page_after.clear();
    return;
  }
  contact.page_after = body.next;
  contact.next_ask = state.now + ask_period;
  ask_for_page(context, from);
}

bool take_contact_answer(step_context& context, const platform_answer& answer) {
  contact_state& contact = context.state.contact;
  if (settles(contact.list_request, answer)) {
    take_rows(context, answer);
    return true;
  }
  if (settles(contact.row_request, answer)) {
    take_own_row(context, answer);
    return true;
  }
  // Whatever became of a write, the next look reads the row before it writes again.
  return settles(contact.write_request, answer);
}

void forget_contact_requests(step_context& context) {
  contact_state& contact = context.state.contact;
  contact.list_request = {};
  contact.row_request = {};
  contact.write_request = {};
  contact.next_look = context.state.now;
}

} // namespace acaciasill::control
