#include "acaciasill/control/messages.h"

namespace acaciasill::control {
namespace {

// FlatBuffers overhead in bytes of a table, a string and a vector, including alignment.
constexpr std::size_t table_overhead = 12;
constexpr std::size_t string_overhead = 12;
constexpr std::size_t vector_overhead = 8;
// Bytes of the fixed fields of a record and of a datagram; the latter include the shared vtables.
constexpr std::size_t member_fields = 72;
constexpr std::size_t datagram_fields = 160;

std::size_t text_bound(const std::string& text) {
  return text.size() + string_overhead;
}

// Size bounds of message bodies, with one overload for each body of variable size.
struct body_bound {
  template <typename fixed_body>
  std::size_t operator()(const fixed_body&) const {
    return table_overhead + 16;
  }
  std::size_t operator()(const indirect_probe& body) const {
    return table_overhead + 16 + text_bound(body.target);
  }
  std::size_t operator()(const sync_digest& body) const {
    std::size_t size = table_overhead + vector_overhead + text_bound(body.data_centre);
    for (const auto& scope : body.scopes) {
      size += table_overhead + 24 + text_bound(scope.data_centre);
    }
    return size;
  }
  std::size_t operator()(const bucket_digests& body) const {
    return table_overhead + vector_overhead + text_bound(body.data_centre) +
           body.digests.size() * sizeof(std::uint64_t);
  }
  std::size_t operator()(const sync_records& body) const {
    return table_overhead + 16 + text_bound(body.data_centre);
  }
  std::size_t operator()(const page_request& body) const {
    return table_overhead + text_bound(body.after);
  }
  std::size_t operator()(const page& body) const { return table_overhead + text_bound(body.next); }
  std::size_t operator()(const configuration_offer& body) const {
    return table_overhead + 16 + text_bound(body.digest);
  }
  std::size_t operator()(const chunk_request& body) const {
    return table_overhead + 16 + text_bound(body.digest) + text_bound(body.base_digest);
  }
  std::size_t operator()(const chunk& body) const {
    return table_overhead + 32 + text_bound(body.digest) + text_bound(body.base_digest) +
           text_bound(body.bytes);
  }
};

} // namespace

std::size_t encoded_bound(const member& record) {
  return table_overhead + member_fields + text_bound(record.gossip_address) +
         text_bound(record.call_address) + text_bound(record.name) +
         text_bound(record.data_centre) + text_bound(record.service);
}

std::size_t encoded_bound(const data_centre_mark& mark) {
  return table_overhead + 24 + text_bound(mark.data_centre);
}

std::size_t encoded_bound(const datagram& message) {
  std::size_t size = datagram_fields + std::visit(body_bound{}, message.body);
  for (const auto& record : message.updates) {
    size += encoded_bound(record);
  }
  for (const auto& mark : message.marks) {
    size += encoded_bound(mark);
  }
  return size;
}

} // namespace acaciasill::control
