#include "acaciasill/support/hash.h"

#include <array>
#include <cassert>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include "absl/strings/escaping.h"

namespace acaciasill::support {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string sha256_hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

std::string hmac_sha256(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

struct hmac_signer::context {
  EVP_MAC* algorithm = nullptr;
  EVP_MAC_CTX* state = nullptr;

  ~context() {
    EVP_MAC_CTX_free(state);
    EVP_MAC_free(algorithm);
  }
};

hmac_signer::hmac_signer(std::string_view key) : context_(std::make_unique<context>()) {
  context_->algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  context_->state = EVP_MAC_CTX_new(context_->algorithm);
  std::string digest = "SHA256";
  const std::array<OSSL_PARAM, 2> parameters = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), digest.size()),
      OSSL_PARAM_construct_end()};
  [[maybe_unused]] const int done =
      EVP_MAC_init(context_->state, reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                   parameters.data());
  assert(done == 1 && "EVP_MAC_init failed");
}

hmac_signer::~hmac_signer() = default;

std::string hmac_signer::sign(std::string_view bytes) {
  // Without a key, EVP_MAC_init reuses the key set in the constructor.
  EVP_MAC_init(context_->state, nullptr, 0, nullptr);
  EVP_MAC_update(context_->state, reinterpret_cast<const unsigned char*>(bytes.data()),
                 bytes.size());
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  std::size_t size = 0;
  EVP_MAC_final(context_->state, digest.data(), &size, digest.size());
  return {reinterpret_cast<const char*>(digest.data()), size};
}

bool constant_time_equal(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace acaciasill::support
