#include "crash_monitor.h"

#include <algorithm>
#include <utility>

#include "acaciasill/board/call_board.h"
#include "acaciasill/support/log.h"
#include "acaciasill/wire/call.h"

#include "running_call.h"

namespace acaciasill::daemon {
namespace {

using support::log_level;
using support::write_event;

// Minimum time between two updates of the own row because requests were cleared.
constexpr support::milliseconds update_period{1000};

} // namespace

bool is_refused_for_crashes(board::call_board& board, const wire::call_request& request) {
  const board::rcu_read_guard guard;
  const auto& refused = board.crashes.read(guard).refused;
  if (refused.empty() || !decide::is_listed(refused, hash_content(request))) {
    return false;
  }
  board.crashing_calls_refused.fetch_add(1, std::memory_order_relaxed);
  return true;
}

void crash_monitor::record_unanswered(decide::content_hash content) {
  decide::record_unanswered(log_, content, support::monotonic_now());
}

void crash_monitor::record_answered(decide::content_hash content) {
  is_changed_ = decide::record_answered(log_, content) || is_changed_;
}

void crash_monitor::record_alive(support::time_point sent) {
  decide::record_alive(log_, sent);
}

bool crash_monitor::record_crash(const std::string& instance, const char* sign) {
  if (!decide::record_crash(log_, published_.refused, support::monotonic_now())) {
    return false;
  }
  write_event(log_level::warning, "backend", "backend server crashed",
              {{"instance", instance},
               {"sign", sign},
               {"requests", std::to_string(log_.crashes.back().requests.size())},
               {"crashes", std::to_string(log_.crashes.size())}});
  return true;
}

bool crash_monitor::update(support::time_point now) {
  is_changed_ = decide::expire_crashes(log_, now) || is_changed_;
  if (!is_changed_ || now < next_update_) {
    return false;
  }
  next_update_ = now + update_period;
  is_changed_ = false;
  return true;
}

void crash_monitor::adopt(const control::directory_entry& own) {
  decide::adopt_crashes(log_, own.crashes, support::monotonic_now());
}

std::vector<decide::crash_requests>
crash_monitor::collect(const std::map<std::string, control::directory_entry>& entries,
                       const std::string& own_address) {
  const auto now = support::monotonic_now();
  std::erase_if(seen_, [&entries](const auto& seen) {
    const auto entry = entries.find(seen.first);
    return entry == entries.end() || entry->second.crashes.empty();
  });
  auto crashes = shared();
  for (const auto& [address, entry] : entries) {
    if (address == own_address || entry.crashes.empty()) {
      continue;
    }
    auto& seen = seen_[address];
    if (seen.crashes != entry.crashes) {
      seen = {entry.crashes, now};
    }
    // A daemon that is gone does not remove its own crashes.
    if (now - seen.since < decide::crash_lifetime) {
      crashes.insert(crashes.end(), entry.crashes.begin(), entry.crashes.end());
    }
  }
  return crashes;
}

void crash_monitor::publish(const std::map<std::string, control::directory_entry>& entries,
                            std::uint64_t directory_version, const std::string& own_address) {
  decide::crash_view view;
  for (const auto& requests : shared()) {
    view.suspected.insert(view.suspected.end(), requests.begin(), requests.end());
  }
  std::sort(view.suspected.begin(), view.suspected.end());
  view.refused = decide::refused_requests(collect(entries, own_address));
  if (view == published_) {
    return;
  }
  if (view.refused != published_.refused) {
    write_event(log_level::warning, "backend", "requests that crash backend servers",
                {{"refused", std::to_string(view.refused.size())},
                 {"before", std::to_string(published_.refused.size())},
                 {"suspected_here", std::to_string(view.suspected.size())},
                 {"directory_version", std::to_string(directory_version)}});
  }
  published_ = view;
  board_.crashes.publish(std::make_unique<const decide::crash_view>(std::move(view)));
}

} // namespace acaciasill::daemon
