#include "permit_service.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

#include "acaciasill/support/log.h"

namespace acaciasill::daemon {
namespace {

// Time allowed for the answer of a coordinator of the own data centre, in all and to a substitute,
// which has to answer in time itself, and of a coordinator of another data centre.
constexpr support::milliseconds answer_time{250};
constexpr support::milliseconds substitute_answer_time{80};
constexpr support::milliseconds transfer_time{100};
// Time for which a coordinator that did not answer is not asked.
constexpr support::milliseconds unavailable_time{500};
// Time after the first message without an answer from which permits accrue at the next candidate. A
// coordinator that is cut off has noticed it by then.
constexpr support::milliseconds takeover_time{1000};
// Time without a message of any other daemon after which this one counts as isolated.
constexpr support::milliseconds isolation_time{500};
// Time for which the permit of a request that has not run can be used for another one.
constexpr support::milliseconds unused_lifetime{500};
// Longest time for which requests are refused without asking the coordinator again.
constexpr support::milliseconds max_refusal_time{20};
// Longest time that callers are advised to wait. An isolated daemon expects its next permit after
// minutes, but is normally connected again within seconds.
constexpr support::milliseconds max_advised_wait{2000};
// Pause after no other data centre had permits to transfer.
constexpr support::milliseconds transfer_pause{100};
constexpr std::uint32_t log_lines_per_second = 1;

// Requests of one organisation that need permits, on one thread.
struct organisation_requests {
  std::vector<permit_callback> waiting;
  // Whether a coordinator is being asked, and for how many permits.
  bool is_asking = false;
  std::uint32_t asked = 0;
  support::time_point refused_until{};
  // Permits of requests that have not run.
  std::uint32_t unused = 0;
  support::time_point unused_since{};
  // Daemons to ask, best first, for the version of the view.
  std::uint64_t view_version = 0;
  std::vector<std::string> candidates;
};

// A message that waits for permits from another data centre.
struct waiting_message {
  std::uint32_t wanted = 0;
  std::uint32_t taken = 0;
  grant_callback done;
};

// Transfers to the bucket of one organisation, on one thread.
struct organisation_transfers {
  bool is_running = false;
  // Number of data centres asked without success since the last one that had permits.
  std::size_t failures = 0;
  std::size_t next_group = 0;
  support::time_point paused_until{};
  std::vector<waiting_message> waiting;
};

// A coordinator that did not answer the latest message.
struct unavailability {
  // Time of the first message without an answer, and time until which none is sent.
  support::time_point since;
  support::time_point until;
};

struct thread_state {
  std::unordered_map<std::uint32_t, organisation_requests> requests;
  std::unordered_map<std::uint32_t, organisation_transfers> transfers;
  std::unordered_map<std::string, unavailability> unavailable;
};

} // namespace

struct permit_service::implementation {
  explicit implementation(permit_environment given)
      : environment(std::move(given)), threads(environment.threads) {}

  decide::permit_bucket& bucket_of(const board::limited_organisation& organisation) const {
    return (*environment.buckets)[organisation.slot];
  }

  // Whether no other daemon has been heard of although there are others.
  bool is_isolated(const decide::coordinator_view& view, support::time_point now) const {
    const support::time_point last{
        support::duration(environment.last_peer_contact->load(std::memory_order_relaxed))};
    return view.daemons > 1 && now - last > isolation_time;
  }

  // Returns the part of the limit that this daemon grants, either as the coordinator of its data
  // centre or only to itself.
  decide::bucket_part own_part(const board::limited_organisation& organisation,
                               bool is_coordinator) const {
    const board::rcu_read_guard guard;
    const auto& view = environment.coordinators->read(guard);
    const bool for_group =
        is_coordinator && knows_daemons() && !is_isolated(view, environment.now());
    return decide::part_of(organisation.limit,
                           for_group ? decide::fraction_of_group(view, 0)
                                     : decide::fraction_of_isolated(view, environment.own_address));
  }

  // Updates the daemons to ask for the organisation's permits.
  void update_candidates(const board::limited_organisation& organisation,
                         organisation_requests& requests) const {
    const board::rcu_read_guard guard;
    const auto& view = environment.coordinators->read(guard);
    if (view.groups.empty() || requests.view_version == view.version) {
      return;
    }
    requests.view_version = view.version;
    const auto before =
        std::exchange(requests.candidates, decide::addresses_to_ask(view, organisation.name_hash));
    const bool takes_over = !before.empty() && before.front() != environment.own_address &&
                            !requests.candidates.empty() &&
                            requests.candidates.front() == environment.own_address;
    if (takes_over) {
      decide::discard_permits_before(bucket_of(organisation), environment.now());
    }
  }

