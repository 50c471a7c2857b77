#include "acaciasill/wire/datagram_codec.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <vector>

#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/datagrams_generated.h"

namespace acaciasill::wire {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::String;
using support::make_error;
using support::result_code;

// Limits for the verifier: one table for the root, one for the body, and one per record, mark and
// scope.
constexpr flatbuffers::uoffset_t max_table_depth = 4;
constexpr flatbuffers::uoffset_t max_tables = control::max_updates + 2 * control::max_scopes + 2;

// ---- Encoding ----

Offset<String> encode(FlatBufferBuilder& builder, const std::string& text) {
  return text.empty() ? Offset<String>(0) : builder.CreateString(text);
}

Offset<fb::member> encode(FlatBufferBuilder& builder, const control::member& record) {
  const auto gossip_address = encode(builder, record.gossip_address);
  const auto call_address = encode(builder, record.call_address);
  const auto name = encode(builder, record.name);
  const auto data_centre = encode(builder, record.data_centre);
  const auto service = encode(builder, record.service);
  return fb::Createmember(builder, gossip_address, call_address, name, data_centre, service,
                          record.incarnation, record.start_nonce,
                          static_cast<std::uint8_t>(record.state), record.draining, record.slots,
                          record.connections, record.age_ms);
}

Offset<fb::data_centre_mark> encode(FlatBufferBuilder& builder,
                                    const control::data_centre_mark& mark) {
  const auto data_centre = encode(builder, mark.data_centre);
  return fb::Createdata_centre_mark(builder, data_centre, mark.epoch, mark.reachable);
}

Offset<fb::scope_digest> encode(FlatBufferBuilder& builder, const control::scope_digest& scope) {
  const auto data_centre = encode(builder, scope.data_centre);
  return fb::Createscope_digest(builder, data_centre, scope.members, scope.digest);
}

template <typename Table, typename Value>
Offset<flatbuffers::Vector<Offset<Table>>> encode_list(FlatBufferBuilder& builder,
                                                       const std::vector<Value>& values) {
  if (values.empty()) {
    return 0;
  }
  std::vector<Offset<Table>> offsets;
  offsets.reserve(values.size());
  for (const auto& value : values) {
    offsets.push_back(encode(builder, value));
  }
  return builder.CreateVector(offsets);
}

// Type of an encoded body and its offset in the buffer.
struct body_offset {
  fb::datagram_body type;
  Offset<void> offset;
};

// Visitor that encodes the body of a datagram.
struct body_encoder {
  FlatBufferBuilder& builder;

  body_offset operator()(const control::gossip&) const {
    return {fb::datagram_body::gossip, fb::Creategossip(builder).Union()};
  }
  body_offset operator()(const control::probe& body) const {
    return {fb::datagram_body::probe, fb::Createprobe(builder, body.sequence).Union()};
  }
  body_offset operator()(const control::probe_ack& body) const {
    return {fb::datagram_body::probe_ack, fb::Createprobe_ack(builder, body.sequence).Union()};
  }
  body_offset operator()(const control::indirect_probe& body) const {
    const auto target = encode(builder, body.target);
    return {fb::datagram_body::indirect_probe,
            fb::Createindirect_probe(builder, body.sequence, target).Union()};
  }
  body_offset operator()(const control::sync_digest& body) const {
    const auto scopes = encode_list<fb::scope_digest>(builder, body.scopes);
    const auto data_centre = encode(builder, body.data_centre);
    return {fb::datagram_body::sync_digest,
            fb::Createsync_digest(builder, data_centre, scopes).Union()};
  }
  body_offset operator()(const control::bucket_digests& body) const {
    const auto digests = builder.CreateVector(body.digests);
    const auto data_centre = encode(builder, body.data_centre);
    return {fb::datagram_body::bucket_digests,
            fb::Createbucket_digests(builder, data_centre, digests).Union()};
  }
  body_offset operator()(const control::sync_records& body) const {
    const auto data_centre = encode(builder, body.data_centre);
    return {fb::datagram_body::sync_records,
            fb::Createsync_records(builder, data_centre, body.buckets, body.wants_reply).Union()};
  }
  body_offset operator()(const control::page_request& body) const {
    const auto after = encode(builder, body.after);
    return {fb::datagram_body::page_request, fb::Createpage_request(builder, after).Union()};
  }
  body_offset operator()(const control::page& body) const {
    const auto next = encode(builder, body.next);
    return {fb::datagram_body::page, fb::Createpage(builder, next).Union()};
  }
  body_offset operator()(const control::configuration_query&) const {
    return {fb::datagram_body::configuration_query, fb::Createconfiguration_query(builder).Union()};
  }
  body_offset operator()(const control::configuration_offer& body) const {
    const auto digest = encode(builder, body.digest);
    return {fb::datagram_body::configuration_offer,
            fb::Createconfiguration_offer(builder, body.generation, digest).Union()};
  }
  body_offset operator()(const control::chunk_request& body) const {
    const auto digest = encode(builder, body.digest);
    const auto base = encode(builder, body.base_digest);
    return {fb::datagram_body::chunk_request,
            fb::Createchunk_request(builder, digest, base, body.offset).Union()};
  }
  body_offset operator()(const control::chunk& body) const {
    const auto bytes = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(body.bytes.data()), body.bytes.size());
    const auto digest = encode(builder, body.digest);
    const auto base = encode(builder, body.base_digest);
    return {fb::datagram_body::chunk, fb::Createchunk(builder, digest, base, body.prefix,
                                                      body.suffix, body.total, body.offset, bytes)
                                          .Union()};
  }
};

