#ifndef ACACIASILL_LIB_CONTROL_CLAIMS_RESOLUTION_H
#define ACACIASILL_LIB_CONTROL_CLAIMS_RESOLUTION_H

#include <optional>
#include <string>
#include <vector>

#include "claims_state.h"

// Handling of the results of writes of claim rows: success, conflict or unknown.
namespace acaciasill::control {

// Arguments of one step.
struct claim_context {
  claims_state& state;
  support::time_point now;
  support::random_source& random;
  std::vector<claim_action>& actions;
};

// Refuses a call.
void refuse(claim_context& context, std::uint64_t call, support::result_code code,
            std::optional<run_outcome> earlier = std::nullopt, std::string holder = {});

// Queues a row for batching. All queued rows are sent when the earliest window expires.
void queue_row(claim_context& context, const std::string& row_key, support::duration window);

// Starts recording the outcome of a call.
void record_outcome(claim_context& context, const std::string& row_key, key_state& held,
                    run_outcome outcome);

// Handles a claim that was not acquired, or an outcome that cannot be recorded.
void handle_failed_row(claim_context& context, const std::string& row_key,
                       support::result_code code,
                       const std::optional<claim_row>& other = std::nullopt);

// Queues a batch for sending.
void queue_batch(claim_context& context, row_batch batch);

// Process the platform's answer to a batch's write, or to the read of one of its rows.
void handle_write_answer(claim_context& context, row_batch batch, platform_end end);
void handle_read_answer(claim_context& context, row_batch batch, const platform_answer& answer);

} // namespace acaciasill::control

#endif