  bool is_isolated_now(support::time_point now) const {
    const board::rcu_read_guard guard;
    return is_isolated(environment.coordinators->read(guard), now);
  }

  // Whether daemons of the own data centre are known.
  bool knows_daemons() const {
    const board::rcu_read_guard guard;
    const auto& view = environment.coordinators->read(guard);
    return !view.groups.empty() && view.groups.front().daemons > 0;
  }

  // Whether the directory has not been read yet. Until then no upstream is known either, so that
  // requests do not run and need no permit.
  bool knows_nobody() const {
    const board::rcu_read_guard guard;
    return environment.coordinators->read(guard).daemons == 0;
  }

  void acquire(std::size_t thread, const board::limited_organisation& organisation,
               permit_callback done) {
    if (knows_nobody()) {
      done({true, {}});
      return;
    }
    auto& requests = threads[thread].requests[organisation.slot];
    const auto now = environment.now();
    if (requests.unused > 0 && now - requests.unused_since < unused_lifetime) {
      --requests.unused;
      done({true, {}});
      return;
    }
    requests.unused = 0;
    if (requests.waiting.empty() && now < requests.refused_until) {
      done({false,
            support::milliseconds(support::whole_milliseconds(requests.refused_until - now))});
      return;
    }
    requests.waiting.push_back(std::move(done));
    if (!requests.is_asking) {
      ask(thread, organisation);
    }
  }

  // Asks for permits for all waiting requests.
  void ask(std::size_t thread, const board::limited_organisation& organisation) {
    auto& requests = threads[thread].requests[organisation.slot];
    requests.is_asking = true;
    requests.asked = static_cast<std::uint32_t>(requests.waiting.size());
    obtain(thread, organisation, requests.asked, decide::permit_sender::daemon,
           [this, thread, organisation](const decide::permit_grant& grant) {
             resolve(thread, organisation, grant);
           });
  }

  // Obtains permits from the first available coordinator, which may be this daemon. If there is
  // none, the daemon uses its own small part.
  void obtain(std::size_t thread, const board::limited_organisation& organisation,
              std::uint32_t count, decide::permit_sender sender, grant_callback done) {
    auto& state = threads[thread];
    auto& requests = state.requests[organisation.slot];
    update_candidates(organisation, requests);
    const auto now = environment.now();
    // Time since which no preferred coordinator has answered.
    support::time_point alone_since{};
    for (const auto& address : requests.candidates) {
      if (address == environment.own_address) {
        decide::discard_permits_before(bucket_of(organisation), alone_since + takeover_time);
        coordinate_if_connected(thread, organisation, count, std::move(done));
        return;
      }
      const auto unavailable = state.unavailable.find(address);
      if (unavailable == state.unavailable.end() || now >= unavailable->second.until) {
        send_request(thread, {organisation, count, sender}, address, std::move(done));
        return;
      }
      alone_since = std::max(alone_since, unavailable->second.since);
    }
    grant_isolated(organisation, count, done);
  }

  // Grants permits of the small part that a daemon uses alone.
  void grant_isolated(const board::limited_organisation& organisation, std::uint32_t count,
                      const grant_callback& done) {
    const auto now = environment.now();
    const auto part = own_part(organisation, false);
    auto& bucket = bucket_of(organisation);
    const auto taken = decide::take_permits(bucket, part, count, 0.0, now);
    done(make_grant(bucket, part, taken, now));
  }

  // Requests to a coordinator of the own data centre.
  struct coordinator_request {
    board::limited_organisation organisation;
    std::uint32_t count = 0;
    decide::permit_sender sender = decide::permit_sender::daemon;
  };

  void send_request(std::size_t thread, const coordinator_request& request,
                    const std::string& address, grant_callback done) {
    const auto timeout =
        request.sender == decide::permit_sender::daemon ? answer_time : substitute_answer_time;
    send(address, {request.organisation.name_hash, request.count, request.sender}, timeout,
         [this, thread, request, address,
          done = std::move(done)](const std::optional<decide::permit_grant>& grant) {
           if (grant) {
             threads[thread].unavailable.erase(address);
             done(*grant);
             return;
           }
           record_unavailable(thread, address);
           obtain(thread, request.organisation, request.count, request.sender, done);
         });
  }

  void record_unavailable(std::size_t thread, const std::string& address) {
    const auto now = environment.now();
    auto& failure =
        threads[thread].unavailable.try_emplace(address, unavailability{now, now}).first->second;
    failure.until = now + unavailable_time;
    log_unavailable(address);
  }

