#ifndef ACACIASILL_DECIDE_ENTRY_THRESHOLDS_H
#define ACACIASILL_DECIDE_ENTRY_THRESHOLDS_H

#include <atomic>
#include <cstdint>
#include <vector>

#include "acaciasill/decide/level.h"
#include "acaciasill/support/time.h"

// What a caller's daemon has learned of the admission thresholds behind a route, so that it sheds
// at once what a deeper hop would shed after work is done.
namespace acaciasill::decide {

// A fixed-size table of thresholds, one for each subject (a route or a service) and organisation.
struct entry_thresholds {
  entry_thresholds(std::uint32_t subject_count, std::uint32_t organisation_count)
      : subjects(subject_count), organisations(organisation_count),
        cells(static_cast<std::size_t>(subject_count) * organisation_count) {}

  std::uint32_t subjects;
  std::uint32_t organisations;
  // A threshold in the high half and the time of its last change in milliseconds in the low half;
  // 0 stands for one that was never learned.
  std::vector<std::atomic<std::uint64_t>> cells;
};

// A threshold that is this old without a reply is loosened by a first step of 1/64 of a half class;
// each further such time doubles the step, so that the strictest one is open after 1.1 s.
inline constexpr support::milliseconds ageing_period{100};

// The threshold in force now, loosened by its age; accept_all where nothing was learned.
level entry_threshold(const entry_thresholds& table, std::uint32_t subject,
                      std::uint32_t organisation, support::time_point now);

// Whether a request has to be refused (shed_at_entry) before anything is done for it.
bool shed_at_entry(const entry_thresholds& table, std::uint32_t subject, std::uint32_t organisation,
                   level request, support::time_point now);

// Takes in the threshold of a reply. A stricter one is followed at once, a looser one by a 16th of
// the difference, so that of several upstreams the strictest counts most.
void learn_threshold(entry_thresholds& table, std::uint32_t subject, std::uint32_t organisation,
                     level reply_threshold, support::time_point now);

} // namespace acaciasill::decide

#endif
