#include "configuration_distribution.h"

#include <algorithm>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/support/hash.h"
#include "object_fetching.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr const char* part = "configuration";

// Number of previous objects kept as difference bases for peers that lag behind.
constexpr std::size_t max_previous_objects = 2;

// Maximum generation increase accepted from a peer alone. Beyond it the table's head must confirm.
constexpr std::uint64_t max_generation_step = 1000000;

// Number of peers queried after a start or a pause.
constexpr std::size_t queried_peers = 3;

// Number of peer answers sufficient to serve without an answer from the table.
constexpr std::size_t sufficient_answers = 2;

constexpr std::size_t max_sources = 8;

// Window over which nodes that see a conflict randomise their reads of the head.
constexpr support::seconds conflict_read_window{10};

// Factor by which a node that is not ready and does not hold the duty reads the head less often. It
// normally learns of a configuration from the holders.
constexpr int idle_head_period_factor = 20;

// Window over which duty holders randomise their wait for a peer's offer before they fetch the
// object themselves.
constexpr support::milliseconds peer_offer_window{500};

// Fetch failures after which an object named by a peer may be replaced by one named by another
// peer.
constexpr std::uint32_t failures_before_replacement = 2;

void read_head(step_context& context) {
  configuration_state& configuration = context.state.configuration;
  if (!is_waiting(configuration.head_request, context.state.now)) {
    configuration.head_request =
        send_platform_request(context, read_row{std::string(configuration_head_key)});
  }
}

// Schedules a read of the head to resolve a conflict among peers. The time is random, so that nodes
// which see the conflict simultaneously stay within the table's rate limit.
void schedule_head_read(step_context& context) {
  configuration_state& configuration = context.state.configuration;
  if (configuration.head_read_wanted) {
    return;
  }
  configuration.head_read_wanted = true;
  const auto delay = support::uniform_unit(context.random) * conflict_read_window;
  const auto latest = context.state.now + std::chrono::duration_cast<support::duration>(delay);
  configuration.next_head = std::min(configuration.next_head, latest);
}

void activate_configuration(step_context& context, std::string bytes) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  const object_fetch fetch = *configuration.fetch;
  configuration.fetch.reset();
  if (!configuration.in_force.digest.empty()) {
    configuration.previous.push_front(std::move(configuration.in_force));
    configuration.previous.resize(std::min(configuration.previous.size(), max_previous_objects));
  }
  configuration.generation = fetch.generation;
  configuration.in_force = {fetch.digest, std::move(bytes)};
  state.outgoing.offers_left = retransmit_limit(state);
  context.actions.emplace_back(
      publish_configuration{fetch.generation, fetch.digest, configuration.in_force.bytes});
  log(context, support::log_level::info, part,
      "generation " + std::to_string(fetch.generation) + " is in force");
}

// Whether a configuration named by a peer or the head should be fetched.
bool should_fetch(const configuration_state& configuration, const configuration_offer& named,
                  bool authoritative) {
  if (named.generation < configuration.generation || named.generation == 0) {
    return false;
  }
  if (named.generation == configuration.generation) {
    // A different object for the same generation is a repair, which only the table can order.
    return authoritative && named.digest != configuration.in_force.digest;
  }
  const bool doubtful = configuration.fetch && !configuration.fetch->authoritative &&
                        configuration.fetch->failures >= failures_before_replacement &&
                        configuration.fetch->digest != named.digest;
  if (!configuration.fetch || doubtful) {
    return true;
  }
  if (named.generation == configuration.fetch->generation) {
    return authoritative && named.digest != configuration.fetch->digest;
  }
  return named.generation > configuration.fetch->generation;
}

void add_source(object_fetch& fetch, const std::string& source) {
  const auto& sources = fetch.sources;
  if (!source.empty() && sources.size() < max_sources &&
      std::find(sources.begin(), sources.end(), source) == sources.end()) {
    fetch.sources.push_back(source);
  }
}

// Handles a configuration named by a peer or by the table's head (empty source), and starts
// fetching it if needed.
void learn_configuration(step_context& context, const configuration_offer& named,
                         const std::string& source) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  const bool authoritative = source.empty();
  const bool far_ahead = configuration.generation > 0 &&
                         named.generation > configuration.generation + max_generation_step;
  if (!authoritative && far_ahead) {
    schedule_head_read(context);
    return;
  }
  if (!should_fetch(configuration, named, authoritative)) {
    const bool same = configuration.fetch && configuration.fetch->digest == named.digest;
    if (same) {
      add_source(*configuration.fetch, source);
      if (!authoritative && !configuration.fetch->begun) {
        request_chunk(context);
      }
      configuration.fetch->authoritative |= authoritative;
    }
    return;
  }
  object_fetch fetch;
  fetch.generation = named.generation;
  fetch.digest = named.digest;
  fetch.authoritative = authoritative;
  fetch.starts_at = state.now;
  if (authoritative && configuration.generation > 0 && !is_alone(state)) {
    // If a peer obtains the object first, this node can fetch a difference from it instead of the
    // whole object from the store.
    const auto delay = support::uniform_unit(context.random) * peer_offer_window;
    fetch.starts_at += std::chrono::duration_cast<support::duration>(delay);
  }
  add_source(fetch, source);
  configuration.fetch = std::move(fetch);
  run_fetch(context);
}

