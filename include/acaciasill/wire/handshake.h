#ifndef ACACIASILL_WIRE_HANDSHAKE_H
#define ACACIASILL_WIRE_HANDSHAKE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// Handshake messages of a connection between daemons, which prove that both sides hold the shared
// key. See docs/design/authentication.md for the design of the scheme.
namespace acaciasill::wire {

// Version of the frame protocol; both sides must use the same version.
inline constexpr std::uint32_t protocol_version = 1;

// Size of each side's nonce, in bytes.
inline constexpr std::size_t nonce_bytes = 16;

// Size of an HMAC-SHA-256 tag, in bytes.
inline constexpr std::size_t tag_bytes = 32;

// First frame of the connecting side.
struct hello {
  std::uint32_t version = protocol_version;
  std::string nonce;

  bool operator==(const hello&) const = default;
};

// Response of the accepting side, which proves that it holds the key.
struct challenge {
  std::uint32_t version = protocol_version;
  std::string nonce;
  std::string tag;

  bool operator==(const challenge&) const = default;
};

// Proof of the connecting side that it holds the key.
struct proof {
  std::string tag;

  bool operator==(const proof&) const = default;
};

// Computes the tag of the accepting side's challenge. An empty key gives an empty tag.
std::string accepting_tag(std::string_view key, std::string_view connecting_nonce,
                          std::string_view accepting_nonce);

// Computes the tag of the connecting side's proof. An empty key gives an empty tag.
std::string connecting_tag(std::string_view key, std::string_view connecting_nonce,
                           std::string_view accepting_nonce);

// Returns whether a received tag equals the expected one, in constant time. With an empty key, only
// an empty tag matches.
bool tag_matches(std::string_view expected, std::string_view received);

// Generates a nonce with the cryptographic random generator; empty if the generator fails.
std::string make_nonce();

} // namespace acaciasill::wire

#endif
