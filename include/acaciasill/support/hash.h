#ifndef ACACIASILL_SUPPORT_HASH_H
#define ACACIASILL_SUPPORT_HASH_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace acaciasill::support {

// Returns a fast non-cryptographic 64-bit hash, the same on every instance. It does not resist
// deliberate collisions.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Returns the SHA-256 digest of the bytes as 64 lower-case hexadecimal characters.
std::string sha256_hex(std::string_view bytes);

// Returns the HMAC-SHA-256 of the bytes under the key as 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view bytes);

// Computes HMAC-SHA-256 under one key without repeating the key setup for each message. Not
// thread-safe.
class hmac_signer {
public:
  explicit hmac_signer(std::string_view key);
  ~hmac_signer();
  hmac_signer(const hmac_signer&) = delete;
  hmac_signer& operator=(const hmac_signer&) = delete;

  // Returns the same result as hmac_sha256 under the key.
  std::string sign(std::string_view bytes);

private:
  struct context;
  std::unique_ptr<context> context_;
};

// Compares two byte strings in time that does not depend on where they differ.
bool constant_time_equal(std::string_view left, std::string_view right);

} // namespace acaciasill::support

#endif
