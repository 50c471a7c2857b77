#ifndef ACACIASILL_DECIDE_PERMITS_H
#define ACACIASILL_DECIDE_PERMITS_H

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciasill/support/time.h"

// Rate limits of organisations over all instances together. The limit of an organisation is divided
// among the data centres by their numbers of daemons. In each data centre, one daemon, the
// coordinator of the organisation, holds that part as a bucket of permits, and the other daemons
// ask it for a permit for each request. Coordinators of different data centres transfer permits, so
// that demand may move between data centres. Permits are never in two places at once, and no
// decision needs an agreement: where daemons cannot reach each other, each side uses its own part.
namespace acaciasill::decide {

// Limit of an organisation.
struct organisation_limit {
  // Requests per second; 0 for no limit.
  double rate = 0.0;
  // Requests at once beyond the rate.
  double burst = 0.0;

  bool operator==(const organisation_limit&) const = default;
};

// How users measure a limit: in each window, an organisation may exceed rate x length + burst by
// the tolerance, a fraction of it, and by the slack.
struct measuring_window {
  // Length in seconds; 0 if limits are not measured by windows.
  double length_s = 0.0;
  double tolerance = 0.0;
  // Number of requests.
  double slack = 0.0;

  bool operator==(const measuring_window&) const = default;
};

// Returns the limit to apply so that as much as possible is admitted in each window. A part of the
// burst becomes rate, since demand is more often high for seconds than for moments. A part of the
// tolerance is left for requests that are admitted while a coordinator is replaced.
organisation_limit limit_for(const organisation_limit& stated, const measuring_window& window);

// Bucket of the permits of one organisation. The permits are those that have accrued since the time
// at which the bucket was empty, up to its capacity. Any thread may use it.
struct permit_bucket {
  // Time in nanoseconds. A new bucket is empty, since its predecessor in another process may have
  // granted all permits.
  std::atomic<std::int64_t> empty_ns{support::monotonic_now().time_since_epoch().count()};
};

// Part of a limit by which a bucket is filled.
struct bucket_part {
  // Permits per second; greater than 0.
  double rate = 1.0;
  // Maximum number of permits; at least 1.
  double capacity = 1.0;

  bool operator==(const bucket_part&) const = default;
};

// Returns the part of the limit; `fraction` is greater than 0 and at most 1.
bucket_part part_of(const organisation_limit& limit, double fraction);

// Empties the bucket.
void reset_permits(permit_bucket& bucket, support::time_point now);

// Removes the permits that accrued before the time. A daemon that takes over as a coordinator does
// not know how many of them its predecessor has granted.
void discard_permits_before(permit_bucket& bucket, support::time_point time);

// Returns the number of permits in the bucket.
double permits_in(const permit_bucket& bucket, const bucket_part& part, support::time_point now);

// Takes up to `wanted` permits and returns the number taken. At least `kept` permits remain, or
// none are taken.
std::uint32_t take_permits(permit_bucket& bucket, const bucket_part& part, std::uint32_t wanted,
                           double kept, support::time_point now);

// Adds permits; those beyond the capacity are lost.
void add_permits(permit_bucket& bucket, const bucket_part& part, std::uint32_t count,
                 support::time_point now);

// Returns the time until the bucket holds a permit; 0 if it does.
support::duration time_to_permit(const permit_bucket& bucket, const bucket_part& part,
                                 support::time_point now);

// Part of the capacity below which a coordinator asks other data centres for permits, and which it
// asks for.
inline constexpr double transfer_fraction = 0.25;

// Part of the capacity that a coordinator keeps when asked.
inline constexpr double kept_fraction = 0.1;

// Returns the number of permits to ask another data centre for; 0 if there are enough.
std::uint32_t permits_to_request(const permit_bucket& bucket, const bucket_part& part,
                                 support::time_point now);

// Takes the permits that a coordinator gives to another data centre.
std::uint32_t take_for_transfer(permit_bucket& bucket, const bucket_part& part,
                                std::uint32_t wanted, support::time_point now);

// Daemons of one data centre that may be coordinators, in the order of the hashes of their
// addresses.
struct coordinator_group {
  std::string data_centre;
  std::vector<std::string> addresses;
  std::vector<std::uint64_t> hashes;
  // Number of daemons of the data centre.
  std::uint32_t daemons = 0;

  bool operator==(const coordinator_group&) const = default;
};

// All coordinator groups as one daemon knows them.
struct coordinator_view {
  // Changes with each change of the groups.
  std::uint64_t version = 0;
  // The daemon's own data centre comes first.
  std::vector<coordinator_group> groups;
  // Number of daemons in the groups, and of all that are known, whether they serve or not.
  std::uint32_t daemons = 0;
  std::uint32_t known_daemons = 0;

  bool operator==(const coordinator_view&) const = default;
};

// Number of daemons in a data centre that are coordinators: enough to spread the load, but few
// enough that a daemon can hold connections to all.
std::size_t coordinator_count(std::size_t daemons);

// Builds a group; `addresses` are those of the data centre's daemons that serve.
coordinator_group make_group(std::string data_centre, std::vector<std::string> addresses);

// Part of an organisation's limit that the group's coordinator holds.
double fraction_of_group(const coordinator_view& view, std::size_t group);

// Part of an organisation's limit that a daemon uses that reaches no other one: all of it if it is
// the only one listed. Otherwise the part comes on top of the limit, since the others do not know
// of it, and is small for that reason.
double fraction_of_isolated(const coordinator_view& view, std::string_view own_address);

// Number of daemons of a group that are tried as the coordinator of an organisation.
inline constexpr std::size_t coordinator_candidates = 3;

// Returns the indices of the group's addresses to try for an organisation, best first.
std::vector<std::uint32_t> choose_coordinators(const coordinator_group& group,
                                               std::uint64_t organisation_hash);

// Returns the addresses that a daemon asks for an organisation's permits, best first: those of its
// own data centre, or those of the others if no daemon of its own serves.
std::vector<std::string> addresses_to_ask(const coordinator_view& view,
                                          std::uint64_t organisation_hash);

// Sender of a message to a coordinator.
enum class permit_sender : std::uint8_t {
  daemon,      // A daemon of the data centre.
  substitute,  // A daemon that was asked because the sender did not reach the coordinator.
  coordinator, // The coordinator of another data centre, which asks for a transfer.
};

// Message to a coordinator.
struct permit_request {
  std::uint64_t organisation_hash = 0;
  // Number of permits; 0 to find out whether the receiver answers.
  std::uint32_t count = 0;
  permit_sender sender = permit_sender::daemon;

  bool operator==(const permit_request&) const = default;
};

// Answer of a coordinator.
struct permit_grant {
  std::uint32_t count = 0;
  // Time until the next permit is expected if fewer were granted than wanted.
  support::milliseconds wait{0};

  bool operator==(const permit_grant&) const = default;
};

std::string encode(const permit_request& message);
std::string encode(const permit_grant& message);

// Decode messages; nullopt if the text was not written by encode.
std::optional<permit_request> decode_permit_request(std::string_view text);
std::optional<permit_grant> decode_permit_grant(std::string_view text);

} // namespace acaciasill::decide

#endif
