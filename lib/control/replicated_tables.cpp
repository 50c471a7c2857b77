#include "acaciasill/control/replicated_tables.h"

#include <algorithm>
#include <utility>

#include "acaciasill/control/replica_choice.h"

namespace acaciasill::control {
namespace {

follower_settings directory_follower(const replicated_tables_settings& settings) {
  follower_settings result;
  result.table = directory_table;
  result.wait = settings.directory_wait;
  result.change_pause = settings.directory_change_pause;
  result.empty_pause = settings.empty_directory_pause;
  return result;
}

follower_settings configuration_follower(const replicated_tables_settings& settings) {
  follower_settings result;
  result.table = settings.configuration_table;
  // Each answer confirms the copy, so that it is up to date for that long.
  result.wait = settings.configuration_bound * 11 / 20;
  result.change_pause = settings.configuration_change_pause;
  return result;
}

// Greatest age of a copy that is given to other daemons. The rest of the bound is left for their
// own read of the store, also if both readers of a data centre lose the store without noticing.
support::duration max_copy_age(const replicated_tables_settings& settings) {
  return settings.configuration_bound * 3 / 4;
}

} // namespace

replicated_tables::replicated_tables(const replicated_tables_settings& settings,
                                     replicated_tables_environment environment,
                                     replicated_tables_callbacks callbacks)
    : settings_(settings), environment_(std::move(environment)), callbacks_(std::move(callbacks)),
      random_(environment_.seed),
      reads_(
          environment_.store,
          [this](const std::string& address, const table_read& read, store_callback done) {
            read_replica(address, read, std::move(done));
          },
          environment_.run_later, environment_.now, random_()),
      store_(reads_.store()),
      members_(settings_.local_address, directory_follower(settings_), store_,
               environment_.run_later, random_(),
               {[this] { handle_members_changed(); }, callbacks_.members.on_restored,
                callbacks_.members.on_contact_changed, callbacks_.members.on_unreadable,
                callbacks_.members.on_written},
               {[this] { return directory_age(); }, max_copy_age(settings_)}),
      configuration_(configuration_follower(settings_), store_, environment_.run_later, random_(),
                     {[this](const stored_row& row) {
                        if (row.removed) {
                          configuration_replica_.handle_removed();
                        }
                        callbacks_.on_configuration(row);
                      },
                      [this] { configuration_replica_.handle_updated(); },
                      callbacks_.on_configuration_restored,
                      [this](bool reached, store_end end) {
                        configuration_replica_.handle_updated();
                        callbacks_.on_configuration_contact(reached, end);
                      }}),
      configuration_replica_(configuration_, environment_.run_later,
                             {[this] { return configuration_age(); }, max_copy_age(settings_)}) {}

replicated_tables::~replicated_tables() = default;

void replicated_tables::start() {
  members_.start();
}

void replicated_tables::handle_members_changed() {
  revise();
  start_configuration();
  callbacks_.members.on_change();
}

void replicated_tables::revise() {
  if (!members_.is_loaded()) {
    return;
  }
  auto chosen =
      choose_replicas(members_.entries(), settings_.local_address, settings_.data_centre,
                      [this](const std::string& address) { return reads_.is_available(address); });
  if (chosen != reads_.replicas()) {
    callbacks_.on_replicas(chosen);
    reads_.set_replicas(std::move(chosen));
  }
}

// Starts to follow the configuration once the directory is known. When the whole system starts, the
// directory is empty at first, and all daemons would read the store.
void replicated_tables::start_configuration() {
  if (is_configuration_started_ || !members_.is_loaded()) {
    return;
  }
  const bool is_alone = is_alone_in_data_centre();
  if (!found_directory_empty_) {
    found_directory_empty_ = is_alone;
    if (is_alone) {
      // A daemon that stays alone does not wait for others for ever.
      start_configuration_after(settings_.empty_directory_pause + settings_.readers_start_time);
    }
  }
  if (is_alone) {
    return;
  }
  if (*found_directory_empty_ && !reads_.replicas().empty()) {
    start_configuration_after(support::jittered(settings_.readers_start_time, random_));
  } else {
    start_configuration_after(support::duration(0));
  }
}

// Starts to follow the configuration after the delay unless it has started before.
void replicated_tables::start_configuration_after(support::duration delay) {
  environment_.run_later(delay, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired() && !std::exchange(is_configuration_started_, true)) {
      configuration_.start();
    }
  });
}

bool replicated_tables::is_alone_in_data_centre() const {
  return std::none_of(members_.entries().begin(), members_.entries().end(),
                      [this](const auto& entry) {
                        return entry.second.data_centre == settings_.data_centre &&
                               entry.first != settings_.local_address;
                      });
}

void replicated_tables::refresh_configuration() {
  reads_.bypass_replicas_once();
  configuration_.refresh();
}

table_replica* replicated_tables::find_replica(std::string_view table) {
  if (table == directory_table) {
    return &members_.replica();
  }
  return table == settings_.configuration_table ? &configuration_replica_ : nullptr;
}

// Reads of the directory wait longer than a copy may be out of touch with the store, but those of
// the configuration show in between whether the store is in reach. Until the configuration has been
// read, no age is known.
std::optional<support::duration> replicated_tables::directory_age() const {
  const auto latest_poll = configuration_age();
  const auto own_age = reads_.age_of(directory_table);
  return latest_poll && own_age ? std::min(latest_poll, own_age) : std::nullopt;
}

void replicated_tables::read_replica(const std::string& address, const table_read& read,
                                     store_callback done) {
  const auto entry = members_.entries().find(address);
  if (entry == members_.entries().end()) {
    environment_.run_later(support::duration(0), [done = std::move(done)] {
      done({store_end::failed_before, {}, 0});
    });
    return;
  }
  environment_.read_replica(entry->second, read, std::move(done));
}

} // namespace acaciasill::control
