#ifndef ACACIASILL_SUPPORT_HASH_H
#define ACACIASILL_SUPPORT_HASH_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace acaciasill::support {

// A fast 64-bit hash that is the same on every instance. Not for adversaries.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// The SHA-256 digest of the bytes in lower-case hexadecimal, 64 characters.
std::string sha256_hex(std::string_view bytes);

// The HMAC-SHA-256 of the bytes under the key, 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view bytes);

// Signs many texts under one key without setting the key up each time. Not for several threads.
class hmac_signer {
public:
  explicit hmac_signer(std::string_view key);
  ~hmac_signer();
  hmac_signer(const hmac_signer&) = delete;
  hmac_signer& operator=(const hmac_signer&) = delete;

  // The same as hmac_sha256 under the key.
  std::string sign(std::string_view bytes);

private:
  struct context;
  std::unique_ptr<context> context_;
};

// Whether two byte strings are equal, in time that does not depend on where they differ.
bool constant_time_equal(std::string_view left, std::string_view right);

} // namespace acaciasill::support

#endif
