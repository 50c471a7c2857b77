#include "acaciasill/decide/permits.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <utility>

#include "acaciasill/support/hash.h"

namespace acaciasill::decide {

namespace {

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double nanoseconds_per_second = 1e9;
// Part of a limit that all daemons use together if none reaches another.
constexpr double isolated_fraction = 0.05;
constexpr std::size_t min_coordinators = 16;
constexpr std::size_t daemons_per_coordinator = 16;
// Upper bounds on values in messages.
constexpr std::uint32_t max_permits_per_message = 1U << 20U;
constexpr std::int64_t max_wait_ms = 60000;

double interval_ns(const bucket_part& part) {
  return nanoseconds_per_second / part.rate;
}

std::int64_t nanoseconds_of(support::time_point now) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
}

std::int64_t span_of(const bucket_part& part, double permits) {
  return static_cast<std::int64_t>(permits * interval_ns(part));
}

// Returns the time at which the bucket was empty, not so early that it would exceed its capacity.
std::int64_t bounded_empty_time(std::int64_t empty_ns, const bucket_part& part,
                                std::int64_t now_ns) {
  return std::max(empty_ns, now_ns - span_of(part, part.capacity));
}

// Splits a text into the numbers between its blanks; nullopt if it is anything else.
template <std::size_t Count>
std::optional<std::array<std::uint64_t, Count>> split_numbers(std::string_view text) {
  std::array<std::uint64_t, Count> numbers{};
  const char* position = text.data();
  const char* const last = text.data() + text.size();
  for (std::size_t index = 0; index < Count; ++index) {
    const auto [end, error] = std::from_chars(position, last, numbers[index]);
    const bool is_last = index + 1 == Count;
    if (error != std::errc() || (is_last ? end != last : end == last || *end != ' ')) {
      return std::nullopt;
    }
    position = is_last ? end : end + 1;
  }
  return numbers;
}

} // namespace

organisation_limit limit_for(const organisation_limit& stated, const measuring_window& window) {
  constexpr double burst_part_as_rate = 0.8;
  constexpr double used_tolerance = 0.4;
  if (stated.rate <= 0.0 || window.length_s <= 0.0) {
    return stated;
  }
  const double in_window = stated.rate * window.length_s + stated.burst;
  const double tolerated = window.tolerance * in_window + window.slack;
  return {stated.rate + burst_part_as_rate * stated.burst / window.length_s,
          (1.0 - burst_part_as_rate) * stated.burst + used_tolerance * tolerated};
}

bucket_part part_of(const organisation_limit& limit, double fraction) {
  return {limit.rate * fraction, std::max(1.0, limit.burst * fraction)};
}

void reset_permits(permit_bucket& bucket, support::time_point now) {
  bucket.empty_ns.store(nanoseconds_of(now), relaxed);
}

void discard_permits_before(permit_bucket& bucket, support::time_point time) {
  const auto start_ns = nanoseconds_of(time);
  auto before = bucket.empty_ns.load(relaxed);
  while (before < start_ns && !bucket.empty_ns.compare_exchange_weak(before, start_ns, relaxed)) {
  }
}

double permits_in(const permit_bucket& bucket, const bucket_part& part, support::time_point now) {
  const auto now_ns = nanoseconds_of(now);
  const auto empty_ns = bounded_empty_time(bucket.empty_ns.load(relaxed), part, now_ns);
  return static_cast<double>(now_ns - empty_ns) / interval_ns(part);
}

std::uint32_t take_permits(permit_bucket& bucket, const bucket_part& part, std::uint32_t wanted,
                           double kept, support::time_point now) {
  // Keeps the rounding of times from withholding a permit that is due.
  constexpr double rounding = 1e-6;
  const auto now_ns = nanoseconds_of(now);
  auto before = bucket.empty_ns.load(relaxed);
  while (true) {
    const auto empty_ns = bounded_empty_time(before, part, now_ns);
    const double permits = static_cast<double>(now_ns - empty_ns) / interval_ns(part);
    const double available = std::floor(permits - kept + rounding);
    if (available < 1.0 || wanted == 0) {
      return 0;
    }
    const auto taken = static_cast<std::uint32_t>(std::min<double>(available, wanted));
    if (bucket.empty_ns.compare_exchange_weak(before, empty_ns + span_of(part, taken), relaxed)) {
      return taken;
    }
  }
}

void add_permits(permit_bucket& bucket, const bucket_part& part, std::uint32_t count,
                 support::time_point now) {
  const auto now_ns = nanoseconds_of(now);
  auto before = bucket.empty_ns.load(relaxed);
  while (true) {
    const auto after = bounded_empty_time(before, part, now_ns) - span_of(part, count);
    if (bucket.empty_ns.compare_exchange_weak(before, bounded_empty_time(after, part, now_ns),
                                              relaxed)) {
      return;
    }
  }
}

support::duration time_to_permit(const permit_bucket& bucket, const bucket_part& part,
                                 support::time_point now) {
  const double missing = 1.0 - permits_in(bucket, part, now);
  return missing <= 0.0 ? support::duration::zero()
                        : std::chrono::duration_cast<support::duration>(
                              std::chrono::nanoseconds(span_of(part, missing)));
}

