#include "permit_simulation.h"

#include <algorithm>
#include <cmath>

namespace acaciasill::daemon::testing {
namespace {

constexpr std::size_t max_organisations = 64;

support::duration seconds(double value) {
  return std::chrono::duration_cast<support::duration>(std::chrono::duration<double>(value));
}

} // namespace

struct permit_simulation::daemon {
  std::string address;
  std::string data_centre;
  // Number of the process; messages to and from an earlier one are lost.
  std::uint64_t process = 0;
  bool is_paused = false;
  bool is_listed = true;
  std::uint64_t view_version = 0;
  std::vector<event> missed;
  std::vector<decide::permit_bucket> buckets;
  board::rcu_cell<decide::coordinator_view> coordinators{
      std::make_unique<const decide::coordinator_view>()};
  std::atomic<support::duration::rep> last_peer_contact{0};
  std::unique_ptr<permit_service> service;
};

permit_simulation::permit_simulation(const simulation_settings& settings)
    : settings_(settings), random_(settings.seed) {
  const auto count = settings.data_centres * settings.daemons_per_data_centre;
  for (std::uint32_t index = 0; index < count; ++index) {
    daemons_.push_back(std::make_unique<daemon>());
    daemons_.back()->address = "10.0.0.1:" + std::to_string(1000 + index);
    daemons_.back()->data_centre = "dc-" + std::to_string(index % settings.data_centres);
  }
  is_cut_.resize(count);
  for (std::uint32_t index = 0; index < count; ++index) {
    start_process(index);
  }
}

permit_simulation::~permit_simulation() = default;

std::uint32_t permit_simulation::add(const demand& requests) {
  demands_.push_back(requests);
  asked_.push_back(0);
  admissions_.emplace_back();
  const auto organisation = static_cast<std::uint32_t>(demands_.size() - 1);
  at(now_, [this, organisation] { arrive(organisation); });
  return organisation;
}

void permit_simulation::run_for(support::duration time) {
  const auto end = now_ + time;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto next = events_.extract(events_.begin());
    now_ = std::max(now_, next.key());
    next.mapped()();
  }
  now_ = end;
}

void permit_simulation::cut(const std::vector<std::uint32_t>& daemons) {
  std::fill(is_cut_.begin(), is_cut_.end(), false);
  for (const auto index : daemons) {
    is_cut_[index] = true;
  }
}

void permit_simulation::restart(std::uint32_t index) {
  start_process(index);
}

void permit_simulation::list(std::uint32_t changed, bool is_listed) {
  daemons_[changed]->is_listed = is_listed;
  for (std::uint32_t index = 0; index < daemon_count(); ++index) {
    publish_view(index);
  }
}

void permit_simulation::pause(std::uint32_t index) {
  daemons_[index]->is_paused = true;
}

void permit_simulation::resume(std::uint32_t index) {
  daemons_[index]->is_paused = false;
  auto missed = std::move(daemons_[index]->missed);
  daemons_[index]->missed.clear();
  for (auto& function : missed) {
    at(now_, std::move(function));
  }
}

std::size_t permit_simulation::largest_window(std::uint32_t organisation,
                                              support::duration window) const {
  const auto& times = admissions_[organisation];
  std::size_t largest = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > window) {
      ++first;
    }
    largest = std::max(largest, last - first + 1);
  }
  return largest;
}

void permit_simulation::at(support::time_point time, event function) {
  events_.emplace(time, std::move(function));
}

void permit_simulation::start_process(std::uint32_t index) {
  auto& each = *daemons_[index];
  ++each.process;
  each.service.reset();
  each.buckets = std::vector<decide::permit_bucket>(max_organisations);
  for (auto& bucket : each.buckets) {
    decide::reset_permits(bucket, now_);
  }
  each.last_peer_contact = 0;
  publish_view(index);
  permit_environment environment;
  environment.own_address = each.address;
  environment.buckets = &each.buckets;
  environment.coordinators = &each.coordinators;
  environment.last_peer_contact = &each.last_peer_contact;
  environment.find_organisation =
      [this](std::uint64_t hash) -> std::optional<board::limited_organisation> {
    return describe(static_cast<std::uint32_t>(hash));
  };
  environment.send = [this, index](const std::string& address,
                                   const decide::permit_request& message,
                                   support::milliseconds timeout, optional_grant_callback done) {
    send(index, address, message, timeout, std::move(done));
  };
  environment.now = [this] { return now_; };
  each.service = std::make_unique<permit_service>(std::move(environment));
}

