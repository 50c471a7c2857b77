#include "acaciasill/control/replica_choice.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "acaciasill/support/hash.h"

namespace acaciasill::control {

std::vector<std::string>
choose_replicas(const std::map<std::string, directory_entry>& entries,
                const std::string& local_address, const std::string& local_data_centre,
                const std::function<bool(const std::string& address)>& is_available) {
  using candidate = std::pair<std::uint64_t, std::string>;
  const candidate local{support::hash64(local_address), local_address};
  std::vector<candidate> readers;
  for (const auto& [address, entry] : entries) {
    if (entry.data_centre != local_data_centre || entry.state != serving_state::ready ||
        entry.replica_port == 0 || address == local_address) {
      continue;
    }
    candidate other{support::hash64(address), address};
    if (other < local && is_available(address)) {
      readers.push_back(std::move(other));
    }
  }
  if (readers.size() < readers_per_data_centre) {
    return {};
  }
  const auto end = readers.begin() + readers_per_data_centre;
  std::partial_sort(readers.begin(), end, readers.end());
  std::vector<std::string> result;
  for (auto reader = readers.begin(); reader != end; ++reader) {
    result.push_back(std::move(reader->second));
  }
  return result;
}

} // namespace acaciasill::control
