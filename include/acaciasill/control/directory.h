#ifndef ACACIASILL_CONTROL_DIRECTORY_H
#define ACACIASILL_CONTROL_DIRECTORY_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "acaciasill/control/node.h"
#include "acaciasill/control/table_follower.h"
#include "acaciasill/control/table_store.h"

// The directory of daemons and their backend servers in a platform's table: each daemon keeps one
// row about itself, and follows the others'.
namespace acaciasill::control {

// Whether the backend server beside a daemon takes work.
enum class serving_state : std::uint8_t {
  ready,
  leaving,  // Its server drains or has gone; this life of it never takes work again.
  stopping, // The daemon itself stops; its server may go on and be served by the next process.
  absent,   // The daemon knows of no server that it could reach.
};

// One daemon as its row describes it.
struct directory_entry {
  // Where the daemon takes calls, "ip:port"; the row's key.
  std::string call_address;
  std::string name;
  std::string data_centre;
  std::string service;
  // This life of the backend server, and its start in Unix milliseconds as it says; the later of
  // two lives is the one that counts.
  std::string instance;
  std::uint64_t instance_start_ms = 0;
  std::uint32_t slots = 0;
  serving_state state = serving_state::absent;

  bool operator==(const directory_entry&) const = default;
};

// The row's value.
std::string encode_entry(const directory_entry& entry);

// Reads a row; frame_corrupt where it is not one that encode_entry made.
absl::StatusOr<directory_entry> decode_entry(std::string_view key, std::string_view value);

// The table that holds the rows.
inline constexpr char directory_table[] = "acaciasill-members";

// What a directory tells.
struct directory_callbacks {
  // Some entry has changed.
  std::function<void()> on_change;
  std::function<void(bool reached, store_end end)> on_contact;
  // A row that could not be read.
  std::function<void(const stored_row&, const absl::Status&)> on_unreadable;
  // The outcome of a write of the own row.
  std::function<void(const directory_entry&, store_end)> on_written;
};

// Keeps this daemon's row as it should be and the others' as they are. Lives on the control thread.
class directory {
public:
  // own_address is the key of this daemon's row.
  directory(std::string own_address, follower_settings settings, const table_store& store,
            delayed_call after, std::uint64_t seed, directory_callbacks callbacks);

  void start();

  // Reads the table again, for example since a peer knew more.
  void refresh() { follower_.refresh(); }

  // What the own row should say. It is written as soon as the store takes it, and again where the
  // store holds something else.
  void set_own(const directory_entry& entry);

  // The own row as the store held it before this process wrote one; nothing where there was none or
  // the table was not read yet.
  const std::optional<directory_entry>& found_own() const { return found_own_; }

  bool is_loaded() const { return follower_.is_loaded(); }
  std::uint64_t version() const { return follower_.version(); }

  // All entries, the own one as set_own says.
  const std::map<std::string, directory_entry>& entries() const { return entries_; }

private:
  void take_row(const stored_row& row);
  void write_own();
  void take_written(const directory_entry& written, const store_result& result);
  void write_again_later();

  std::string own_address_;
  const table_store& store_;
  delayed_call after_;
  support::random_source random_;
  directory_callbacks callbacks_;
  std::map<std::string, directory_entry> entries_;
  std::optional<directory_entry> own_;
  std::optional<directory_entry> found_own_;
  // The own row's version in the store as far as it is known, and what it holds.
  std::uint64_t own_version_ = 0;
  std::optional<directory_entry> stored_own_;
  bool writing_ = false;
  bool pausing_ = false;
  support::duration pause_{0};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  table_follower follower_;
};

// The entries that take work, as routing wants them.
cluster_view view_of(const std::map<std::string, directory_entry>& entries, std::uint64_t version);

} // namespace acaciasill::control

#endif