// ---- Decoding ----

// Copies values out of a table and records whether any of them exceeds its limit, so that the
// decoders below need no error handling of their own.
class checked_reader {
public:
  bool is_ok() const { return is_ok_; }

  std::string text(const String* value) {
    return copy(value == nullptr ? std::string_view()
                                 : std::string_view(value->c_str(), value->size()),
                control::max_name_bytes);
  }
  std::string bytes(const flatbuffers::Vector<std::uint8_t>* value) {
    return copy(value == nullptr
                    ? std::string_view()
                    : std::string_view(reinterpret_cast<const char*>(value->data()), value->size()),
                control::max_chunk_bytes);
  }

  // Returns whether a size is within its limit, and records a violation.
  bool check_size(std::size_t size, std::size_t max) {
    is_ok_ = is_ok_ && size <= max;
    return size <= max;
  }

  // Decodes each element of a list with read; returns an empty list if it is too long.
  template <typename Value, typename Table, typename Read>
  std::vector<Value> list(const flatbuffers::Vector<Table>* values, std::size_t max, Read read) {
    std::vector<Value> result;
    if (values == nullptr || !check_size(values->size(), max)) {
      return result;
    }
    result.reserve(values->size());
    for (const auto value : *values) {
      result.push_back(read(value));
    }
    return result;
  }

private:
  std::string copy(std::string_view value, std::size_t max) {
    return check_size(value.size(), max) ? std::string(value) : std::string();
  }

  bool is_ok_ = true;
};

control::member decode_member(checked_reader& reader, const fb::member& table) {
  control::member record;
  record.gossip_address = reader.text(table.gossip_address());
  record.call_address = reader.text(table.call_address());
  record.name = reader.text(table.name());
  record.data_centre = reader.text(table.data_centre());
  record.service = reader.text(table.service());
  record.incarnation = table.incarnation();
  record.start_nonce = table.start_nonce();
  record.state = static_cast<control::member_state>(table.state());
  record.draining = table.draining();
  record.slots = table.slots();
  record.connections = table.connections();
  record.age_ms = table.age_ms();
  return record;
}

control::sync_digest decode_sync_digest(checked_reader& reader, const fb::sync_digest& table) {
  const auto read = [&reader](const fb::scope_digest* scope) {
    return control::scope_digest{reader.text(scope->data_centre()), scope->members(),
                                 scope->digest()};
  };
  return {reader.text(table.data_centre()),
          reader.list<control::scope_digest>(table.scopes(), control::max_scopes, read)};
}

// The verifier does not check the alignment of a vector's elements, so they are copied as bytes.
control::bucket_digests decode_bucket_digests(checked_reader& reader,
                                              const fb::bucket_digests& table) {
  control::bucket_digests body{reader.text(table.data_centre()), {}};
  const auto* digests = table.digests();
  if (digests == nullptr || !reader.check_size(digests->size(), control::max_buckets)) {
    return body;
  }
  body.digests.resize(digests->size());
  for (std::size_t index = 0; index < body.digests.size(); ++index) {
    std::uint64_t number = 0;
    std::memcpy(&number, digests->Data() + index * sizeof(number), sizeof(number));
    body.digests[index] = flatbuffers::EndianScalar(number);
  }
  return body;
}

control::chunk decode_chunk(checked_reader& reader, const fb::chunk& table) {
  control::chunk body;
  body.digest = reader.text(table.digest());
  body.base_digest = reader.text(table.base_digest());
  body.prefix = table.prefix();
  body.suffix = table.suffix();
  body.total = table.total();
  body.offset = table.offset();
  body.bytes = reader.bytes(table.bytes());
  return body;
}

