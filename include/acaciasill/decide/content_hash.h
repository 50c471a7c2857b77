#ifndef ACACIASILL_DECIDE_CONTENT_HASH_H
#define ACACIASILL_DECIDE_CONTENT_HASH_H

#include <cstdint>
#include <string_view>

namespace acaciasill::decide {

// Identity of a request's content.
using content_hash = std::uint64_t;

// Returns the identity of a request. Two requests with equal service, method, target and body have
// the same, whatever their ids.
content_hash hash_content(std::string_view service, std::string_view method,
                          std::string_view target, std::string_view body);

} // namespace acaciasill::decide

#endif
