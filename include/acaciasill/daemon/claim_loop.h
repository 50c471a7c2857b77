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

// Drives the claims of idempotency keys: gives the step machine events with the machine's time and
// carries out its actions. All functions but those of key_claims run on the thread of the context.
namespace acaciasill::daemon {

class claim_loop {
public:
  // Requests go to the platform by the function; answers come back through take_answer.
  claim_loop(asio::io_context& context, const std::string& holder, std::uint64_t seed,
             std::function<void(const control::platform_request&)> ask_platform);

  // The operations for the call path, which may be called from any thread.
  key_claims operations();

  // Takes an answer whose ticket belongs to the claims.
  void take_answer(const control::platform_answer& answer);

  // Whether a ticket belongs to the claims and not to the control loop.
  static bool owns_ticket(std::uint64_t ticket);

  // Asks what became of a key; the function is called on the context's thread.
  void ask(const std::string& organisation, const std::string& key,
           std::function<void(const control::key_answer&)> done);

private:
  struct wanted_claim {
    claim_question question;
    std::function<void(claim_verdict)> done;
  };

  void begin(const claim_question& question, std::function<void(claim_verdict)> done);
  void settle(const claim_settlement& settlement);
  void handle(const control::claim_event& input);
  void perform(const control::platform_request& action);
  void perform(const control::claim_granted& action);
  void perform(const control::claim_refused& action);
  void perform(const control::claim_settled& action);
  void perform(const control::key_answer& action);
  void perform(const control::set_claim_timer& action);

  asio::io_context& context_;
  std::function<void(const control::platform_request&)> ask_platform_;
  control::claims_state_ptr claims_;
  support::random_source random_;
  asio::steady_timer timer_;
  std::uint64_t last_number_ = 0;
  std::unordered_map<std::uint64_t, wanted_claim> wanted_;
  std::unordered_map<std::uint64_t, std::function<void(const control::key_answer&)>> queries_;
};

// What is known of a key, as JSON: known, claimed, holder, and the outcome once its call has ended.
std::string describe_key(const control::key_answer& answer);

} // namespace acaciasill::daemon

#endif
