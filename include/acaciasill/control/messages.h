#ifndef ACACIASILL_CONTROL_MESSAGES_H
#define ACACIASILL_CONTROL_MESSAGES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The datagrams that daemons exchange about membership and configuration, apart from their
// encoding. The identity of a daemon is the gossip address that its datagrams come from.
namespace acaciasill::control {

// The largest encoded datagram in bytes; it fits into one packet on every usual network.
inline constexpr std::size_t max_datagram_bytes = 1200;

// The largest number of members, digests and bytes of text that one datagram may hold. A decoder
// refuses anything over them before it allocates.
inline constexpr std::size_t max_updates = 64;
inline constexpr std::size_t max_scopes = 48;
inline constexpr std::size_t max_buckets = 32;
inline constexpr std::size_t max_name_bytes = 64;
inline constexpr std::size_t max_chunk_bytes = 800;

// What is known of a member. At one incarnation a state later in this list replaces an earlier one.
enum class member_state : std::uint8_t {
  alive,
  suspect, // It answered neither a probe nor an indirect one.
  dead,    // It was suspected for too long.
  left,    // It ended by its own will.
};

// One daemon and the backend server beside it.
struct member {
  // The "ip:port" number on which the daemon's datagrams arrive; the member's identity.
  std::string gossip_address;
  // The "ip:port" number on which the daemon takes calls of other daemons over TCP.
  std::string call_address;
  std::string name;
  std::string data_centre;
  // The service of its backend server; empty while none has announced itself.
  std::string service;
  // Raised by the member alone: at each start, on a refutation, and when a field changes.
  std::uint64_t incarnation = 0;
  // Random bits chosen at each start of the process, so that two lives of one address differ.
  std::uint64_t start_nonce = 0;
  member_state state = member_state::alive;
  // Whether the member takes no new work and runs until nothing is in flight. It is no state, so
  // that it stays known while others suspect the member.
  bool draining = false;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // How long the backend server has been announced, in milliseconds, no more than max_age_ms.
  // It is stamped by each sender and takes no part in comparisons of records.
  std::uint32_t age_ms = 0;

  bool operator==(const member&) const = default;
};

// The largest age that a record carries, in milliseconds; an older server is warm in any case.
inline constexpr std::uint32_t max_age_ms = 600000;

// An ordinary probe; the receiver acknowledges it.
struct probe {
  std::uint64_t sequence = 0;

  bool operator==(const probe&) const = default;
};

// Answers a probe.
struct probe_ack {
  std::uint64_t sequence = 0;

  bool operator==(const probe_ack&) const = default;
};

// Asks the receiver to probe the target and to pass its acknowledgement on.
struct indirect_probe {
  std::uint64_t sequence = 0;
  std::string target;

  bool operator==(const indirect_probe&) const = default;
};

// Carries updates alone.
struct gossip {
  bool operator==(const gossip&) const = default;
};

// The number and digest of the records that the sender holds of one data centre.
struct scope_digest {
  std::string data_centre;
  std::uint32_t members = 0;
  std::uint64_t digest = 0;

  bool operator==(const scope_digest&) const = default;
};

// Opens a comparison of records. The receiver answers each scope that differs by bucket_digests.
struct sync_digest {
  // The sender's data centre.
  std::string data_centre;
  std::vector<scope_digest> scopes;

  bool operator==(const sync_digest&) const = default;
};

// One digest for each bucket of the records of a data centre. The receiver answers by sync_records.
struct bucket_digests {
  std::string data_centre;
  std::vector<std::uint64_t> digests;

  bool operator==(const bucket_digests&) const = default;
};

// Records of the buckets whose bits are set in the mask, as updates of the datagram. Where a reply
// is wanted, the receiver sends its own records of those buckets.
struct sync_records {
  std::string data_centre;
  std::uint32_t buckets = 0;
  bool wants_reply = false;

  bool operator==(const sync_records&) const = default;
};

// Asks a peer for one page of all records that its data centre shares; a newcomer asks until the
// next cursor is empty.
struct page_request {
  // Records after this gossip address; empty for the first page.
  std::string after;

  bool operator==(const page_request&) const = default;
};

// Answers a page_request; the records are the updates of the datagram.
struct page {
  // The cursor of the next page; empty after the last one.
  std::string next;

  bool operator==(const page&) const = default;
};

// Asks which configuration the receiver has in force.
struct configuration_query {
  bool operator==(const configuration_query&) const = default;
};

// The configuration that the sender has in force; generation 0 with an empty digest for none.
struct configuration_offer {
  std::uint64_t generation = 0;
  std::string digest;

  bool operator==(const configuration_offer&) const = default;
};

// Asks for a part of a configuration object, as a difference from the object that the asker holds.
struct chunk_request {
  std::string digest;
  // The digest of the object that the asker holds; empty for none.
  std::string base_digest;
  std::uint32_t offset = 0;

  bool operator==(const chunk_request&) const = default;
};

// A part of a configuration object. The object is the first `prefix` bytes of the base, the bytes
// of all chunks in order, `total` of them, and the last `suffix` bytes of the base.
struct chunk {
  std::string digest;
  // Empty where the sender does not hold the asker's object; prefix and suffix are then 0.
  std::string base_digest;
  std::uint32_t prefix = 0;
  std::uint32_t suffix = 0;
  std::uint32_t total = 0;
  std::uint32_t offset = 0;
  std::string bytes;

  bool operator==(const chunk&) const = default;
};

using message_body = std::variant<gossip, probe, probe_ack, indirect_probe, sync_digest,
                                  bucket_digests, sync_records, page_request, page,
                                  configuration_query, configuration_offer, chunk_request, chunk>;

// Whether a whole data centre can be reached from that of the sender. The higher epoch wins.
struct data_centre_mark {
  std::string data_centre;
  std::uint64_t epoch = 0;
  bool reachable = true;

  bool operator==(const data_centre_mark&) const = default;
};

// One datagram. The address that it came from stands for the sender.
struct datagram {
  // The sender's own incarnation and start nonce, by which the receiver notices a stale record.
  std::uint64_t sender_incarnation = 0;
  std::uint64_t sender_nonce = 0;
  // The generation of the configuration that the sender has in force; 0 for none.
  std::uint64_t configuration_generation = 0;
  std::vector<member> updates;
  // No more than max_scopes.
  std::vector<data_centre_mark> marks;
  message_body body;

  bool operator==(const datagram&) const = default;
};

// Upper bounds of the encoded size in bytes. The codec keeps within them; a unit test checks it.
std::size_t encoded_bound(const member& record);
std::size_t encoded_bound(const data_centre_mark& mark);
std::size_t encoded_bound(const datagram& message);

} // namespace acaciasill::control

#endif
