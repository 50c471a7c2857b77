#include "acaciasill/decide/crash_suspects.h"

#include <algorithm>
#include <map>

namespace acaciasill::decide {

namespace {

void sort_unique(crash_requests& requests) {
  std::sort(requests.begin(), requests.end());
  requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
}

// Removes the oldest crashes beyond the bounds.
void trim(crash_log& log) {
  std::size_t requests = 0;
  auto kept = log.crashes.end();
  while (kept != log.crashes.begin()) {
    requests += std::prev(kept)->requests.size();
    const auto crashes = static_cast<std::size_t>(log.crashes.end() - kept) + 1;
    if (requests > max_recorded_requests || crashes > max_recorded_crashes) {
      break;
    }
    --kept;
  }
  log.crashes.erase(log.crashes.begin(), kept);
}

// Reduces crashes that a refused request explains to that request, which leaves room for others.
void reduce_explained(crash_log& log, std::span<const content_hash> refused) {
  for (auto& crash : log.crashes) {
    crash_requests explaining;
    std::set_intersection(crash.requests.begin(), crash.requests.end(), refused.begin(),
                          refused.end(), std::back_inserter(explaining));
    if (!explaining.empty()) {
      crash.requests = std::move(explaining);
    }
  }
}

} // namespace

void record_unanswered(crash_log& log, content_hash content, support::time_point now) {
  std::erase_if(log.unanswered,
                [now](const unanswered_call& call) { return now - call.ended > crash_window; });
  if (log.unanswered.size() == max_unanswered_calls) {
    log.unanswered.erase(log.unanswered.begin());
  }
  log.unanswered.push_back({content, now});
}

void record_alive(crash_log& log, support::time_point sent) {
  std::erase_if(log.unanswered, [sent](const unanswered_call& call) { return call.ended < sent; });
}

bool record_crash(crash_log& log, std::span<const content_hash> refused, support::time_point now) {
  crash_requests requests;
  for (const auto& call : log.unanswered) {
    if (now - call.ended <= crash_window && is_listed(refused, call.content)) {
      requests.push_back(call.content);
    }
  }
  for (auto call = log.unanswered.rbegin();
       call != log.unanswered.rend() && requests.size() < max_requests_per_crash; ++call) {
    if (now - call->ended <= crash_window) {
      requests.push_back(call->content);
    }
  }
  log.unanswered.clear();
  if (requests.empty()) {
    return false;
  }
  sort_unique(requests);
  reduce_explained(log, refused);
  log.crashes.push_back({std::move(requests), now});
  trim(log);
  return true;
}

bool record_answered(crash_log& log, content_hash content) {
  bool changed = false;
  for (auto& crash : log.crashes) {
    changed = std::erase(crash.requests, content) != 0 || changed;
  }
  std::erase_if(log.crashes, [](const recorded_crash& crash) { return crash.requests.empty(); });
  return changed;
}

void adopt_crashes(crash_log& log, std::span<const crash_requests> crashes,
                   support::time_point now) {
  for (const auto& requests : crashes) {
    auto& adopted = log.crashes.emplace_back(recorded_crash{requests, now});
    sort_unique(adopted.requests);
  }
  trim(log);
}

bool expire_crashes(crash_log& log, support::time_point now) {
  return std::erase_if(log.crashes, [now](const recorded_crash& crash) {
           return now - crash.when >= crash_lifetime;
         }) != 0;
}

std::vector<crash_requests> shared_crashes(const crash_log& log) {
  std::vector<crash_requests> shared;
  for (const auto& crash : log.crashes) {
    shared.push_back(crash.requests);
  }
  return shared;
}

bool is_within_bounds(std::span<const crash_requests> crashes) {
  std::size_t requests = 0;
  for (const auto& crash : crashes) {
    requests += crash.size();
  }
  return crashes.size() <= max_recorded_crashes && requests <= max_recorded_requests;
}

bool is_listed(std::span<const content_hash> sorted, content_hash content) {
  return std::binary_search(sorted.begin(), sorted.end(), content);
}

std::vector<content_hash> refused_requests(std::vector<crash_requests> crashes) {
  std::vector<content_hash> refused;
  while (true) {
    std::map<content_hash, std::size_t> counts;
    std::size_t most = 0;
    for (const auto& requests : crashes) {
      for (const auto content : requests) {
        most = std::max(most, ++counts[content]);
      }
    }
    if (most < crashes_until_refused) {
      break;
    }
    crash_requests causes;
    for (const auto& [content, count] : counts) {
      if (count == most) {
        causes.push_back(content);
      }
    }
    std::erase_if(crashes, [&causes](const crash_requests& requests) {
      return std::any_of(requests.begin(), requests.end(),
                         [&causes](content_hash content) { return is_listed(causes, content); });
    });
    refused.insert(refused.end(), causes.begin(), causes.end());
  }
  std::sort(refused.begin(), refused.end());
  return refused;
}

} // namespace acaciasill::decide
