#ifndef ACACIASILL_LIB_CONTROL_OBJECT_FETCHING_H
#define ACACIASILL_LIB_CONTROL_OBJECT_FETCHING_H

#include <string>

#include "node_state.h"

// Fetches configuration objects in chunks from peers, or whole from the platform.
namespace acaciasill::control {

// Requests the next chunk, choosing a new source if none is selected.
void request_chunk(step_context& context);

// Counts a failure of the current source and restarts the fetch from another one, without a
// difference base if drop_base is set.
void fail_source(step_context& context, bool drop_base);

// Starts a fetch that is due, and retries or abandons one whose chunk is late.
void run_fetch(step_context& context);

// Appends a chunk. Returns the whole object once it is complete and its digest matches.
std::optional<std::string> add_chunk(step_context& context, const std::string& from,
                                     const chunk& body);

// Creates the chunk requested by a peer, or nullopt if this node does not hold the object.
std::optional<chunk> make_chunk(const configuration_state& configuration,
                                const chunk_request& body);

} // namespace acaciasill::control

#endif
