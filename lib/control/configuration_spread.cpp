#include "configuration_spread.h"

#include <algorithm>

#include "acaciasill/control/configuration_head.h"
#include "acaciasill/support/hash.h"
#include "object_fetching.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr const char* part = "configuration";

// Objects before the one in force that serve as a base for peers that are behind.
constexpr std::size_t kept_objects = 2;

// A peer that names a generation further ahead is believed only when the table's head agrees.
constexpr std::uint64_t max_generation_step = 1000000;

// Peers that are asked after the start or a pause.
constexpr std::size_t asked_peers = 3;

// Answers of peers that are enough to serve without the table's own.
constexpr std::size_t enough_answers = 2;

constexpr std::size_t max_sources = 8;

// The span over which nodes that see a conflict spread their reads of the head.
constexpr support::seconds conflict_spread{10};

// How much less often a node reads the head that has no duty to and is not ready yet; it hears of
// a configuration from those that have.
constexpr int slow_factor = 20;

// The span over which holders of the duty wait for a peer's offer before they read the object.
constexpr support::milliseconds peers_first{500};

// Failures after which a peer's word for an object gives way to another peer's.
constexpr std::uint32_t failures_before_doubt = 2;

void read_head(step_context& context) {
  configuration_state& configuration = context.state.configuration;
  if (!is_waiting(configuration.head_request, context.state.now)) {
    configuration.head_request =
        ask_platform(context, read_row{std::string(configuration_head_key)});
  }
}

// Wants the table's word on a conflict among peers. Nodes that all see the conflict at once read
// the head at different moments, so that they stay within the table's rate.
void want_head(step_context& context) {
  configuration_state& configuration = context.state.configuration;
  if (configuration.head_wanted) {
    return;
  }
  configuration.head_wanted = true;
  const auto delay = support::uniform_unit(context.random) * conflict_spread;
  const auto latest = context.state.now + std::chrono::duration_cast<support::duration>(delay);
  configuration.next_head = std::min(configuration.next_head, latest);
}

void put_in_force(step_context& context, std::string bytes) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  const object_fetch fetch = *configuration.fetch;
  configuration.fetch.reset();
  if (!configuration.in_force.digest.empty()) {
    configuration.previous.push_front(std::move(configuration.in_force));
    configuration.previous.resize(std::min(configuration.previous.size(), kept_objects));
  }
  configuration.generation = fetch.generation;
  configuration.in_force = {fetch.digest, std::move(bytes)};
  state.rumours.offers_left = spread_limit(state);
  context.actions.emplace_back(
      publish_configuration{fetch.generation, fetch.digest, configuration.in_force.bytes});
  log(context, support::log_level::info, part,
      "generation " + std::to_string(fetch.generation) + " is in force");
}

// Whether a named configuration is news that this node may act on.
bool is_news(const configuration_state& configuration, const configuration_offer& named,
             bool authoritative) {
  if (named.generation < configuration.generation || named.generation == 0) {
    return false;
  }
  if (named.generation == configuration.generation) {
    // The same generation with another object is a repair, which only the table can order.
    return authoritative && named.digest != configuration.in_force.digest;
  }
  const bool doubtful = configuration.fetch && !configuration.fetch->authoritative &&
                        configuration.fetch->failures >= failures_before_doubt &&
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

// Takes note of a configuration that a peer or the table's head named, and begins to fetch it.
void learn_configuration(step_context& context, const configuration_offer& named,
                         const std::string& source) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  const bool authoritative = source.empty();
  const bool far_ahead = configuration.generation > 0 &&
                         named.generation > configuration.generation + max_generation_step;
  if (!authoritative && far_ahead) {
    want_head(context);
    return;
  }
  if (!is_news(configuration, named, authoritative)) {
    const bool same = configuration.fetch && configuration.fetch->digest == named.digest;
    if (same) {
      add_source(*configuration.fetch, source);
      if (!authoritative && !configuration.fetch->begun) {
        ask_for_part(context);
      }
      configuration.fetch->authoritative |= authoritative;
    }
    return;
  }
  object_fetch fetch;
  fetch.generation = named.generation;
  fetch.digest = named.digest;
  fetch.authoritative = authoritative;
  fetch.begins_at = state.now;
  if (authoritative && configuration.generation > 0 && !is_alone(state)) {
    // A peer that is a little earlier spares the store and this node the whole object.
    const auto delay = support::uniform_unit(context.random) * peers_first;
    fetch.begins_at += std::chrono::duration_cast<support::duration>(delay);
  }
  add_source(fetch, source);
  configuration.fetch = std::move(fetch);
  run_fetch(context);
}

