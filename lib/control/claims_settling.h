#ifndef ACACIASILL_LIB_CONTROL_CLAIMS_SETTLING_H
#define ACACIASILL_LIB_CONTROL_CLAIMS_SETTLING_H

#include <optional>
#include <string>
#include <vector>

#include "claims_state.h"

// What becomes of the rows of claims: written, lost, in doubt, or in use by another.
namespace acaciasill::control {

// What one step works with.
struct claim_step {
  claims_state& state;
  support::time_point now;
  support::random_source& random;
  std::vector<claim_action>& actions;
};

// Says that a call does not run.
void refuse(claim_step& step, std::uint64_t call, support::result_code code,
            std::optional<run_outcome> earlier = std::nullopt, std::string holder = {});

// Lets a row wait for others; the first row whose window ends takes all along.
void enqueue(claim_step& step, const std::string& row_key, support::duration window);

// Begins to record the end of a run.
void record_end(claim_step& step, const std::string& row_key, held_key& held, run_outcome outcome);

// The row does not become this daemon's, or its end cannot be recorded.
void handle_lost(claim_step& step, const std::string& row_key, support::result_code code,
                 const std::optional<claim_row>& other = std::nullopt);

// Puts a group where it waits to be sent.
void send_later(claim_step& step, row_group group);

// Takes the platform's answer to a group's write, or to the reading of one of its rows.
void handle_write_answer(claim_step& step, row_group group, platform_end end);
void handle_read_answer(claim_step& step, row_group group, const platform_answer& answer);

} // namespace acaciasill::control

#endif
