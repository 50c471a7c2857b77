#ifndef ACACIASILL_LIB_CONTROL_SENDING_H
#define ACACIASILL_LIB_CONTROL_SENDING_H

#include <string>
#include <vector>

#include "node_state.h"

// Helpers that append datagrams, platform requests and log lines to the driver's action buffer.
namespace acaciasill::control {

// Sends a body and fills the rest of the datagram with queued updates.
void send_body(step_context& context, const std::string& to, message_body body);

// Sends a body with exactly these records.
void send_records(step_context& context, const std::string& to, message_body body,
                  std::vector<member> updates);

// Sends a body with the record that the receiver should have, followed by queued updates.
void send_correction(step_context& context, const std::string& to, message_body body,
                     const std::string& about);

// Sends the records in as many datagrams as needed, up to max_datagrams.
void send_all_records(step_context& context, const std::string& to, const message_body& body,
                      const std::vector<member>& updates, std::size_t max_datagrams);

// Whether one more record fits into the datagram.
bool fits(const datagram& message, const member& next);

// Queues a record for gossip; urgent ones are sent first.
void queue_record(node_state& state, const std::string& address, bool urgent);

// Queues a data centre's reachability mark for gossip.
void queue_mark(node_state& state, const std::string& data_centre);

// Returns the number of decimal digits of the local data centre's record count.
std::uint32_t size_digits(const node_state& state);

// Returns the number of datagrams that carry one ordinary update.
std::uint32_t retransmit_limit(const node_state& state);

// Sends a platform request and returns its pending state.
pending_request send_platform_request(step_context& context, platform_operation operation);

// Whether the request still awaits its answer.
bool is_waiting(const pending_request& request, support::time_point now);

// Whether the answer belongs to the request; if so, clears the request.
bool completes(pending_request& request, const platform_answer& answer);

// Writes a line to the log.
void log(step_context& context, support::log_level level, const char* part, std::string text);

// Returns up to `count` distinct elements in random order.
std::vector<std::string> choose_random(support::random_source& random,
                                       std::vector<std::string> addresses, std::size_t count);

// Returns the period with a random jitter of up to 10%, so that nodes do not act in lockstep.
support::duration jittered(support::random_source& random, support::duration period);

} // namespace acaciasill::control

#endif