void take_head(step_context& context, const platform_answer& answer) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  configuration.head_wanted = false;
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
    log(context, support::log_level::error, part, "the table's head of configuration is corrupt");
    return;
  }
  configuration.head_answered = true;
  if (head->generation < configuration.generation) {
    if (configuration.logged_older == head->generation) {
      return;
    }
    configuration.logged_older = head->generation;
    log(context, support::log_level::error, part,
        "the table names generation " + std::to_string(head->generation) +
            ", which is older than the one in force");
    return;
  }
  learn_configuration(context, {head->generation, head->digest}, {});
}

void take_object(step_context& context, const platform_answer& answer) {
  configuration_state& configuration = context.state.configuration;
  if (answer.end != platform_end::done) {
    return;
  }
  if (support::sha256_hex(answer.bytes) != configuration.fetch->digest) {
    log(context, support::log_level::error, part, "the platform sent an object that is corrupt");
    return;
  }
  put_in_force(context, answer.bytes);
}

// Offers a new configuration to a few peers in each tick, as often as any other news.
void offer_news(step_context& context) {
  node_state& state = context.state;
  if (state.rumours.offers_left == 0) {
    return;
  }
  const std::uint32_t count = std::min(state.rumours.offers_left, state.settings.gossip_fanout);
  state.rumours.offers_left -= count;
  const configuration_state& configuration = state.configuration;
  const configuration_offer offer{configuration.generation, configuration.in_force.digest};
  auto peers = running_members(state, state.settings.data_centre);
  for (const auto& peer : choose_some(context.random, std::move(peers), count)) {
    send_body(context, peer, offer);
  }
}

} // namespace

void run_configuration(step_context& context) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  run_fetch(context);
  offer_news(context);
  const auto& timings = state.settings.timings;
  const bool polls = state.duties.polls_head || is_alone(state);
  const bool was_slow = configuration.head_failures == 0 &&
                        configuration.next_head - state.now > 2 * timings.head_period;
  if (polls && was_slow) {
    // The duty has just come to this node.
    configuration.next_head = state.now;
  }
  const bool asks = polls || !state.ready || configuration.head_wanted;
  if (asks && state.now >= configuration.next_head) {
    const auto period = polls ? timings.head_period : timings.head_period * slow_factor;
    configuration.next_head = state.now + jittered(context.random, period);
    read_head(context);
  }
}

void ask_for_configuration(step_context& context) {
  node_state& state = context.state;
  configuration_state& configuration = state.configuration;
  configuration.answered.clear();
  configuration.head_answered = false;
  // An answer to a question from before the pause may say what is no longer so.
  configuration.head_request = {};
  read_head(context);
  auto peers = running_members(state, state.settings.data_centre);
  if (peers.empty()) {
    peers = state.settings.seeds;
    std::erase(peers, state.settings.gossip_address);
  }
  for (const auto& peer : choose_some(context.random, std::move(peers), asked_peers)) {
    send_body(context, peer, configuration_query{});
  }
}

void note_generation(step_context& context, const std::string& from, std::uint64_t generation) {
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

void take_configuration_query(step_context& context, const std::string& from) {
  const configuration_state& configuration = context.state.configuration;
  send_records(context, from,
               configuration_offer{configuration.generation, configuration.in_force.digest}, {});
}

void take_configuration_offer(step_context& context, const std::string& from,
                              const configuration_offer& body) {
  configuration_state& configuration = context.state.configuration;
  if (body.generation > 0 && !is_digest(body.digest)) {
    return;
  }
  if (configuration.answered.size() < asked_peers * 2) {
    configuration.answered.insert(from);
  }
  const bool conflict = body.generation == configuration.generation && body.generation > 0 &&
                        body.digest != configuration.in_force.digest;
  if (conflict) {
    log(context, support::log_level::warning, part,
        "peer " + from + " names another object for the generation in force");
    want_head(context);
    return;
  }
  learn_configuration(context, body, from);
}

void take_chunk_request(step_context& context, const std::string& from, const chunk_request& body) {
  if (const auto reply = cut_part(context.state.configuration, body); reply) {
    send_records(context, from, *reply, {});
  }
}

void take_chunk(step_context& context, const std::string& from, const chunk& body) {
  if (auto object = take_part(context, from, body); object) {
    put_in_force(context, std::move(*object));
  }
}

bool take_configuration_answer(step_context& context, const platform_answer& answer) {
  configuration_state& configuration = context.state.configuration;
  if (settles(configuration.head_request, answer)) {
    take_head(context, answer);
    return true;
  }
  if (configuration.fetch && settles(configuration.fetch->request, answer)) {
    take_object(context, answer);
    return true;
  }
  return false;
}

bool configuration_is_settled(const node_state& state) {
  const configuration_state& configuration = state.configuration;
  const bool waited = state.now >= state.refresh_until;
  if (configuration.fetch && (!waited || configuration.generation == 0)) {
    return false;
  }
  if (configuration.generation == 0) {
    return state.settings.serve_without_configuration && waited;
  }
  return configuration.head_answered || configuration.answered.size() >= enough_answers ||
         (waited && !configuration.answered.empty());
}

} // namespace acaciasill::control