// Decodes the body; the verifier has checked that a known type has its table.
control::message_body decode_body(checked_reader& reader, const fb::datagram& root) {
  using type = fb::datagram_body;
  switch (root.body_type()) {
  case type::probe:
    return control::probe{root.body_as_probe()->sequence()};
  case type::probe_ack:
    return control::probe_ack{root.body_as_probe_ack()->sequence()};
  case type::indirect_probe: {
    const auto& table = *root.body_as_indirect_probe();
    return control::indirect_probe{table.sequence(), reader.text(table.target())};
  }
  case type::sync_digest:
    return decode_sync_digest(reader, *root.body_as_sync_digest());
  case type::bucket_digests:
    return decode_bucket_digests(reader, *root.body_as_bucket_digests());
  case type::sync_records: {
    const auto& table = *root.body_as_sync_records();
    return control::sync_records{reader.text(table.data_centre()), table.buckets(),
                                 table.wants_reply()};
  }
  case type::page_request:
    return control::page_request{reader.text(root.body_as_page_request()->after())};
  case type::page:
    return control::page{reader.text(root.body_as_page()->next())};
  case type::configuration_query:
    return control::configuration_query{};
  case type::configuration_offer: {
    const auto& table = *root.body_as_configuration_offer();
    return control::configuration_offer{table.generation(), reader.text(table.digest())};
  }
  case type::chunk_request: {
    const auto& table = *root.body_as_chunk_request();
    return control::chunk_request{reader.text(table.digest()), reader.text(table.base_digest()),
                                  table.offset()};
  }
  case type::chunk:
    return decode_chunk(reader, *root.body_as_chunk());
  default:
    return control::gossip{};
  }
}

bool is_known_type(fb::datagram_body type) {
  return type >= fb::datagram_body::gossip && type <= fb::datagram_body::MAX;
}

bool has_known_state(const control::member& record) {
  return record.state <= control::member_state::left;
}

absl::StatusOr<control::datagram> decode_aligned(const std::uint8_t* bytes, std::size_t size) {
  flatbuffers::Verifier verifier(bytes, size, max_table_depth, max_tables);
  if (!fb::VerifydatagramBuffer(verifier)) {
    return make_error(result_code::frame_corrupt);
  }
  const auto* root = fb::Getdatagram(bytes);
  if (root->body() == nullptr || !is_known_type(root->body_type())) {
    return make_error(result_code::frame_corrupt, "unknown datagram type");
  }
  checked_reader reader;
  control::datagram message;
  message.sender_incarnation = root->sender_incarnation();
  message.sender_nonce = root->sender_nonce();
  message.configuration_generation = root->configuration_generation();
  const auto read_member = [&reader](const fb::member* table) {
    return decode_member(reader, *table);
  };
  message.updates =
      reader.list<control::member>(root->updates(), control::max_updates, read_member);
  const auto read_mark = [&reader](const fb::data_centre_mark* table) {
    return control::data_centre_mark{reader.text(table->data_centre()), table->epoch(),
                                     table->reachable()};
  };
  message.marks =
      reader.list<control::data_centre_mark>(root->marks(), control::max_scopes, read_mark);
  message.body = decode_body(reader, *root);
  if (!reader.is_ok()) {
    return make_error(result_code::frame_too_large, "datagram field exceeds its size limit");
  }
  if (!std::all_of(message.updates.begin(), message.updates.end(), has_known_state)) {
    return make_error(result_code::frame_corrupt, "unknown member state");
  }
  return message;
}

} // namespace

std::string encode_datagram(const control::datagram& message) {
  FlatBufferBuilder builder(control::max_datagram_bytes);
  const auto updates = encode_list<fb::member>(builder, message.updates);
  const auto marks = encode_list<fb::data_centre_mark>(builder, message.marks);
  const auto [type, body] = std::visit(body_encoder{builder}, message.body);
  builder.Finish(fb::Createdatagram(builder, message.sender_incarnation, message.sender_nonce,
                                    message.configuration_generation, updates, marks, type, body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

absl::StatusOr<control::datagram> decode_datagram(std::string_view bytes) {
  if (bytes.size() > control::max_datagram_bytes) {
    return make_error(result_code::frame_too_large);
  }
  // Datagrams are small, so they are always copied to an aligned buffer.
  alignas(std::uint64_t) std::uint8_t copy[control::max_datagram_bytes];
  std::memcpy(copy, bytes.data(), bytes.size());
  return decode_aligned(copy, bytes.size());
}

} // namespace acaciasill::wire
