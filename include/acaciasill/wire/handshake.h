#ifndef ACACIASILL_WIRE_HANDSHAKE_H
#define ACACIASILL_WIRE_HANDSHAKE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// The three messages that open a connection between daemons and prove that both sides hold the
// shared key. The argument for the scheme is in docs/design/authentication.md.
namespace acaciasill::wire {

// The version of the frames; both sides must have the same one.
inline constexpr std::uint32_t protocol_version = 1;

// Bytes of each side's nonce.
inline constexpr std::size_t nonce_bytes = 16;

// Bytes of an HMAC-SHA-256 tag.
inline constexpr std::size_t tag_bytes = 32;

// The connecting side's first frame.
struct hello {
  std::uint32_t version = protocol_version;
  std::string nonce;

  bool operator==(const hello&) const = default;
};

// The accepting side's answer, which proves that it holds the key.
struct challenge {
  std::uint32_t version = protocol_version;
  std::string nonce;
  std::string tag;

  bool operator==(const challenge&) const = default;
};

// The connecting side's proof that it holds the key.
struct proof {
  std::string tag;

  bool operator==(const proof&) const = default;
};

// The tag that the accepting side puts into its challenge. An empty key gives an empty tag.
std::string accepting_tag(std::string_view key, std::string_view connecting_nonce,
                          std::string_view accepting_nonce);

// The tag that the connecting side puts into its proof. An empty key gives an empty tag.
std::string connecting_tag(std::string_view key, std::string_view connecting_nonce,
                           std::string_view accepting_nonce);

// Whether a received tag is the expected one. With an empty key only an empty tag is accepted.
bool tag_matches(std::string_view expected, std::string_view received);

// A fresh nonce from the process's cryptographic source of randomness.
std::string make_nonce();

} // namespace acaciasill::wire

#endif
