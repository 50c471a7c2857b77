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

// State of a call at the caller's daemon and classification of its replies.
namespace acaciasill::daemon {

// An attempt in progress.
struct attempt {
  std::shared_ptr<decide::upstream_load> load;
  std::string address;
  std::uint32_t lent_attempts = 0;
  // Handle of the attempt at a peer, or id of the call at the local backend server.
  std::optional<net::call_handle> remote;
  std::optional<std::uint64_t> local;
};

// State of one call, accessed only on its home thread.
struct entry_call {
  entry_call(std::uint64_t call_id, request_thread& thread) : id(call_id), home(thread) {}

  std::uint64_t id;
  request_thread& home;
  std::uint64_t connection = 0;
  entry_request request;
  net::http_responder respond;
  support::time_point arrived;
  decide::level level = 0;
  decide::retry_urgency urgency = 0;
  // Remaining attempts: granted at the entry, or lent by the parent.
  decide::attempt_budget budget;
  std::uint32_t first_budget = 0;
  std::optional<decide::parent_ref> parent;
  std::optional<decide::duplicate_ticket> duplicate;
  std::vector<std::uint64_t> tried;
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  std::uint32_t spent = 0;
  // Number of attempts that ran or may have run.
  std::uint32_t runs = 0;
  std::uint32_t subset_size = 0;
  attempt current;
  std::optional<asio::steady_timer> retry_timer;
  // Whether the call holds a permit of its organisation.
  bool has_permit = false;
  bool ended = false;
};

using call_ptr = std::shared_ptr<entry_call>;

// What the previous requests on a connection of a caller have shown.
struct connection_history {
  // Time of the latest answer; nullopt before the first one.
  std::optional<support::time_point> answered;
  // Running request that the latest call of the backend server belonged to.
  std::optional<wire::request_id> previous_parent;
};

struct thread_calls {
  std::unordered_map<std::uint64_t, call_ptr> calls;
  std::unordered_multimap<std::uint64_t, std::uint64_t> by_connection;
  std::unordered_map<std::uint64_t, connection_history> histories;
  std::uint64_t last_id = 0;
};

// Whether a reply indicates that the upstream itself is unhealthy.
bool upstream_failed(const wire::call_reply& reply);

// Whether the attempt reached the upstream's daemon and its backend server.
bool upstream_was_reached(const wire::call_reply& reply);

// Whether the reply was generated locally because no reply was received.
bool reply_was_lost(const wire::call_reply& reply);

// Whether the reply holds an answer of the backend server that is not valid HTTP. The daemon beside
// the server may be of a build that does not check answers.
bool has_malformed_answer(const wire::call_reply& reply);

// Removes the answer from the reply, so that the call ends as if the server had not answered.
void discard_answer(wire::call_reply& reply, bool idempotent);

// Logs that the answer of a reply is discarded; dropped is the number of lines suppressed before.
void log_malformed_answer(const entry_call& call, const wire::call_reply& reply,
                          std::uint32_t dropped);

// Logs the end of a call; dropped is the number of lines suppressed before this one.
void log_call_end(const entry_call& call, const wire::call_reply& reply, support::time_point now,
                  std::uint32_t dropped);

} // namespace acaciasill::daemon

#endif
