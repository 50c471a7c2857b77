#include "acaciasill/control/directory.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "acaciasill/support/hash.h"
#include "acaciasill/support/result_code.h"

namespace acaciasill::control {
namespace {

using json = nlohmann::json;

// Bounds of the pause after a write that failed; it doubles and is jittered, so that the daemons do
// not all come at once when the store is back. An entry has to be back within two seconds then.
constexpr support::milliseconds min_write_pause{100};
constexpr support::milliseconds max_write_pause{1000};

constexpr std::string_view state_names[] = {"ready", "leaving", "stopping", "absent"};

std::optional<serving_state> state_from(std::string_view name) {
  const auto* const found = std::find(std::begin(state_names), std::end(state_names), name);
  if (found == std::end(state_names)) {
    return std::nullopt;
  }
  return static_cast<serving_state>(found - std::begin(state_names));
}

} // namespace

std::string encode_entry(const directory_entry& entry) {
  const json value = {{"n", entry.name},
                      {"d", entry.data_centre},
                      {"s", entry.service},
                      {"i", entry.instance},
                      {"b", entry.instance_start_ms},
                      {"c", entry.slots},
                      {"t", state_names[static_cast<std::size_t>(entry.state)]}};
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
    entry.instance_start_ms = parsed.at("b").get<std::uint64_t>();
    entry.slots = parsed.at("c").get<std::uint32_t>();
    const auto state = state_from(parsed.at("t").get<std::string>());
    if (state) {
      entry.state = *state;
      return entry;
    }
  } catch (const json::exception&) {
    // Answered below, as any row that cannot be used.
  }
  return support::make_error(support::result_code::frame_corrupt,
                             "a row of the directory cannot be read");
}

directory::directory(std::string own_address, follower_settings settings, const table_store& store,
                     delayed_call after, std::uint64_t seed, directory_callbacks callbacks)
    : own_address_(std::move(own_address)), store_(store), after_(std::move(after)), random_(seed),
      callbacks_(std::move(callbacks)),
      follower_(std::move(settings), store, after_, seed + 1,
                {[this](const stored_row& row) { take_row(row); },
                 [this] {
                   write_own();
                   callbacks_.on_change();
                 },
                 [this](bool reached, store_end end) { callbacks_.on_contact(reached, end); }}) {}

void directory::start() {
  follower_.start();
}

void directory::set_own(const directory_entry& entry) {
  if (own_ == entry) {
    return;
  }
  own_ = entry;
  entries_[entry.call_address] = entry;
  write_own();
  callbacks_.on_change();
}

void directory::take_row(const stored_row& row) {
  const bool is_own = row.key == own_address_;
  auto decoded = decode_entry(row.key, row.value);
  if (!row.removed && !decoded.ok()) {
    callbacks_.on_unreadable(row, decoded.status());
  }
  const bool usable = !row.removed && decoded.ok();
  if (is_own) {
    // What the store holds of this daemon is only compared with what it should hold.
    if (!follower_.is_loaded() && usable) {
      found_own_ = *decoded;
    }
    if (row.version > own_version_ || row.removed) {
      own_version_ = row.removed ? 0 : row.version;
      stored_own_ = usable ? std::optional(*decoded) : std::nullopt;
      write_own();
    }
    return;
  }
  if (usable) {
    entries_[row.key] = *std::move(decoded);
  } else {
    entries_.erase(row.key);
  }
  if (follower_.is_loaded()) {
    callbacks_.on_change();
  }
}

void directory::write_own() {
  if (!own_ || writing_ || pausing_ || !follower_.is_loaded() || stored_own_ == own_) {
    return;
  }
  writing_ = true;
  const auto written = *own_;
  store_.write(directory_table, {written.call_address, encode_entry(written), 0, false},
               own_version_,
               [this, written, alive = std::weak_ptr(alive_)](const store_result& result) {
                 if (!alive.expired()) {
                   take_written(written, result);
                 }
               });
}

void directory::take_written(const directory_entry& written, const store_result& result) {
  writing_ = false;
  callbacks_.on_written(written, result.end);
  switch (result.end) {
  case store_end::done:
    pause_ = support::duration(0);
    own_version_ = std::max(own_version_, result.version);
    stored_own_ = written;
    write_own();
    return;
  case store_end::conflict:
    // An earlier write of this daemon, or of the process before it, was done after all.
    own_version_ = 0;
    stored_own_.reset();
    for (const auto& row : result.rows) {
      if (row.key == written.call_address) {
        own_version_ = row.version;
        if (auto held = decode_entry(row.key, row.value); held.ok()) {
          stored_own_ = *std::move(held);
        }
      }
    }
    write_own();
    return;
  case store_end::refused:
  case store_end::history_gone:
  case store_end::failed_before:
  case store_end::unknown:
    write_again_later();
    return;
  }
}

void directory::write_again_later() {
  pausing_ = true;
  pause_ = std::clamp<support::duration>(pause_ * 2, min_write_pause, max_write_pause);
  after_(support::jittered(pause_, random_), [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      pausing_ = false;
      write_own();
    }
  });
}

cluster_view view_of(const std::map<std::string, directory_entry>& entries, std::uint64_t version) {
  cluster_view view;
  view.version = version;
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
