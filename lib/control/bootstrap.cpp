#include "bootstrap.h"

#include <algorithm>
#include <string_view>

#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr std::string_view rows_prefix = "seeds/";
constexpr std::uint32_t max_rows = 400;

// Number of peers from which a joining node requests the first page at the same time.
constexpr std::size_t seeds_per_join = 2;

// Interval at which an unanswered join is retried.
constexpr support::milliseconds join_retry_period{1000};

// Minimum interval between writes of the seed row by one node.
constexpr support::milliseconds write_period{5000};

std::string row_key(const node_state& state) {
  return std::string(rows_prefix) + state.settings.data_centre + "/" +
         std::to_string(*state.duties.seed_row);
}

// Returns the data centre of a key "seeds/<data centre>/<slot>", or an empty string for any other
// key.
std::string data_centre_of(const std::string& key) {
  const auto end = key.rfind('/');
  if (!key.starts_with(rows_prefix) || end <= rows_prefix.size()) {
    return {};
  }
  return key.substr(rows_prefix.size(), end - rows_prefix.size());
}

// Seeds of the local data centre are preferred, since its members share the most records. Others
// are used if none is known or after the refresh timeout.
std::vector<std::string> seed_addresses(const node_state& state) {
  const auto own = state.bootstrap.seeds.find(state.settings.data_centre);
  std::set<std::string> addresses(state.settings.seeds.begin(), state.settings.seeds.end());
  if (own != state.bootstrap.seeds.end()) {
    addresses.insert(own->second.begin(), own->second.end());
  }
  if (addresses.empty() || state.now >= state.refresh_until) {
    for (const auto& [data_centre, rows] : state.bootstrap.seeds) {
      addresses.insert(rows.begin(), rows.end());
    }
  }
  addresses.erase(state.settings.gossip_address);
  return {addresses.begin(), addresses.end()};
}

void request_page(step_context& context, const std::string& to) {
  send_correction(context, to, page_request{context.state.bootstrap.page_after},
                  context.state.settings.gossip_address);
}

void request_join(step_context& context) {
  node_state& state = context.state;
  bootstrap_state& bootstrap = state.bootstrap;
  bootstrap.next_page_request = state.now + jittered(context.random, join_retry_period);
  bootstrap.page_peer.clear();
  bootstrap.page_after.clear();
  // After a pause, previously known members serve as seeds too.
  auto addresses = seed_addresses(state);
  for (auto& address : running_members(state, state.settings.data_centre)) {
    addresses.push_back(std::move(address));
  }
  for (const auto& seed : choose_random(context.random, std::move(addresses), seeds_per_join)) {
    request_page(context, seed);
  }
}

// Contacts one seed that is not a known member, so that groups of nodes that never exchanged
// records merge.
void contact_unknown_seed(step_context& context) {
  node_state& state = context.state;
  std::vector<std::string> unknown_seeds;
  for (const auto& address : seed_addresses(state)) {
    const record* entry = find_record(state, address);
    if (entry == nullptr) {
      unknown_seeds.push_back(address);
    }
  }
  for (const auto& address : choose_random(context.random, std::move(unknown_seeds), 1)) {
    state.bootstrap.page_peer.clear();
    state.bootstrap.page_after.clear();
    request_page(context, address);
  }
}

void list_seed_rows(step_context& context) {
  node_state& state = context.state;
  bootstrap_state& bootstrap = state.bootstrap;
  const auto& timings = state.settings.timings;
  const auto period = bootstrap.joined ? timings.seeds_period : timings.head_period;
  const auto backoff = period * (1U << std::min(3U, bootstrap.failures));
  bootstrap.next_listing = state.now + jittered(context.random, backoff);
  if (!is_waiting(bootstrap.list_request, state.now)) {
    bootstrap.list_request =
        send_platform_request(context, list_rows{std::string(rows_prefix), max_rows});
  }
}

