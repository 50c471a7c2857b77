#ifndef ACACIASILL_CONTROL_REPLICATED_TABLES_H
#define ACACIASILL_CONTROL_REPLICATED_TABLES_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciasill/control/directory.h"
#include "acaciasill/control/replica_reads.h"
#include "acaciasill/control/table_follower.h"
#include "acaciasill/control/table_replica.h"

namespace acaciasill::control {

// Settings of replicated_tables.
struct replicated_tables_settings {
  // Call address of the local daemon, the key of its row.
  std::string local_address;
  std::string data_centre;
  // Table with the configuration of the operator.
  std::string configuration_table;
  // Longest wait of reads of changes of the directory from the store.
  support::milliseconds directory_wait{10000};
  // Time within which a configuration has to be in force at every daemon that reaches the store.
  support::milliseconds configuration_bound{2000};
  // Pauses after an answer of the store with changes.
  support::milliseconds directory_change_pause{1000};
  support::milliseconds configuration_change_pause{200};
  // Pauses while the whole system starts, with jitter: after the directory was found empty, so that
  // the rows of the others are there at the next read, and before the readers are asked for the
  // configuration, so that they have it.
  support::milliseconds empty_directory_pause{3000};
  support::milliseconds readers_start_time{2000};

  bool operator==(const replicated_tables_settings&) const = default;
};

// Interfaces that replicated_tables uses.
struct replicated_tables_environment {
  table_store store;
  // Reads from another daemon; the address is a call address, the port is that of its entry.
  std::function<void(const directory_entry& replica, const table_read&, store_callback)>
      read_replica;
  delayed_call run_later;
  std::function<support::time_point()> now;
  std::uint64_t seed = 0;
};

// Callbacks of replicated_tables.
struct replicated_tables_callbacks {
  directory_callbacks members;
  // A row of the configuration table is new, changed or removed.
  std::function<void(const stored_row&)> on_configuration;
  // As in follower_callbacks, for the configuration table.
  std::function<void(std::uint64_t era)> on_configuration_restored;
  std::function<void(bool reached, store_end end)> on_configuration_contact;
  // The daemons whose copies are read have changed; none if the store is read.
  std::function<void(const std::vector<std::string>& call_addresses)> on_replicas;
};

// The directory and the configuration of one daemon. A few daemons of each data centre read the
// store; the others read the copies of these, and the store only if the copies are not available.
// Any daemon may read the store at any time. Used on the control thread only.
class replicated_tables {
public:
  replicated_tables(const replicated_tables_settings& settings,
                    replicated_tables_environment environment,
                    replicated_tables_callbacks callbacks);
  replicated_tables(const replicated_tables&) = delete;
  replicated_tables& operator=(const replicated_tables&) = delete;
  ~replicated_tables();

  void start();

  // Revises the choice of replicas; to be called periodically.
  void revise();

  // Reads the configuration again, from the store itself.
  void refresh_configuration();

  directory& members() { return members_; }
  const directory& members() const { return members_; }

  // Copy of a table for other daemons; nullptr if there is none.
  table_replica* find_replica(std::string_view table);

  const replica_reads& reads() const { return reads_; }

  // Time since the store confirmed the copy of the configuration; nullopt if it has not yet.
  std::optional<support::duration> configuration_age() const {
    return reads_.age_of(settings_.configuration_table);
  }

private:
  void handle_members_changed();
  void start_configuration();
  void read_replica(const std::string& address, const table_read& read, store_callback done);
  bool is_alone_in_data_centre() const;
  std::optional<support::duration> directory_age() const;
  void start_configuration_after(support::duration delay);

  replicated_tables_settings settings_;
  replicated_tables_environment environment_;
  replicated_tables_callbacks callbacks_;
  support::random_source random_;
  replica_reads reads_;
  // Reads through reads_, writes to the store.
  table_store store_;
  directory members_;
  table_follower configuration_;
  table_replica configuration_replica_;
  bool is_configuration_started_ = false;
  // Whether the first read of the directory found no other daemon of the data centre.
  std::optional<bool> found_directory_empty_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciasill::control

#endif
