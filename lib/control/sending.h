#ifndef ACACIASILL_LIB_CONTROL_SENDING_H
#define ACACIASILL_LIB_CONTROL_SENDING_H

#include <string>
#include <vector>

#include "node_state.h"

// Datagrams, requests and log lines that a step appends to the driver's buffer.
namespace acaciasill::control {

// Sends a body and fills the rest of the datagram with what is to be spread.
void send_body(step_context& context, const std::string& to, message_body body);

// Sends a body with exactly these records, no others.
void send_records(step_context& context, const std::string& to, message_body body,
                  std::vector<member> updates);

// Sends a body with one record that the receiver should have, before what is to be spread.
void send_correction(step_context& context, const std::string& to, message_body body,
                     const std::string& about);

// Sends the records in as many datagrams as they need, but no more than the bound.
void send_all_records(step_context& context, const std::string& to, const message_body& body,
                      const std::vector<member>& updates, std::size_t max_datagrams);

// Whether one more record still fits into the datagram.
bool fits(const datagram& message, const member& next);

// Marks a record as to be spread; an urgent one goes first.
void spread_record(node_state& state, const std::string& address, bool urgent);

// Marks a data centre's mark as to be spread.
void spread_mark(node_state& state, const std::string& data_centre);

// Decimal digits of the number of records of the own data centre.
std::uint32_t size_digits(const node_state& state);

// The number of datagrams that carry one piece of news.
std::uint32_t spread_limit(const node_state& state);

// Asks the platform and returns what is then awaited.
pending_request ask_platform(step_context& context, platform_operation operation);

// Whether an answer is still awaited.
bool is_waiting(const pending_request& request, support::time_point now);

// Whether this answer was awaited; it is then no longer.
bool settles(pending_request& request, const platform_answer& answer);

// Writes a line to the log.
void log(step_context& context, support::log_level level, const char* part, std::string text);

// Up to `count` different elements in random order.
std::vector<std::string> choose_some(support::random_source& random,
                                     std::vector<std::string> addresses, std::size_t count);

// The period, longer or shorter by up to a tenth, so that nodes do not act in step.
support::duration jittered(support::random_source& random, support::duration period);

} // namespace acaciasill::control

#endif