  // Grants permits as a coordinator if any other daemon answers.
  void coordinate_if_connected(std::size_t thread, const board::limited_organisation& organisation,
                               std::uint32_t count, grant_callback done) {
    if (!is_isolated_now(environment.now())) {
      coordinate(thread, organisation, count, std::move(done));
      return;
    }
    const auto address = find_probe_address(thread, organisation);
    if (!address) {
      grant_isolated(organisation, count, done);
      return;
    }
    send(*address, {organisation.name_hash, 0, decide::permit_sender::coordinator}, answer_time,
         [this, thread, organisation, count, address = *address,
          done = std::move(done)](const std::optional<decide::permit_grant>& grant) {
           if (!grant) {
             record_unavailable(thread, address);
           }
           coordinate_if_connected(thread, organisation, count, done);
         });
  }

  // Returns the address of another daemon that is not known to be unavailable.
  std::optional<std::string> find_probe_address(std::size_t thread,
                                                const board::limited_organisation& organisation) {
    const auto& state = threads[thread];
    const auto now = environment.now();
    const board::rcu_read_guard guard;
    for (const auto& group : environment.coordinators->read(guard).groups) {
      for (const auto index : decide::choose_coordinators(group, organisation.name_hash)) {
        const auto& address = group.addresses[index];
        const auto unavailable = state.unavailable.find(address);
        if (address != environment.own_address &&
            (unavailable == state.unavailable.end() || now >= unavailable->second.until)) {
          return address;
        }
      }
    }
    return std::nullopt;
  }

  void send(const std::string& address, const decide::permit_request& message,
            support::milliseconds timeout, optional_grant_callback done) {
    environment.send(
        address, message, timeout,
        [this, done = std::move(done)](const std::optional<decide::permit_grant>& grant) {
          if (grant) {
            environment.last_peer_contact->store(environment.now().time_since_epoch().count(),
                                                 std::memory_order_relaxed);
          }
          done(grant);
        });
  }

  // Answers the requests that were waiting when the coordinator was asked.
  void resolve(std::size_t thread, const board::limited_organisation& organisation,
               const decide::permit_grant& grant) {
    auto& requests = threads[thread].requests[organisation.slot];
    const auto asked = std::min<std::size_t>(requests.asked, requests.waiting.size());
    const bool is_complete = grant.count >= asked;
    // Requests that have come since then are refused as well if permits have run out.
    const auto answered =
        static_cast<std::ptrdiff_t>(is_complete ? asked : requests.waiting.size());
    std::vector<permit_callback> callbacks(
        std::make_move_iterator(requests.waiting.begin()),
        std::make_move_iterator(requests.waiting.begin() + answered));
    requests.waiting.erase(requests.waiting.begin(), requests.waiting.begin() + answered);
    requests.is_asking = false;
    if (!is_complete) {
      requests.refused_until = environment.now() + std::min(grant.wait, max_refusal_time);
    }
    std::uint32_t granted = grant.count;
    for (auto& callback : callbacks) {
      const bool is_granted = granted > 0;
      granted -= is_granted ? 1 : 0;
      callback({is_granted, is_granted ? support::milliseconds(0) : grant.wait});
    }
    // The callbacks may have added requests.
    auto& present = threads[thread].requests[organisation.slot];
    if (!present.waiting.empty() && !present.is_asking) {
      ask(thread, organisation);
    }
  }

  void give_back(std::size_t thread, const board::limited_organisation& organisation) {
    if (knows_nobody()) {
      return;
    }
    auto& requests = threads[thread].requests[organisation.slot];
    const auto now = environment.now();
    if (now - requests.unused_since >= unused_lifetime) {
      requests.unused = 0;
      requests.unused_since = now;
    }
    ++requests.unused;
  }

  void serve(std::size_t thread, const decide::permit_request& message,
             const optional_grant_callback& done) {
    const auto organisation = environment.find_organisation(message.organisation_hash);
    if (!organisation || !knows_daemons()) {
      done(std::nullopt);
      return;
    }
    const auto answer = [done](const decide::permit_grant& grant) { done(grant); };
    switch (message.sender) {
    case decide::permit_sender::daemon:
      // A daemon that is asked because the sender did not reach the coordinator asks it first.
      obtain(thread, *organisation, message.count, decide::permit_sender::substitute, answer);
      return;
    case decide::permit_sender::substitute:
      coordinate(thread, *organisation, message.count, answer);
      return;
    case decide::permit_sender::coordinator:
      answer({decide::take_for_transfer(bucket_of(*organisation), own_part(*organisation, true),
                                        message.count, environment.now()),
              {}});
      return;
    }
  }

