#ifndef ACACIASILL_CONTROL_MESSAGES_H
#define ACACIASILL_CONTROL_MESSAGES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Gossip datagrams for membership and configuration, independent of their encoding. A daemon is
// identified by the gossip address from which its datagrams arrive.
namespace acaciasill::control {

// Maximum encoded size of a datagram in bytes. Stays below the MTU of common networks, so that no
// datagram is fragmented.
inline constexpr std::size_t max_datagram_bytes = 1200;

// Limits on the elements and text bytes of one datagram. Decoders check them before allocating.
inline constexpr std::size_t max_updates = 64;
inline constexpr std::size_t max_scopes = 48;
inline constexpr std::size_t max_buckets = 32;
inline constexpr std::size_t max_name_bytes = 64;
inline constexpr std::size_t max_chunk_bytes = 800;

// State of a member. At equal incarnation a later state in this list supersedes an earlier one.
enum class member_state : std::uint8_t {
  alive,
  suspect, // Answered neither a direct nor an indirect probe.
  dead,    // Did not refute a suspicion in time.
  left,    // Left the cluster gracefully.
};

// Membership record of a daemon and its backend server.
struct member {
  // Gossip address as "ip:port" (UDP); the member's identity.
  std::string gossip_address;
  // Address as "ip:port" (TCP) on which the daemon accepts calls from other daemons.
  std::string call_address;
  std::string name;
  std::string data_centre;
  // Service of the backend server; empty until a backend server announces itself.
  std::string service;
  // Incremented only by the member itself: at start, on refutation, and when a field changes.
  std::uint64_t incarnation = 0;
  // Random value chosen at each process start. Distinguishes successive processes at the same
  // address.
  std::uint64_t start_nonce = 0;
  member_state state = member_state::alive;
  // Whether the member is draining: it accepts no new work and runs until no call is in flight.
  // Kept apart from the state so that it stays visible while the member is suspected.
  bool draining = false;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Time since the backend server announced itself, in milliseconds, capped at max_age_ms. Set by
  // each sender and ignored when records are compared.
  std::uint32_t age_ms = 0;

  bool operator==(const member&) const = default;
};

// Maximum age carried by a record, in milliseconds. A server of this age is fully warmed up.
inline constexpr std::uint32_t max_age_ms = 600000;

// Direct probe; the receiver replies with probe_ack.
struct probe {
  std::uint64_t sequence = 0;

  bool operator==(const probe&) const = default;
};

// Reply to a probe.
struct probe_ack {
  std::uint64_t sequence = 0;

  bool operator==(const probe_ack&) const = default;
};

// Asks the receiver to probe the target and to forward its acknowledgement.
struct indirect_probe {
  std::uint64_t sequence = 0;
  std::string target;

  bool operator==(const indirect_probe&) const = default;
};

// Carries only the updates and marks of the datagram.
struct gossip {
  bool operator==(const gossip&) const = default;
};

// Number and digest of the sender's records for one data centre.
struct scope_digest {
  std::string data_centre;
  std::uint32_t members = 0;
  std::uint64_t digest = 0;

  bool operator==(const scope_digest&) const = default;
};

// Starts an anti-entropy exchange. The receiver replies with bucket_digests for each scope that
// differs.
struct sync_digest {
  // The sender's data centre.
  std::string data_centre;
  std::vector<scope_digest> scopes;

  bool operator==(const sync_digest&) const = default;
};

// Digest of each bucket of a data centre's records. The receiver replies with sync_records.
struct bucket_digests {
  std::string data_centre;
  std::vector<std::uint64_t> digests;

  bool operator==(const bucket_digests&) const = default;
};

// Records of the buckets whose bits are set in the mask, carried as updates of the datagram. If
// wants_reply is set, the receiver sends its own records of those buckets.
struct sync_records {
  std::string data_centre;
  std::uint32_t buckets = 0;
  bool wants_reply = false;

  bool operator==(const sync_records&) const = default;
};

// Requests one page of all records shared within the peer's data centre. A joining node repeats the
// request until the returned cursor is empty.
struct page_request {
  // Cursor: only records after this gossip address are returned; empty for the first page.
  std::string after;

  bool operator==(const page_request&) const = default;
};

// Reply to page_request; the records are the updates of the datagram.
struct page {
  // Cursor of the next page; empty on the last page.
  std::string next;

  bool operator==(const page&) const = default;
};

// Asks for the generation and digest of the configuration in force at the receiver.
struct configuration_query {
  bool operator==(const configuration_query&) const = default;
};

// Configuration in force at the sender. Generation 0 and an empty digest mean none.
struct configuration_offer {
  std::uint64_t generation = 0;
  std::string digest;

  bool operator==(const configuration_offer&) const = default;
};

// Requests a chunk of a configuration object, encoded as a difference from an object that the
// requester holds.
struct chunk_request {
  std::string digest;
  // Digest of the object that the requester holds; empty for none.
  std::string base_digest;
  std::uint32_t offset = 0;

  bool operator==(const chunk_request&) const = default;
};

// Chunk of a configuration object. The object consists of the first `prefix` bytes of the base, the
// concatenated chunks (`total` bytes), and the last `suffix` bytes of the base.
struct chunk {
  std::string digest;
  // Empty if the sender does not hold the requester's object; prefix and suffix are then 0.
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

// Reachability of a data centre as seen from the sender's data centre. The higher epoch wins.
struct data_centre_mark {
  std::string data_centre;
  std::uint64_t epoch = 0;
  bool reachable = true;

  bool operator==(const data_centre_mark&) const = default;
};

// A gossip datagram. The sender is identified by the source address.
struct datagram {
  // The sender's own incarnation and start nonce, from which the receiver detects a stale record.
  std::uint64_t sender_incarnation = 0;
  std::uint64_t sender_nonce = 0;
  // Configuration generation in force at the sender; 0 for none.
  std::uint64_t configuration_generation = 0;
  std::vector<member> updates;
  // At most max_scopes entries.
  std::vector<data_centre_mark> marks;
  message_body body;

  bool operator==(const datagram&) const = default;
};

// Upper bounds on the encoded size in bytes. The codec must not exceed them; a unit test checks
// this.
std::size_t encoded_bound(const member& record);
std::size_t encoded_bound(const data_centre_mark& mark);
std::size_t encoded_bound(const datagram& message);

} // namespace acaciasill::control

#endif
