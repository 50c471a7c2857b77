#ifndef ACACIASILL_CONTROL_DIRECTORY_H
#define ACACIASILL_CONTROL_DIRECTORY_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

#include "acaciasill/control/node.h"
#include "acaciasill/control/table_follower.h"
#include "acaciasill/control/table_replica.h"
#include "acaciasill/control/table_store.h"
#include "acaciasill/decide/crash_suspects.h"

// Directory of daemons and their backend servers in a table of the platform. Each daemon maintains
// its own row and follows the rows of the others.
namespace acaciasill::control {

// Availability of a daemon's backend server.
enum class serving_state : std::uint8_t {
  ready,
  leaving,  // The server instance drains or has ended; it never accepts work again.
  stopping, // The daemon is stopping; its server may continue under the next daemon process.
  absent,   // The daemon has no reachable server.
};

// Contents of one daemon's row.
struct directory_entry {
  // Address at which the daemon accepts calls, as "ip:port"; the row's key.
  std::string call_address;
  std::string name;
  std::string data_centre;
  std::string service;
  // Instance of the backend server and its start in Unix milliseconds by its own clock. Of two
  // instances, the one with the later start is current.
  std::string instance;
  std::uint64_t instance_start_ms = 0;
  std::uint32_t slots = 0;
  serving_state state = serving_state::absent;
  // Port at which the daemon answers reads of its copies of the tables; 0 if it does not.
  std::uint16_t replica_port = 0;
  // Crashes of the daemon's backend servers that the daemon remembers.
  std::vector<decide::crash_requests> crashes;

  bool operator==(const directory_entry&) const = default;
};

// Encodes the row's value.
std::string encode_entry(const directory_entry& entry);

// Decodes a row; fails with frame_corrupt if it was not written by encode_entry. The rows may have
// other writers, so numbers out of range and keys that are no addresses are rejected.
absl::StatusOr<directory_entry> decode_entry(std::string_view key, std::string_view value);

// Name of the table that holds the rows.
inline constexpr char directory_table[] = "acaciasill-members";

// Callbacks of a directory.
struct directory_callbacks {
  // Entries have changed, or an answer of the store was applied.
  std::function<void()> on_change;
  // As in follower_callbacks.
  std::function<void(std::uint64_t era)> on_restored;
  std::function<void(bool reached, store_end end)> on_contact_changed;
  // A row could not be decoded.
  std::function<void(const stored_row&, const absl::Status&)> on_unreadable;
  // A write of the local daemon's row has ended.
  std::function<void(const directory_entry&, store_end)> on_written;
};

// Maintains the local daemon's row in the store and a copy of the other rows. Used on the control
// thread only.
class directory {
public:
  // local_address is the key of the local daemon's row. The age limit is that of the replica.
  directory(std::string local_address, follower_settings settings, const table_store& store,
            delayed_call run_later, std::uint64_t seed, directory_callbacks callbacks,
            copy_age_limit age_limit = {});

  void start();

  // Reads the table again, for example if a peer has a newer version.
  void refresh() { follower_.refresh(); }

  // Sets the desired value of the local daemon's row. Writes are retried until the store holds it,
  // and repeated whenever the store is found to hold another value.
  void set_local_entry(const directory_entry& entry);

  // The local daemon's row as the first read of the table found it, written by an earlier process;
  // nullopt if there was none or the table has not been read yet.
  const std::optional<directory_entry>& initial_local_entry() const { return initial_local_entry_; }

  bool is_loaded() const { return follower_.is_loaded(); }
  std::uint64_t version() const { return follower_.version(); }
  std::uint64_t era() const { return follower_.era(); }

  // Answers other daemons' reads of the table.
  table_replica& replica() { return replica_; }

  // All entries; the local daemon's entry has the value passed to set_local_entry.
  const std::map<std::string, directory_entry>& entries() const { return entries_; }

private:
  void handle_row(const stored_row& row);
  void handle_restored(std::uint64_t era);
  void handle_updated();
  void write_local_entry();
  void handle_write_result(const directory_entry& written, const store_result& result);
  void schedule_write_retry();

  std::string local_address_;
  const table_store& store_;
  delayed_call run_later_;
  support::random_source random_;
  directory_callbacks callbacks_;
  std::map<std::string, directory_entry> entries_;
  std::optional<directory_entry> local_entry_;
  std::optional<directory_entry> initial_local_entry_;
  // Last known version and value of the local daemon's row in the store.
  std::uint64_t local_version_ = 0;
  std::optional<directory_entry> stored_local_entry_;
  bool is_writing_ = false;
  bool is_backing_off_ = false;
  support::duration backoff_{0};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  table_follower follower_;
  table_replica replica_;
};

// Returns the entries that accept work in the form that routing uses.
cluster_view make_cluster_view(const std::map<std::string, directory_entry>& entries,
                               std::uint64_t version);

} // namespace acaciasill::control

#endif
