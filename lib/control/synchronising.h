#ifndef ACACIASILL_LIB_CONTROL_SYNCHRONISING_H
#define ACACIASILL_LIB_CONTROL_SYNCHRONISING_H

#include <string>

#include "node_state.h"

// Comparisons of all records between two nodes, which repair what gossip missed.
namespace acaciasill::control {

// Opens a comparison with a random peer of the own data centre.
void run_sync(step_context& context);

// Opens a comparison of the own data centre's and the other data centre's records.
void open_bridge_sync(step_context& context, const std::string& to, const std::string& data_centre);

void take_sync_digest(step_context& context, const std::string& from, const sync_digest& body);
void take_bucket_digests(step_context& context, const std::string& from,
                         const bucket_digests& body);
void take_sync_records(step_context& context, const std::string& from, const sync_records& body);

// Answers a newcomer that asks for all records, one page at a time.
void take_page_request(step_context& context, const std::string& from, const page_request& body);

} // namespace acaciasill::control

#endif
