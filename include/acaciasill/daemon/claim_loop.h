#ifndef ACACIASILL_DAEMON_CLAIM_LOOP_H
#define ACACIASILL_DAEMON_CLAIM_LOOP_H

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "acaciasill/control/claims.h"
#include "acaciasill/daemon/key_claims.h"
#include "acaciasill/support/random.h"

// Event loop for claims of idempotency keys: feeds events with the system's time to the claim state
// machine and executes its actions. All functions except the operations in key_claims run on the
// thread of the context.
namespace acaciasill::daemon {

class claim_loop {
public:
  // Platform requests are sent through the function; their answers must be passed to
  // handle_platform_answer.
  claim_loop(asio::io_context& context, const std::string& holder, std::uint64_t seed,
             std::function<void(const control::platform_request&)> send_platform_request);

  // Returns the operations for the call path, which may be called from any thread.
  key_claims operations();

  // Handles a platform answer for which is_claim_ticket is true.
  void handle_platform_answer(const control::platform_answer& answer);

  // Whether a ticket belongs to the claims rather than to the control loop.
  static bool is_claim_ticket(std::uint64_t ticket);

  // Looks up the state of a key. The function is called on the context's thread.
  void query_key(const std::string& organisation, const std::string& key,
                 std::function<void(const control::key_answer&)> done);

private:
  struct pending_claim {
    claim_request request;
    std::function<void(claim_decision)> done;
  };

  void begin(const claim_request& request, std::function<void(claim_decision)> done);
  void settle(const claim_settlement& settlement);
  void handle(const control::claim_event& input);
  void perform(const control::platform_request& action);
  void perform(const control::claim_granted& action);
  void perform(const control::claim_refused& action);
  void perform(const control::claim_settled& action);
  void perform(const control::key_answer& action);
  void perform(const control::set_claim_timer& action);

  asio::io_context& context_;
  std::function<void(const control::platform_request&)> send_platform_request_;
  control::claims_state_ptr claims_;
  support::random_source random_;
  asio::steady_timer timer_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, pending_claim> pending_claims_;
  std::unordered_map<std::uint64_t, std::function<void(const control::key_answer&)>>
      pending_queries_;
};

// Formats the state of a key as JSON: known, claimed, holder, and the outcome once the call has
// ended.
std::string describe_key(const control::key_answer& answer);

} // namespace acaciasill::daemon

#endif
