#include "acaciasill/wire/handshake.h"

#include <openssl/rand.h>

#include "absl/strings/str_cat.h"

#include "acaciasill/support/hash.h"

namespace acaciasill::wire {
namespace {

// Each side uses its own label, so that a tag cannot be reflected to its sender.
constexpr std::string_view accepting_label = "acaciasill accepting 1";
constexpr std::string_view connecting_label = "acaciasill connecting 1";

// All parts have a fixed length, so the concatenation is unambiguous.
std::string make_tag(std::string_view key, std::string_view label,
                     std::string_view connecting_nonce, std::string_view accepting_nonce) {
  if (key.empty()) {
    return {};
  }
  std::string text(label);
  text.append(connecting_nonce);
  text.append(accepting_nonce);
  return support::hmac_sha256(key, text);
}

} // namespace

std::string accepting_tag(std::string_view key, std::string_view connecting_nonce,
                          std::string_view accepting_nonce) {
  return make_tag(key, accepting_label, connecting_nonce, accepting_nonce);
}

std::string connecting_tag(std::string_view key, std::string_view connecting_nonce,
                           std::string_view accepting_nonce) {
  return make_tag(key, connecting_label, connecting_nonce, accepting_nonce);
}

bool tag_matches(std::string_view expected, std::string_view received) {
  return support::constant_time_equal(expected, received);
}

std::string make_nonce() {
  std::string nonce(nonce_bytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) !=
      1) {
    // Without randomness no connection can be authenticated; peers reject an empty nonce.
    return {};
  }
  return nonce;
}

} // namespace acaciasill::wire
