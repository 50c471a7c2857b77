#include "acaciasill/control/directory.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "acaciasill/control/backend_state.h"
#include "acaciasill/support/hash.h"
#include "acaciasill/support/json_number.h"
#include "acaciasill/support/result_code.h"
#include "acaciasill/support/socket_address.h"

namespace acaciasill::control {
namespace {

using json = nlohmann::json;

// Bounds of the exponential backoff after a failed write. Jitter spreads the writes of the daemons
// when the store recovers; an entry has to be restored within two seconds of that.
constexpr support::milliseconds min_write_backoff{100};
constexpr support::milliseconds max_write_backoff{1000};

constexpr std::string_view state_names[] = {"ready", "leaving", "stopping", "absent"};

std::optional<serving_state> parse_state(std::string_view name) {
  const auto* const found = std::find(std::begin(state_names), std::end(state_names), name);
  if (found == std::end(state_names)) {
    return std::nullopt;
  }
  return static_cast<serving_state>(found - std::begin(state_names));
}

// Throws json::exception if the value is no list of lists of hashes.
std::vector<decide::crash_requests> read_crashes(const json& value) {
  std::vector<decide::crash_requests> crashes;
  for (const auto& requests : value.get_ref<const json::array_t&>()) {
    auto& crash = crashes.emplace_back();
    for (const auto& content : requests.get_ref<const json::array_t&>()) {
      crash.push_back(support::read_unsigned<decide::content_hash>(content));
    }
  }
  return crashes;
}

} // namespace

std::string encode_entry(const directory_entry& entry) {
  json value = {{"n", entry.name},
                {"d", entry.data_centre},
                {"s", entry.service},
                {"i", entry.instance},
                {"b", entry.instance_start_ms},
                {"c", entry.slots},
                {"r", entry.replica_port},
                {"t", state_names[static_cast<std::size_t>(entry.state)]}};
  if (!entry.crashes.empty()) {
    value["x"] = entry.crashes;
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<directory_entry> decode_entry(std::string_view key, std::string_view value) {
  try {
    const auto parsed = json::parse(value);
    directory_entry entry;
    entry.call_address = key;
    entry.name = parsed.at("n").get<std::string>();
    entry.data_centre = parsed.at("d").get<std::string>();
    entry.service = parsed.at("s").get<std::string>();
    entry.instance = parsed.at("i").get<std::string>();
    entry.instance_start_ms = support::read_unsigned<std::uint64_t>(parsed.at("b"));
    entry.slots =
        static_cast<std::uint32_t>(support::read_unsigned(parsed.at("c"), max_server_slots));
    entry.replica_port = support::read_unsigned_member<std::uint16_t>(parsed, "r");
    if (const auto* crashes = support::find_member(parsed, "x"); crashes != nullptr) {
      entry.crashes = read_crashes(*crashes);
    }
    const bool has_valid_crashes = decide::is_within_bounds(entry.crashes);
    const auto state = parse_state(parsed.at("t").get<std::string>());
    if (state && has_valid_crashes && support::is_server_address(key)) {
      entry.state = *state;
      return entry;
    }
  } catch (const json::exception&) {
    // Reported below like any other invalid row.
  }
  return support::make_error(support::result_code::frame_corrupt,
                             "directory row cannot be decoded");
}

directory::directory(std::string local_address, follower_settings settings,
                     const table_store& store, delayed_call run_later, std::uint64_t seed,
                     directory_callbacks callbacks, copy_age_limit age_limit)
    : local_address_(std::move(local_address)), store_(store), run_later_(std::move(run_later)),
      random_(seed), callbacks_(std::move(callbacks)),
      follower_(std::move(settings), store, run_later_, seed + 1,
                {[this](const stored_row& row) { handle_row(row); }, [this] { handle_updated(); },
                 [this](std::uint64_t era) { handle_restored(era); },
                 [this](bool reached, store_end end) {
                   replica_.handle_updated();
                   callbacks_.on_contact_changed(reached, end);
                 }}),
      replica_(follower_, run_later_, std::move(age_limit)) {}

void directory::start() {
  follower_.start();
}

void directory::set_local_entry(const directory_entry& entry) {
  if (local_entry_ == entry) {
    return;
  }
  local_entry_ = entry;
  entries_[entry.call_address] = entry;
  write_local_entry();
  callbacks_.on_change();
}

void directory::handle_row(const stored_row& row) {
  if (row.removed) {
    replica_.handle_removed();
  }
  const bool is_local = row.key == local_address_;
  auto decoded = row.unreadable ? support::make_error(support::result_code::frame_corrupt,
                                                      "directory row is not encoded as text")
                                : decode_entry(row.key, row.value);
  if (!row.removed && !decoded.ok()) {
    callbacks_.on_unreadable(row, decoded.status());
  }
  const bool is_usable = !row.removed && decoded.ok();
  if (is_local) {
    // The stored row of the local daemon is only compared with the desired one.
    if (!follower_.is_loaded() && is_usable) {
      initial_local_entry_ = *decoded;
    }
    if (row.version > local_version_ || row.removed) {
      local_version_ = row.removed ? 0 : row.version;
      stored_local_entry_ = is_usable ? std::optional(*decoded) : std::nullopt;
      write_local_entry();
    }
    return;
  }
  if (is_usable) {
    entries_[row.key] = *std::move(decoded);
  } else {
    entries_.erase(row.key);
  }
}

void directory::handle_updated() {
  write_local_entry();
  replica_.handle_updated();
  callbacks_.on_change();
}

// The row has to be written again under the version that the next full read finds.
void directory::handle_restored(std::uint64_t era) {
  local_version_ = 0;
  stored_local_entry_.reset();
  callbacks_.on_restored(era);
}

void directory::write_local_entry() {
  if (!local_entry_ || is_writing_ || is_backing_off_ || !follower_.is_current() ||
      stored_local_entry_ == local_entry_) {
    return;
  }
  is_writing_ = true;
  const auto written = *local_entry_;
  store_.write(directory_table, {written.call_address, encode_entry(written), 0, false},
               local_version_,
               [this, written, alive = std::weak_ptr(alive_)](const store_result& result) {
                 if (!alive.expired()) {
                   handle_write_result(written, result);
                 }
               });
}

void directory::handle_write_result(const directory_entry& written, const store_result& result) {
  is_writing_ = false;
  callbacks_.on_written(written, result.end);
  follower_.observe_era(result.era);
  if (result.era != 0 && result.era < follower_.era()) {
    // The restored store does not hold the result.
    schedule_write_retry();
    return;
  }
  switch (result.end) {
  case store_end::done:
    backoff_ = support::duration(0);
    local_version_ = std::max(local_version_, result.version);
    stored_local_entry_ = written;
    write_local_entry();
    return;
  case store_end::conflict:
    // An earlier write of this process or of its predecessor took effect after all.
    local_version_ = 0;
    stored_local_entry_.reset();
    for (const auto& row : result.rows) {
      if (row.key == written.call_address) {
        local_version_ = row.version;
        if (auto held = decode_entry(row.key, row.value); held.ok()) {
          stored_local_entry_ = *std::move(held);
        }
      }
    }
    write_local_entry();
    return;
  case store_end::refused:
  case store_end::history_gone:
  case store_end::failed_before:
  case store_end::unknown:
    schedule_write_retry();
    return;
  }
}

void directory::schedule_write_retry() {
  is_backing_off_ = true;
  backoff_ = std::clamp<support::duration>(backoff_ * 2, min_write_backoff, max_write_backoff);
  run_later_(support::jittered(backoff_, random_), [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      is_backing_off_ = false;
      write_local_entry();
    }
  });
}

cluster_view make_cluster_view(const std::map<std::string, directory_entry>& entries,
                               std::uint64_t version) {
  cluster_view view;
  view.version = version;
  view.known_daemons = static_cast<std::uint32_t>(entries.size());
  for (const auto& [address, entry] : entries) {
    if (entry.state != serving_state::ready || entry.service.empty()) {
      continue;
    }
    view_member member;
    member.call_address = entry.call_address;
    member.name = entry.name;
    member.data_centre = entry.data_centre;
    member.service = entry.service;
    member.incarnation = support::hash64(entry.instance, entry.instance_start_ms);
    member.slots = entry.slots;
    view.members.push_back(std::move(member));
  }
  return view;
}

} // namespace acaciasill::control
