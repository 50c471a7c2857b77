#include "duties.h"

#include <algorithm>
#include <tuple>

#include "acaciasill/support/hash.h"
#include "records.h"

namespace acaciasill::control {
namespace {

constexpr const char* head_duty = "head";
constexpr const char* seeds_duty = "seeds";

// Sort key of a member for a duty. Draining members come last and hold duties only if no other
// member is left.
struct duty_rank {
  bool draining = false;
  std::uint64_t rank = 0;
  const std::string* address = nullptr;

  bool operator<(const duty_rank& other) const {
    return std::tie(draining, rank, *address) <
           std::tie(other.draining, other.rank, *other.address);
  }
};

// Other data centres with a known member or seed row.
std::set<std::string> other_data_centres(const node_state& state) {
  std::set<std::string> names;
  for (const auto& [name, members] : state.records.by_data_centre) {
    names.insert(name);
  }
  for (const auto& [name, addresses] : state.bootstrap.seeds) {
    names.insert(name);
  }
  names.erase(state.settings.data_centre);
  return names;
}

bool holds_duty(const node_state& state, const std::string& duty, std::size_t count) {
  const auto holders = duty_holders(state, state.settings.data_centre, duty, count);
  return std::find(holders.begin(), holders.end(), state.settings.gossip_address) != holders.end();
}

void update_bridges(node_state& state) {
  std::map<std::string, bridge> bridges;
  for (const auto& name : other_data_centres(state)) {
    if (!holds_duty(state, bridge_duty(name), state.settings.bridges)) {
      continue;
    }
    const auto known = state.duties.bridges.find(name);
    bridge entry;
    entry.held_since = state.now;
    bridges[name] = known == state.duties.bridges.end() ? entry : known->second;
  }
  state.duties.bridges = std::move(bridges);
}

} // namespace

std::vector<std::string> duty_holders(const node_state& state, const std::string& data_centre,
                                      const std::string& duty, std::size_t count) {
  std::vector<duty_rank> ranks;
  const std::uint64_t seed = support::hash64(duty);
  const auto found = state.records.by_data_centre.find(data_centre);
  if (found == state.records.by_data_centre.end()) {
    return {};
  }
  for (const auto& address : found->second) {
    const member& fields = state.records.by_address.at(address).fields;
    if (fields.state == member_state::alive) {
      ranks.push_back({fields.draining, support::hash64(address, seed), &address});
    }
  }
  const std::size_t wanted = std::min(count, ranks.size());
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(wanted),
                    ranks.end());
  std::vector<std::string> holders;
  for (std::size_t index = 0; index < wanted; ++index) {
    holders.push_back(*ranks[index].address);
  }
  return holders;
}

std::string bridge_duty(const std::string& data_centre) {
  return "bridge/" + data_centre;
}

void update_duties(step_context& context) {
  node_state& state = context.state;
  if (state.duties.computed_at_change == state.records.changes) {
    return;
  }
  state.duties.computed_at_change = state.records.changes;
  const std::string& own = state.settings.data_centre;
  state.duties.polls_head = holds_duty(state, head_duty, state.settings.head_readers);
  const auto row_holders = duty_holders(state, own, seeds_duty, state.settings.seed_rows);
  const auto found =
      std::find(row_holders.begin(), row_holders.end(), state.settings.gossip_address);
  state.duties.seed_row.reset();
  if (found != row_holders.end()) {
    state.duties.seed_row = static_cast<std::uint32_t>(found - row_holders.begin());
  }
  update_bridges(state);
}

} // namespace acaciasill::control
