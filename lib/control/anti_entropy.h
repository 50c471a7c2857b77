#ifndef ACACIASILL_LIB_CONTROL_ANTI_ENTROPY_H
#define ACACIASILL_LIB_CONTROL_ANTI_ENTROPY_H

#include <string>

#include "node_state.h"

// Anti-entropy: pairwise comparison of all records, which repairs what gossip missed.
namespace acaciasill::control {

// Starts an exchange with a random peer of the local data centre.
void run_sync(step_context& context);

// Starts an exchange with a member of another data centre, covering the records of both data
// centres.
void open_bridge_sync(step_context& context, const std::string& to, const std::string& data_centre);

void handle_sync_digest(step_context& context, const std::string& from, const sync_digest& body);
void handle_bucket_digests(step_context& context, const std::string& from,
                           const bucket_digests& body);
void handle_sync_records(step_context& context, const std::string& from, const sync_records& body);

// Answers a joining node's request for one page of the records.
void handle_page_request(step_context& context, const std::string& from, const page_request& body);

} // namespace acaciasill::control

#endif
