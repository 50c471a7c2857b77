#ifndef ACACIASILL_LIB_CONTROL_DUTIES_H
#define ACACIASILL_LIB_CONTROL_DUTIES_H

#include <string>
#include <vector>

#include "node_state.h"

// Which members hold which duty, by rendezvous hashing over the records. No duty is exclusive:
// two nodes whose records differ may both hold one, and each duty is safe when they do.
namespace acaciasill::control {

// The first `count` members of the data centre for the duty: running, not suspected, those that
// drain last.
std::vector<std::string> holders_of(const node_state& state, const std::string& data_centre,
                                    const std::string& duty, std::size_t count);

// The name of the duty to compare records with another data centre.
std::string bridge_duty(const std::string& data_centre);

// Works out the own duties anew where records have changed.
void update_duties(step_context& context);

} // namespace acaciasill::control

#endif