void handle_seed_rows(step_context& context, const platform_answer& answer) {
  bootstrap_state& bootstrap = context.state.bootstrap;
  if (answer.end != platform_end::done) {
    ++bootstrap.failures;
    return;
  }
  bootstrap.failures = 0;
  bootstrap.seeds.clear();
  for (const auto& row : answer.rows) {
    const std::string data_centre = data_centre_of(row.key);
    if (!data_centre.empty() && data_centre.size() <= max_name_bytes &&
        row.value.size() <= max_name_bytes && row.value.find(':') != std::string::npos) {
      bootstrap.seeds[data_centre].insert(row.value);
    }
  }
  // A row may name a data centre that is not yet known, so duties must be recomputed.
  context.state.duties.computed_at_change = 0;
}

// Writes this node's address into its seed row if the row holds another value.
void handle_own_row(step_context& context, const platform_answer& answer) {
  node_state& state = context.state;
  bootstrap_state& bootstrap = state.bootstrap;
  const bool known = answer.end == platform_end::done || answer.end == platform_end::refused;
  if (!known || !state.duties.seed_row || state.now < bootstrap.next_write) {
    return;
  }
  table_row row{row_key(state), state.settings.gossip_address, absent_version};
  if (!answer.rows.empty()) {
    // The duty may have moved to another row since this row was read; the answer then does not
    // apply.
    if (answer.rows.front().key != row.key || answer.rows.front().value == row.value) {
      return;
    }
    row.version = answer.rows.front().version;
  }
  bootstrap.next_write = state.now + write_period;
  bootstrap.write_request = send_platform_request(context, write_rows{{row}});
}

} // namespace

void run_bootstrap(step_context& context) {
  node_state& state = context.state;
  bootstrap_state& bootstrap = state.bootstrap;
  const bool alone = is_alone(state);
  if ((!bootstrap.joined || alone) && state.now >= bootstrap.next_page_request) {
    request_join(context);
  }
  const bool lists_rows = state.duties.seed_row || alone || !bootstrap.joined;
  if (!lists_rows || state.now < bootstrap.next_listing) {
    return;
  }
  list_seed_rows(context);
  if (bootstrap.joined) {
    contact_unknown_seed(context);
  }
  const bool maintains_row = state.duties.seed_row && state.confirmed && !state.leave.began_at;
  if (maintains_row && !is_waiting(bootstrap.row_request, state.now) &&
      !is_waiting(bootstrap.write_request, state.now)) {
    bootstrap.row_request = send_platform_request(context, read_row{row_key(state)});
  }
}

void handle_page(step_context& context, const std::string& from, const page& body) {
  node_state& state = context.state;
  bootstrap_state& bootstrap = state.bootstrap;
  if (!bootstrap.page_peer.empty() && bootstrap.page_peer != from) {
    return;
  }
  bootstrap.page_peer = from;
  const bool advances = body.next > bootstrap.page_after && body.next.size() <= max_name_bytes;
  if (body.next.empty() || !advances) {
    bootstrap.joined = true;
    bootstrap.page_peer.clear();
    bootstrap.page_after.clear();
    return;
  }
  bootstrap.page_after = body.next;
  bootstrap.next_page_request = state.now + join_retry_period;
  request_page(context, from);
}

bool handle_bootstrap_answer(step_context& context, const platform_answer& answer) {
  bootstrap_state& bootstrap = context.state.bootstrap;
  if (completes(bootstrap.list_request, answer)) {
    handle_seed_rows(context, answer);
    return true;
  }
  if (completes(bootstrap.row_request, answer)) {
    handle_own_row(context, answer);
    return true;
  }
  // The outcome of a write needs no handling, because the row is read again before the next write.
  return completes(bootstrap.write_request, answer);
}

void reset_bootstrap_requests(step_context& context) {
  bootstrap_state& bootstrap = context.state.bootstrap;
  bootstrap.list_request = {};
  bootstrap.row_request = {};
  bootstrap.write_request = {};
  bootstrap.next_listing = context.state.now;
}

} // namespace acaciasill::control
