#include "object_fetching.h"

#include <algorithm>

#include "acaciasill/support/hash.h"
#include "object_difference.h"
#include "records.h"
#include "sending.h"

namespace acaciasill::control {
namespace {

constexpr const char* part = "configuration";

// Number of failures after which the platform is queried in addition to peers.
constexpr std::uint32_t failures_before_platform = 2;

// Number of failures after which a fetch of an object named only by a peer is abandoned.
constexpr std::uint32_t max_failures = 6;

std::string choose_source(step_context& context, const object_fetch& fetch) {
  auto chosen = choose_random(context.random, fetch.sources, 1);
  if (chosen.empty()) {
    auto peers = running_members(context.state, context.state.settings.data_centre);
    chosen = choose_random(context.random, std::move(peers), 1);
  }
  return chosen.empty() ? std::string{} : chosen.front();
}

void request_object_from_platform(step_context& context) {
  object_fetch& fetch = *context.state.configuration.fetch;
  if (!is_waiting(fetch.request, context.state.now)) {
    fetch.request = send_platform_request(context, read_object{fetch.digest});
  }
}

void restart_fetch(object_fetch& fetch) {
  fetch.layout.reset();
  fetch.middle.clear();
}

// Whether a chunk directly follows those received so far and agrees with them.
bool is_next_chunk(const configuration_state& configuration, const object_fetch& fetch,
                   const chunk& body) {
  if (body.bytes.size() > max_chunk_bytes || body.total > max_object_bytes ||
      body.offset != fetch.middle.size() || body.bytes.size() > body.total - body.offset ||
      (body.bytes.empty() && body.total != body.offset)) {
    return false;
  }
  if (!body.base_digest.empty() && body.base_digest != configuration.in_force.digest) {
    return false;
  }
  const auto& layout = fetch.layout;
  return !layout || (layout->base_digest == body.base_digest && layout->prefix == body.prefix &&
                     layout->suffix == body.suffix && layout->total == body.total);
}

const held_object* find_object(const configuration_state& configuration,
                               const std::string& digest) {
  if (digest.empty()) {
    return nullptr;
  }
  if (configuration.in_force.digest == digest) {
    return &configuration.in_force;
  }
  const auto found = std::find_if(configuration.previous.begin(), configuration.previous.end(),
                                  [&](const held_object& held) { return held.digest == digest; });
  return found == configuration.previous.end() ? nullptr : &*found;
}

} // namespace

void request_chunk(step_context& context) {
  node_state& state = context.state;
  object_fetch& fetch = *state.configuration.fetch;
  fetch.asked_at = state.now;
  fetch.begun = true;
  if (fetch.source.empty()) {
    fetch.source = choose_source(context, fetch);
  }
  if (fetch.sources.empty() || fetch.failures >= failures_before_platform) {
    request_object_from_platform(context);
  }
  if (fetch.source.empty()) {
    return;
  }
  const std::string base = fetch.without_base ? "" : state.configuration.in_force.digest;
  const auto offset = static_cast<std::uint32_t>(fetch.middle.size());
  send_records(context, fetch.source, chunk_request{fetch.digest, base, offset}, {});
}

void fail_source(step_context& context, bool drop_base) {
  object_fetch& fetch = *context.state.configuration.fetch;
  ++fetch.failures;
  std::erase(fetch.sources, fetch.source);
  fetch.source.clear();
  fetch.without_base = fetch.without_base || drop_base;
  restart_fetch(fetch);
  request_chunk(context);
}

void run_fetch(step_context& context) {
  node_state& state = context.state;
  if (!state.configuration.fetch) {
    return;
  }
  const object_fetch& fetch = *state.configuration.fetch;
  if (!fetch.begun) {
    if (state.now >= fetch.starts_at) {
      request_chunk(context);
    }
    return;
  }
  const auto& timings = state.settings.timings;
  const support::milliseconds timeout = std::min(
      timings.platform_backoff, timings.chunk_timeout * (1U << std::min(5U, fetch.failures)));
  if (state.now - fetch.asked_at < timeout) {
    return;
  }
  if (!fetch.authoritative && fetch.failures >= max_failures) {
    log(context, support::log_level::warning, part,
        "no peer supplied the object of generation " + std::to_string(fetch.generation));
    state.configuration.fetch.reset();
    return;
  }
  fail_source(context, false);
}

std::optional<std::string> add_chunk(step_context& context, const std::string& from,
                                     const chunk& body) {
  configuration_state& configuration = context.state.configuration;
  if (!configuration.fetch || body.digest != configuration.fetch->digest ||
      from != configuration.fetch->source) {
    return std::nullopt;
  }
  object_fetch& fetch = *configuration.fetch;
  if (!is_next_chunk(configuration, fetch, body)) {
    // A duplicated or late chunk is ignored; anything else missing is requested again after the
    // timeout.
    return std::nullopt;
  }
  fetch.layout = body;
  fetch.middle += body.bytes;
  if (fetch.middle.size() < body.total) {
    request_chunk(context);
    return std::nullopt;
  }
  const std::string_view base =
      body.base_digest.empty() ? std::string_view{} : configuration.in_force.bytes;
  std::string object = join_object(base, {body.prefix, body.suffix}, fetch.middle);
  if (support::sha256_hex(object) == fetch.digest) {
    return object;
  }
  log(context, support::log_level::warning, part,
      "peer " + from + " sent an object that does not match its digest");
  fail_source(context, true);
  return std::nullopt;
}

std::optional<chunk> make_chunk(const configuration_state& configuration,
                                const chunk_request& body) {
  const held_object* object = find_object(configuration, body.digest);
  if (object == nullptr) {
    return std::nullopt;
  }
  const held_object* base = find_object(configuration, body.base_digest);
  chunk reply;
  reply.digest = body.digest;
  object_difference difference;
  if (base != nullptr) {
    difference = compare_objects(base->bytes, object->bytes);
    reply.base_digest = body.base_digest;
  }
  const std::string_view middle = middle_of(object->bytes, difference);
  if (body.offset > middle.size()) {
    return std::nullopt;
  }
  reply.prefix = difference.prefix;
  reply.suffix = difference.suffix;
  reply.total = static_cast<std::uint32_t>(middle.size());
  reply.offset = body.offset;
  reply.bytes = middle.substr(body.offset, max_chunk_bytes);
  return reply;
}

} // namespace acaciasill::control
