#ifndef ACACIASILL_BOARD_GENERATION_WATCH_H
#define ACACIASILL_BOARD_GENERATION_WATCH_H

#include <atomic>
#include <cstdint>
#include <optional>

#include "acaciasill/support/time.h"

// Calls and replies carry the generation of the configuration that is in force at their sender, so
// that a daemon whose own source of configurations has fallen silent learns that it is behind.
namespace acaciasill::board {

// The generations that this daemon has in force and has heard of. Any thread may write them.
struct generation_watch {
  std::atomic<std::uint64_t> in_force{0};
  // The largest that came with a call or a reply.
  std::atomic<std::uint64_t> heard{0};
};

// Takes in the generation that a peer has in force.
void hear_generation(generation_watch& watch, std::uint64_t generation);

// How long a generation that peers have in force may be missing here before the daemon asks for it.
// Configurations reach all daemons within some tens of milliseconds of each other.
inline constexpr support::milliseconds tolerated_lag{300};
// The pause between two such questions.
inline constexpr support::milliseconds catch_up_pause{500};

// What the control thread remembers of a lag.
struct generation_lag {
  std::optional<support::time_point> since;
  std::optional<support::time_point> last_asked;
};

// Whether the daemon has to ask for the configuration now, since peers are ahead of it. Call it
// every 100 ms or so.
bool must_catch_up(const generation_watch& watch, generation_lag& lag, support::time_point now);

} // namespace acaciasill::board

#endif