void permit_simulation::publish_view(std::uint32_t index) {
  std::map<std::string, std::vector<std::string>> addresses;
  std::uint32_t listed = 0;
  for (const auto& each : daemons_) {
    if (each->is_listed) {
      addresses[each->data_centre].push_back(each->address);
      ++listed;
    }
  }
  auto& own = *daemons_[index];
  decide::coordinator_view view;
  view.version = ++own.view_version;
  view.groups.push_back(decide::make_group(own.data_centre, addresses[own.data_centre]));
  addresses.erase(own.data_centre);
  for (auto& [data_centre, list] : addresses) {
    view.groups.push_back(decide::make_group(data_centre, std::move(list)));
  }
  view.daemons = listed;
  view.known_daemons = daemon_count();
  own.coordinators.publish(std::make_unique<const decide::coordinator_view>(std::move(view)));
}

void permit_simulation::send(std::uint32_t from, const std::string& address,
                             const decide::permit_request& message, support::milliseconds timeout,
                             optional_grant_callback done) {
  ++messages_;
  const auto found = std::find_if(daemons_.begin(), daemons_.end(),
                                  [&](const auto& each) { return each->address == address; });
  const auto to = static_cast<std::uint32_t>(found - daemons_.begin());
  const auto sender = daemons_[from]->process;
  const auto receiver = daemons_[to]->process;
  // The first of the answer and the timeout ends the exchange.
  auto ended = std::make_shared<bool>(false);
  const auto finish = [this, from, sender, ended,
                       done = std::move(done)](const std::optional<decide::permit_grant>& grant) {
    if (*ended || daemons_[from]->process != sender) {
      return;
    }
    if (daemons_[from]->is_paused) {
      // The timeout precedes an answer that has waited for the process to go on.
      daemons_[from]->missed.push_back([ended, done] {
        if (!std::exchange(*ended, true)) {
          done(std::nullopt);
        }
      });
      return;
    }
    *ended = true;
    done(grant);
  };
  at(now_ + timeout, [finish] { finish(std::nullopt); });
  const auto lost = [this] { return support::uniform_unit(random_) < settings_.lost_messages; };
  if (lost() || !is_connected(from, to)) {
    return;
  }
  const event receive = [this, from, to, receiver, message, finish, lost] {
    if (daemons_[to]->process != receiver) {
      return;
    }
    daemons_[to]->last_peer_contact = now_.time_since_epoch().count();
    daemons_[to]->service->serve(
        0, message,
        [this, from, to, finish, lost](const std::optional<decide::permit_grant>& grant) {
          if (!lost() && is_connected(from, to)) {
            at(now_ + delay(from, to), [finish, grant] { finish(grant); });
          }
        });
  };
  at(now_ + delay(from, to), [this, to, receive] {
    if (daemons_[to]->is_paused) {
      daemons_[to]->missed.push_back(receive);
      return;
    }
    receive();
  });
}

bool permit_simulation::is_connected(std::uint32_t left, std::uint32_t right) const {
  return is_cut_[left] == is_cut_[right];
}

support::duration permit_simulation::delay(std::uint32_t left, std::uint32_t right) {
  const auto mean = daemons_[left]->data_centre == daemons_[right]->data_centre
                        ? settings_.delay_within
                        : settings_.delay_between;
  return seconds(std::chrono::duration<double>(mean).count() *
                 (0.5 + support::uniform_unit(random_)));
}

void permit_simulation::arrive(std::uint32_t organisation) {
  const auto& requests = demands_[organisation];
  const double mean_s = 1.0 / std::max(0.001, requests.requests_per_s);
  const double pause_s = -std::log(1.0 - support::uniform_unit(random_)) * mean_s;
  at(now_ + seconds(pause_s), [this, organisation] { arrive(organisation); });
  const auto index =
      requests.daemons.empty()
          ? static_cast<std::uint32_t>(support::uniform_below(random_, daemon_count()))
          : requests.daemons[support::uniform_below(random_, requests.daemons.size())];
  if (daemons_[index]->is_paused) {
    return;
  }
  ++asked_[organisation];
  daemons_[index]->service->acquire(0, describe(organisation),
                                    [this, organisation](permit_decision decision) {
                                      if (decision.is_granted) {
                                        admissions_[organisation].push_back(now_);
                                      }
                                    });
}

board::limited_organisation permit_simulation::describe(std::uint32_t organisation) const {
  return {organisation, organisation, demands_[organisation].limit};
}

} // namespace acaciasill::daemon::testing
