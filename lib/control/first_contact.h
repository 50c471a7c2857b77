#ifndef ACACIASILL_LIB_CONTROL_FIRST_CONTACT_H
#define ACACIASILL_LIB_CONTROL_FIRST_CONTACT_H

#include <string>

#include "node_state.h"

// How a node finds the others: seeds of its settings, and a few rows of the table for each data
// centre that holders of that duty keep up to date.
namespace acaciasill::control {

// Asks for all records until a peer has answered, and keeps the rows where that is a duty.
void run_first_contact(step_context& context);

// Takes one page of the records.
void take_page(step_context& context, const std::string& from, const page& body);

// Takes the platform's answer where it belongs to this part.
bool take_contact_answer(step_context& context, const platform_answer& answer);

// Forgets what was asked before a pause.
void forget_contact_requests(step_context& context);

} // namespace acaciasill::control

#endif
