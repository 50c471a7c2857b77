#ifndef ACACIASILL_CONTROL_BACKEND_LIFE_H
#define ACACIASILL_CONTROL_BACKEND_LIFE_H

#include <cstdint>
#include <optional>
#include <string>

#include "acaciasill/support/time.h"

// What a daemon believes of the backend server beside it, from what the server says and from what
// requests to it show. Free functions over a plain struct; nothing here reads a clock.
namespace acaciasill::control {

// What a backend server says of itself, time and again.
struct backend_report {
  // Names one life of a server; mostly a new one after each start.
  std::string instance;
  // The server's start in Unix milliseconds by its own clock; tells two lives of one name apart.
  std::uint64_t start_ms = 0;
  // Rises with each report of one life, so that a late one is known.
  std::uint64_t sequence = 0;
  std::string service;
  // "ip:port".
  std::string address;
  std::uint32_t slots = 0;
  bool draining = false;
  // How much longer the server is slow after its start.
  support::milliseconds warm_up_left{0};

  bool operator==(const backend_report&) const = default;
};

// Whether the server may be sent work.
enum class backend_standing : std::uint8_t {
  unknown, // Nothing was heard of it yet.
  serving,
  leaving, // It said that it drains or is gone; this life never serves again.
  lost,    // It cannot be reached; it serves again once it is heard of.
};

// The state for one server.
struct backend_life {
  backend_standing standing = backend_standing::unknown;
  // The last report that counted.
  backend_report report;
  // When it was last heard of, by a report or an answer.
  support::time_point last_heard;
  // Requests in a row that found no connection to it.
  std::uint32_t refused_in_row = 0;

  bool operator==(const backend_life&) const = default;
};

// What a report changed.
enum class report_effect : std::uint8_t {
  none,
  stale,    // A late report of this life, or one of an earlier life.
  new_life, // Another life of the server begins to serve.
  returned, // The server was lost and is there again.
  figures,  // Its slots or address changed.
  leaves,   // It drains.
};

// Takes a report in. A life that has said that it leaves stays leaving whatever it says later.
report_effect take_report(backend_life& life, const backend_report& report,
                          support::time_point now);

// Takes in that the life with this name, and with this start where it is told, has gone; true where
// that was news. An unknown server counts as well, so that a late report of this life cannot bring
// it back.
bool take_departure(backend_life& life, const std::string& instance,
                    std::optional<std::uint64_t> start_ms);

// Takes in what an earlier process of this daemon wrote down of its server; true where the server
// is known to leave by it and was not before.
bool take_record(backend_life& life, const std::string& instance, std::uint64_t start_ms,
                 bool leaving);

// Takes in the end of a request to the server; true where the server is lost by it. A request that
// was answered shows that it is there.
bool take_exchange(backend_life& life, bool reached, support::time_point now);

// Takes in that time has passed without a report; true where the server is lost by it.
bool check_silence(backend_life& life, support::time_point now, support::duration longest);

// Whether work may be sent to the server.
inline bool may_serve(const backend_life& life) {
  return life.standing == backend_standing::serving;
}

} // namespace acaciasill::control

#endif
