#ifndef ACACIASILL_BOARD_GENERATION_WATCH_H
#define ACACIASILL_BOARD_GENERATION_WATCH_H

#include <atomic>
#include <cstdint>
#include <optional>

#include "acaciasill/support/time.h"

// Calls and replies carry the generation of the configuration in force at their sender. A daemon
// that no longer receives configurations can thus detect that it is behind its peers.
namespace acaciasill::board {

// Generation in force at this daemon and the highest generation seen from peers. Any thread may
// write them.
struct generation_watch {
  std::atomic<std::uint64_t> in_force{0};
  // Highest generation received with a call or a reply.
  std::atomic<std::uint64_t> highest_seen{0};
};

// Records the generation in force at a peer.
void record_peer_generation(generation_watch& watch, std::uint64_t generation);

// Time for which this daemon may be behind its peers before it requests the configuration. A
// configuration normally reaches all daemons within some tens of milliseconds of each other.
inline constexpr support::milliseconds generation_lag_tolerance{300};
// Minimum interval between two requests for the configuration.
inline constexpr support::milliseconds configuration_request_interval{500};

// State of the lag detection, owned by the control thread.
struct generation_lag {
  std::optional<support::time_point> since;
  std::optional<support::time_point> last_requested;
};

// Returns true if peers are ahead of this daemon and it has to request the configuration now. To be
// called about every 100 ms.
bool should_request_configuration(const generation_watch& watch, generation_lag& lag,
                                  support::time_point now);

} // namespace acaciasill::board

#endif
