#ifndef ACACIASILL_DECIDE_ENTRY_THRESHOLDS_H
#define ACACIASILL_DECIDE_ENTRY_THRESHOLDS_H

#include <atomic>
#include <cstdint>
#include <vector>

#include "acaciasill/decide/level.h"
#include "acaciasill/support/time.h"

// Admission thresholds of the services behind a route, as learned by a caller's daemon from
// replies. The entry sheds with them at once what a deeper hop would shed only after work has been
// done.
namespace acaciasill::decide {

// Fixed-size table of thresholds, one per subject (a route or a service) and organisation.
struct entry_thresholds {
  entry_thresholds(std::uint32_t subject_count, std::uint32_t organisation_count)
      : subjects(subject_count), organisations(organisation_count),
        cells(static_cast<std::size_t>(subject_count) * organisation_count) {}

  std::uint32_t subjects;
  std::uint32_t organisations;
  // Threshold in the high half and time of its last change in milliseconds in the low half; 0 if no
  // threshold has been learned.
  std::vector<std::atomic<std::uint64_t>> cells;
};

// Interval after which a threshold without a new reply is loosened, by 1/64 of a half class at
// first. The step doubles with each further interval, so that even the strictest threshold is fully
// open after 1.1 s.
inline constexpr support::milliseconds ageing_period{100};

// Returns the current threshold, loosened according to its age; accept_all if none has been
// learned.
level entry_threshold(const entry_thresholds& table, std::uint32_t subject,
                      std::uint32_t organisation, support::time_point now);

// Returns true if a request has to be refused (shed_at_entry) before any work is done for it.
bool shed_at_entry(const entry_thresholds& table, std::uint32_t subject, std::uint32_t organisation,
                   level request, support::time_point now);

// Records the threshold of a reply. A stricter threshold takes effect at once; a looser one moves
// the stored threshold by 1/16 of the difference, so that the strictest of several upstreams
// dominates.
void record_threshold(entry_thresholds& table, std::uint32_t subject, std::uint32_t organisation,
                      level reply_threshold, support::time_point now);

} // namespace acaciasill::decide

#endif