std::uint32_t permits_to_request(const permit_bucket& bucket, const bucket_part& part,
                                 support::time_point now) {
  const double level = std::max(1.0, part.capacity * transfer_fraction);
  if (permits_in(bucket, part, now) >= level) {
    return 0;
  }
  return std::min(static_cast<std::uint32_t>(std::ceil(level)), max_permits_per_message);
}

std::uint32_t take_for_transfer(permit_bucket& bucket, const bucket_part& part,
                                std::uint32_t wanted, support::time_point now) {
  return take_permits(bucket, part, wanted, part.capacity * kept_fraction, now);
}

std::size_t coordinator_count(std::size_t daemons) {
  return std::min(daemons, std::max(min_coordinators, daemons / daemons_per_coordinator));
}

coordinator_group make_group(std::string data_centre, std::vector<std::string> addresses) {
  coordinator_group group;
  group.data_centre = std::move(data_centre);
  group.daemons = static_cast<std::uint32_t>(addresses.size());
  std::vector<std::pair<std::uint64_t, std::string>> ordered;
  ordered.reserve(addresses.size());
  for (auto& address : addresses) {
    const auto hash = support::hash64(address);
    ordered.emplace_back(hash, std::move(address));
  }
  std::sort(ordered.begin(), ordered.end());
  ordered.resize(coordinator_count(ordered.size()));
  for (auto& [hash, address] : ordered) {
    group.hashes.push_back(hash);
    group.addresses.push_back(std::move(address));
  }
  return group;
}

double fraction_of_group(const coordinator_view& view, std::size_t group) {
  return static_cast<double>(view.groups[group].daemons) / std::max(1U, view.daemons);
}

double fraction_of_isolated(const coordinator_view& view, std::string_view own_address) {
  const bool is_only_one = view.daemons == 1 && view.groups.front().daemons == 1 &&
                           view.groups.front().addresses.front() == own_address;
  return is_only_one ? 1.0 : isolated_fraction / std::max({1U, view.daemons, view.known_daemons});
}

std::vector<std::uint32_t> choose_coordinators(const coordinator_group& group,
                                               std::uint64_t organisation_hash) {
  std::vector<std::uint32_t> order(group.hashes.size());
  std::iota(order.begin(), order.end(), 0U);
  const auto weight = [&](std::uint32_t index) {
    const std::array<std::uint64_t, 2> pair{group.hashes[index], organisation_hash};
    return support::hash64(
        std::string_view(reinterpret_cast<const char*>(pair.data()), sizeof pair));
  };
  const auto count = std::min(order.size(), coordinator_candidates);
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(order.begin(), end, order.end(), [&](std::uint32_t left, std::uint32_t right) {
    return weight(left) > weight(right);
  });
  order.resize(count);
  return order;
}

std::vector<std::string> addresses_to_ask(const coordinator_view& view,
                                          std::uint64_t organisation_hash) {
  std::vector<std::string> addresses;
  if (view.groups.empty()) {
    return addresses;
  }
  const auto append = [&](const coordinator_group& group, std::size_t count) {
    auto chosen = choose_coordinators(group, organisation_hash);
    chosen.resize(std::min(chosen.size(), count));
    for (const auto index : chosen) {
      addresses.push_back(group.addresses[index]);
    }
  };
  append(view.groups.front(), coordinator_candidates);
  // Spreads the organisations over the other data centres.
  const auto others = view.groups.size() - 1;
  for (std::size_t offset = 0; view.groups.front().daemons == 0 && offset < others; ++offset) {
    append(view.groups[1 + (organisation_hash + offset) % others],
           offset == 0 ? coordinator_candidates : 1);
  }
  return addresses;
}

std::string encode(const permit_request& message) {
  return std::to_string(message.organisation_hash) + ' ' + std::to_string(message.count) + ' ' +
         std::to_string(static_cast<int>(message.sender));
}

std::string encode(const permit_grant& message) {
  return std::to_string(message.count) + ' ' + std::to_string(message.wait.count());
}

std::optional<permit_request> decode_permit_request(std::string_view text) {
  const auto numbers = split_numbers<3>(text);
  if (!numbers) {
    return std::nullopt;
  }
  const auto [hash, count, sender] = *numbers;
  if (count > max_permits_per_message ||
      sender > static_cast<std::uint64_t>(permit_sender::coordinator)) {
    return std::nullopt;
  }
  return permit_request{hash, static_cast<std::uint32_t>(count),
                        static_cast<permit_sender>(sender)};
}

std::optional<permit_grant> decode_permit_grant(std::string_view text) {
  const auto numbers = split_numbers<2>(text);
  if (!numbers) {
    return std::nullopt;
  }
  const auto [count, wait] = *numbers;
  if (count > max_permits_per_message || wait > max_wait_ms) {
    return std::nullopt;
  }
  return permit_grant{static_cast<std::uint32_t>(count),
                      support::milliseconds(static_cast<std::int64_t>(wait))};
}

} // namespace acaciasill::decide