  // Grants permits from the own bucket, after a transfer from another data centre if necessary.
  void coordinate(std::size_t thread, const board::limited_organisation& organisation,
                  std::uint32_t wanted, grant_callback done) {
    auto& bucket = bucket_of(organisation);
    const auto part = own_part(organisation, true);
    const auto now = environment.now();
    const auto taken = decide::take_permits(bucket, part, wanted, 0.0, now);
    auto& transfers = threads[thread].transfers[organisation.slot];
    if (!transfers.is_running) {
      start_transfer(thread, organisation);
    }
    if (taken < wanted && transfers.is_running) {
      transfers.waiting.push_back({wanted, taken, std::move(done)});
      return;
    }
    done(make_grant(bucket, part, taken, now));
  }

  static decide::permit_grant make_grant(const decide::permit_bucket& bucket,
                                         const decide::bucket_part& part, std::uint32_t taken,
                                         support::time_point now) {
    const support::milliseconds wait(
        support::whole_milliseconds(decide::time_to_permit(bucket, part, now)));
    return {taken, std::clamp(wait, support::milliseconds(1), max_advised_wait)};
  }

  // Asks the next data centre for permits if the own bucket is low.
  void start_transfer(std::size_t thread, const board::limited_organisation& organisation) {
    auto& transfers = threads[thread].transfers[organisation.slot];
    const auto now = environment.now();
    const auto wanted =
        decide::permits_to_request(bucket_of(organisation), own_part(organisation, true), now);
    const auto address = wanted == 0 || now < transfers.paused_until
                             ? std::nullopt
                             : next_transfer_address(organisation, transfers);
    if (!address) {
      return;
    }
    transfers.is_running = true;
    send(*address, {organisation.name_hash, wanted, decide::permit_sender::coordinator},
         transfer_time,
         [this, thread, organisation](const std::optional<decide::permit_grant>& grant) {
           end_transfer(thread, organisation, grant ? grant->count : 0);
         });
  }

  std::optional<std::string> next_transfer_address(const board::limited_organisation& organisation,
                                                   const organisation_transfers& transfers) const {
    const board::rcu_read_guard guard;
    const auto& view = environment.coordinators->read(guard);
    if (view.groups.size() < 2) {
      return std::nullopt;
    }
    const auto& group = view.groups[1 + transfers.next_group % (view.groups.size() - 1)];
    const auto candidates = decide::choose_coordinators(group, organisation.name_hash);
    return candidates.empty() ? std::nullopt : std::optional(group.addresses[candidates.front()]);
  }

  void end_transfer(std::size_t thread, const board::limited_organisation& organisation,
                    std::uint32_t count) {
    auto& transfers = threads[thread].transfers[organisation.slot];
    transfers.is_running = false;
    const auto now = environment.now();
    auto& bucket = bucket_of(organisation);
    const auto part = own_part(organisation, true);
    if (count > 0) {
      transfers.failures = 0;
      decide::add_permits(bucket, part, count, now);
    } else {
      ++transfers.next_group;
      ++transfers.failures;
      if (transfers.failures >= other_groups()) {
        transfers.failures = 0;
        transfers.paused_until = now + transfer_pause;
      }
    }
    auto waiting = std::move(transfers.waiting);
    transfers.waiting.clear();
    for (const auto& message : waiting) {
      const auto taken =
          message.taken +
          decide::take_permits(bucket, part, message.wanted - message.taken, 0.0, now);
      message.done(make_grant(bucket, part, taken, now));
    }
  }

  std::size_t other_groups() const {
    const board::rcu_read_guard guard;
    const auto groups = environment.coordinators->read(guard).groups.size();
    return groups < 2 ? 1 : groups - 1;
  }

  void log_unavailable(const std::string& address) {
    std::uint32_t dropped = 0;
    if (log_budget.allow(environment.now(), dropped)) {
      support::write_event(
          support::log_level::warning, "limits", "coordinator of a rate limit does not answer",
          {{"address", address}, {"lines_dropped_before", std::to_string(dropped)}});
    }
  }

  permit_environment environment;
  std::vector<thread_state> threads;
  support::log_rate_limiter log_budget{log_lines_per_second};
};

permit_service::permit_service(permit_environment environment)
    : implementation_(std::make_unique<implementation>(std::move(environment))) {}

permit_service::~permit_service() = default;

void permit_service::acquire(std::size_t thread, const board::limited_organisation& organisation,
                             permit_callback done) {
  implementation_->acquire(thread, organisation, std::move(done));
}

void permit_service::give_back(std::size_t thread,
                               const board::limited_organisation& organisation) {
  implementation_->give_back(thread, organisation);
}

void permit_service::serve(std::size_t thread, const decide::permit_request& message,
                           const optional_grant_callback& done) {
  implementation_->serve(thread, message, done);
}

} // namespace acaciasill::daemon
