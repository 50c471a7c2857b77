#include "acaciasill/decide/content_hash.h"

#include "acaciasill/support/hash.h"

namespace acaciasill::decide {

content_hash hash_content(std::string_view service, std::string_view method,
                          std::string_view target, std::string_view body) {
  auto hash = support::hash64(service);
  hash = support::hash64(method, hash);
  hash = support::hash64(target, hash);
  return support::hash64(body, hash);
}

} // namespace acaciasill::decide
