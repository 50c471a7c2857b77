#ifndef ACACIASILL_LIB_DAEMON_ENTRY_CALL_H
#define ACACIASILL_LIB_DAEMON_ENTRY_CALL_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/steady_timer.hpp>

#include "acaciasill/daemon/entry_request.h"
#include "acaciasill/daemon/request_thread.h"
#include "acaciasill/decide/request_path.h"
#include "acaciasill/net/http_server.h"
#include "acaciasill/net/peer_pool.h"

// One call at its caller's daemon, and what its replies say.
namespace acaciasill::daemon {

// One attempt that is under way.
struct attempt {
  std::shared_ptr<decide::upstream_load> load;
  std::string address;
  std::uint32_t lent = 0;
  // Where the call went: to a peer, or to this daemon's own backend server.
  std::optional<net::call_handle> remote;
  std::optional<std::uint64_t> local;
};

// One call; only its home thread touches it.
struct entry_call {
  entry_call(std::uint64_t call_id, request_thread& thread) : id(call_id), home(thread) {}

  std::uint64_t id;
  request_thread& home;
  std::uint64_t connection = 0;
  entry_request request;
  net::http_responder respond;
  support::time_point arrived;
  decide::level level = 0;
  // Attempts that this call holds: minted at the entry, or lent by the parent.
  decide::attempt_budget budget;
  std::uint32_t first_budget = 0;
  std::optional<decide::parent_ref> parent;
  std::optional<decide::duplicate_ticket> duplicate;
  std::vector<std::uint64_t> tried;
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  std::uint32_t spent = 0;
  // Attempts that ran, or may have run.
  std::uint32_t runs = 0;
  std::uint32_t subset_size = 0;
  attempt current;
  std::optional<asio::steady_timer> retry_timer;
  bool ended = false;
};

using call_ptr = std::shared_ptr<entry_call>;

struct thread_calls {
  std::unordered_map<std::uint64_t, call_ptr> calls;
  std::unordered_multimap<std::uint64_t, std::uint64_t> by_connection;
  std::uint64_t last_id = 0;
};

// Whether a reply shows that its upstream itself is unhealthy.
bool upstream_failed(const wire::call_reply& reply);

// Whether the upstream's daemon and its backend server were there for the attempt.
bool upstream_was_reached(const wire::call_reply& reply);

// Whether the link made the reply because none came back.
bool reply_was_lost(const wire::call_reply& reply);

// Writes the line of a call that ended; dropped counts the lines that were left out before it.
void log_call_end(const entry_call& call, const wire::call_reply& reply, support::time_point now,
                  std::uint32_t dropped);

} // namespace acaciasill::daemon

#endif