void handle_head_row(step_context& context, const platform_answer& answer) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  configuration.head_read_wanted = false;
  const bool absent = answer.rows.empty();
  if (answer.end != platform_end::done && answer.end != platform_end::refused) {
    ++configuration.head_failures;
    const auto& timings = state.settings.timings;
    const auto backoff =
        std::min(timings.platform_backoff,
                 timings.head_period * (1U << std::min(5U, configuration.head_failures)));
    configuration.next_head = state.now + jittered(context.random, backoff);
    return;
  }
  configuration.head_failures = 0;
  if (absent) {
    configuration.head_answered = true;
    return;
  }
  const auto head = decode_configuration_head(answer.rows.front().value);
  if (!head.ok()) {
    log(context, support::log_level::error, part, "configuration head in the table is corrupt");
    return;
  }
  configuration.head_answered = true;
  if (head->generation < configuration.generation) {
    if (configuration.logged_older == head->generation) {
      return;
    }
    configuration.logged_older = head->generation;
    log(context, support::log_level::error, part,
        "head in the table names generation " + std::to_string(head->generation) +
            ", older than the generation in force");
    return;
  }
  learn_configuration(context, {head->generation, head->digest}, {});
}

void handle_object(step_context& context, const platform_answer& answer) {
  configuration_state& configuration = context.state.configuration;
  if (answer.end != platform_end::done) {
    return;
  }
  if (support::sha256_hex(answer.bytes) != configuration.fetch->digest) {
    log(context, support::log_level::error, part,
        "configuration object from the platform does not match its digest");
    return;
  }
  activate_configuration(context, answer.bytes);
}

// Offers a new configuration to a few peers in each tick, up to the retransmit limit.
void offer_to_peers(step_context& context) {
  node_state& state = context.state;
  if (state.outgoing.offers_left == 0) {
    return;
  }
  const std::uint32_t count = std::min(state.outgoing.offers_left, state.settings.gossip_fanout);
  state.outgoing.offers_left -= count;
  const configuration_state& configuration = state.configuration;
  const configuration_offer offer{configuration.generation, configuration.in_force.digest};
  auto peers = running_members(state, state.settings.data_centre);
  for (const auto& peer : choose_random(context.random, std::move(peers), count)) {
    send_body(context, peer, offer);
  }
}

} // namespace

void run_configuration(step_context& context) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  run_fetch(context);
  offer_to_peers(context);
  const auto& timings = state.settings.timings;
  const bool polls = state.duties.polls_head || is_alone(state);
  const bool had_idle_period = configuration.head_failures == 0 &&
                               configuration.next_head - state.now > 2 * timings.head_period;
  if (polls && had_idle_period) {
    // The node has just acquired the duty, so it reads the head immediately.
    configuration.next_head = state.now;
  }
  const bool reads_head = polls || !state.ready || configuration.head_read_wanted;
  if (reads_head && state.now >= configuration.next_head) {
    const auto period = polls ? timings.head_period : timings.head_period * idle_head_period_factor;
    configuration.next_head = state.now + jittered(context.random, period);
    read_head(context);
  }
}

void query_configuration(step_context& context) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  configuration.answered.clear();
  configuration.head_answered = false;
  // An answer to a request from before the pause may be outdated.
  configuration.head_request = {};
  read_head(context);
  auto peers = running_members(state, state.settings.data_centre);
  if (peers.empty()) {
    peers = state.settings.seeds;
    std::erase(peers, state.settings.gossip_address);
  }
  for (const auto& peer : choose_random(context.random, std::move(peers), queried_peers)) {
    send_body(context, peer, configuration_query{});
  }
}

void handle_peer_generation(step_context& context, const std::string& from,
                            std::uint64_t generation) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  const std::uint64_t known =
      configuration.fetch ? configuration.fetch->generation : configuration.generation;
  if (generation <= known || state.now < configuration.next_query) {
    return;
  }
  configuration.next_query = state.now + state.settings.timings.tick;
  send_records(context, from, configuration_query{}, {});
}

void handle_configuration_query(step_context& context, const std::string& from) {
  const configuration_state& configuration = context.state.configuration;
  send_records(context, from,
               configuration_offer{configuration.generation, configuration.in_force.digest}, {});
}

void handle_configuration_offer(step_context& context, const std::string& from,
                                const configuration_offer& body) {
  configuration_state& configuration = context.state.configuration;
  if (body.generation > 0 && !is_digest(body.digest)) {
    return;
  }
  if (configuration.answered.size() < queried_peers * 2) {
    configuration.answered.insert(from);
  }
  const bool conflict = body.generation == configuration.generation && body.generation > 0 &&
                        body.digest != configuration.in_force.digest;
  if (conflict) {
    log(context, support::log_level::warning, part,
        "peer " + from + " names a different object for the generation in force");
    schedule_head_read(context);
    return;
  }
  learn_configuration(context, body, from);
}

void handle_chunk_request(step_context& context, const std::string& from,
                          const chunk_request& body) {
  if (const auto reply = make_chunk(context.state.configuration, body); reply) {
    send_records(context, from, *reply, {});
  }
}

void handle_chunk(step_context& context, const std::string& from, const chunk& body) {
  if (auto object = add_chunk(context, from, body); object) {
    activate_configuration(context, std::move(*object));
  }
}

bool handle_configuration_answer(step_context& context, const platform_answer& answer) {
  configuration_state& configuration = context.state.configuration;
  if (completes(configuration.head_request, answer)) {
    handle_head_row(context, answer);
    return true;
  }
  if (configuration.fetch && completes(configuration.fetch->request, answer)) {
    handle_object(context, answer);
    return true;
  }
  return false;
}

bool is_configuration_settled(const node_state& state) {
  const configuration_state& configuration = state.configuration;
  const bool waited = state.now >= state.refresh_until;
  if (configuration.fetch && (!waited || configuration.generation == 0)) {
    return false;
  }
  if (configuration.generation == 0) {
    return state.settings.serve_without_configuration && waited;
  }
  return configuration.head_answered || configuration.answered.size() >= sufficient_answers ||
         (waited && !configuration.answered.empty());
}

} // namespace acaciasill::control
