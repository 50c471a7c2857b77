#ifndef ACACIASILL_CONTROL_REPLICA_CHOICE_H
#define ACACIASILL_CONTROL_REPLICA_CHOICE_H

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "acaciasill/control/directory.h"

// Decides which daemons read the store and which read the copies of others. Any daemon may read the
// store at any time; the choice only bounds the number that normally do.
namespace acaciasill::control {

// Number of daemons of a data centre that read the store. Others read from both by turns, so that
// one that has lost the store without noticing delays no change by more than one read.
inline constexpr std::size_t readers_per_data_centre = 2;

// Returns the call addresses of the daemons whose copies the local daemon reads; empty if it reads
// the store itself. The readers of a data centre are the daemons with the lowest hashes of their
// addresses among those that serve and are available. A daemon follows only daemons that precede it
// in this order, so that copies are never read in a circle.
std::vector<std::string>
choose_replicas(const std::map<std::string, directory_entry>& entries,
                const std::string& local_address, const std::string& local_data_centre,
                const std::function<bool(const std::string& address)>& is_available);

} // namespace acaciasill::control

#endif
