#include "acaciasill/wire/codec.h"

#include <cstdint>
#include <cstring>
#include <vector>

#include "acaciasill/support/result_code.h"
#include "acaciasill/wire/frames_generated.h"

namespace acaciasill::wire {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using support::make_error;
using support::result_code;

// Initial capacity of an encoder and the size above which its memory is released, in bytes.
constexpr std::size_t initial_builder_bytes = 4096;
constexpr std::size_t max_retained_builder_bytes = std::size_t{256} * 1024;

// Alignment of the largest FlatBuffers scalar, in bytes.
constexpr std::size_t frame_alignment = sizeof(std::uint64_t);

// Limits for the verifier: one table for the root, one for the message, and one per header field.
constexpr flatbuffers::uoffset_t max_table_depth = 4;
constexpr flatbuffers::uoffset_t max_tables = max_headers + 2;

using header_offsets = Offset<flatbuffers::Vector<Offset<fb::header_field>>>;

// Returns the cleared encoder of the current thread, so that its memory is reused.
FlatBufferBuilder& cleared_builder() {
  thread_local FlatBufferBuilder builder(initial_builder_bytes);
  if (builder.GetSize() > max_retained_builder_bytes) {
    builder.Reset();
  }
  builder.Clear();
  return builder;
}

Offset<flatbuffers::Vector<std::uint8_t>> encode_bytes(FlatBufferBuilder& builder,
                                                       std::string_view bytes) {
  if (bytes.empty()) {
    return 0;
  }
  return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

Offset<flatbuffers::String> encode_text(FlatBufferBuilder& builder, std::string_view text) {
  if (text.empty()) {
    return 0;
  }
  return builder.CreateString(text.data(), text.size());
}

header_offsets encode_headers(FlatBufferBuilder& builder,
                              const std::vector<header_field>& headers) {
  if (headers.empty()) {
    return 0;
  }
  std::vector<Offset<fb::header_field>> offsets;
  offsets.reserve(headers.size());
  for (const auto& [name, value] : headers) {
    const auto name_offset = encode_text(builder, name);
    const auto value_offset = encode_text(builder, value);
    offsets.push_back(fb::Createheader_field(builder, name_offset, value_offset));
  }
  return builder.CreateVector(offsets);
}

template <typename Table>
void append_finished_frame(FlatBufferBuilder& builder, std::string& buffer, fb::message type,
                           Offset<Table> message) {
  const auto root = fb::Createframe(builder, type, message.Union());
  fb::FinishSizePrefixedframeBuffer(builder, root);
  buffer.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

std::string_view text_view(const flatbuffers::String* text) {
  return text == nullptr ? std::string_view() : std::string_view(text->c_str(), text->size());
}

std::string_view bytes_view(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

flatbuffers::Optional<double> to_flatbuffers(std::optional<double> value) {
  return value ? flatbuffers::Optional<double>(*value) : flatbuffers::nullopt;
}

std::optional<double> from_flatbuffers(flatbuffers::Optional<double> value) {
  return value ? std::optional(*value) : std::nullopt;
}

request_id decode_id(const fb::request_id& id) {
  return {.high = id.high(), .low = id.low()};
}

using header_table = flatbuffers::Vector<Offset<fb::header_field>>;

absl::Status check_header_limits(std::size_t count, std::size_t bytes) {
  if (count > max_headers || bytes > max_header_bytes) {
    return make_error(result_code::frame_too_large,
                      "header fields exceed their count or size limit");
  }
  return absl::OkStatus();
}

// Decodes header fields; checks their number and size before any of them is copied.
absl::StatusOr<std::vector<header_field>> decode_headers(const header_table* table) {
  std::vector<header_field> headers;
  if (table == nullptr) {
    return headers;
  }
  std::size_t bytes = 0;
  for (const auto* field : *table) {
    bytes += text_view(field->name()).size() + text_view(field->value()).size();
  }
  if (auto status = check_header_limits(table->size(), bytes); !status.ok()) {
    return status;
  }
  headers.reserve(table->size());
  for (const auto* field : *table) {
    headers.push_back(
        {std::string(text_view(field->name())), std::string(text_view(field->value()))});
  }
  return headers;
}

// Sizes of a request's fields, in bytes. Sender and receiver check them against the same limits.
struct request_sizes {
  std::size_t service;
  std::size_t organisation;
  std::size_t method;
  std::size_t target;
  std::size_t body;
  std::size_t idempotency_key;
};

absl::Status check_sizes(const request_sizes& sizes) {
  if (sizes.body > max_body_bytes) {
    return make_error(result_code::body_too_large);
  }
  if (sizes.service > max_name_bytes || sizes.organisation > max_organisation_bytes ||
      sizes.method > max_name_bytes || sizes.target > max_target_bytes ||
      sizes.idempotency_key > max_idempotency_key_bytes) {
    return make_error(
        result_code::frame_too_large,
        "service, organisation, method, target or idempotency key exceeds its size limit");
  }
  return absl::OkStatus();
}

absl::StatusOr<frame> decode(const fb::call_request& table) {
  const request_sizes sizes{
      text_view(table.service()).size(), text_view(table.organisation()).size(),
      text_view(table.method()).size(),  text_view(table.target()).size(),
      bytes_view(table.body()).size(),   text_view(table.idempotency_key()).size()};
  if (auto status = check_sizes(sizes); !status.ok()) {
    return status;
  }
  if (table.id() == nullptr) {
    return make_error(result_code::frame_corrupt, "call without a request id");
  }
  auto headers = decode_headers(table.headers());
  if (!headers.ok()) {
    return headers.status();
  }
  call_request request;
  request.correlation = table.correlation();
  request.id = decode_id(*table.id());
  request.service = text_view(table.service());
  request.organisation = text_view(table.organisation());
  request.method = text_view(table.method());
  request.target = text_view(table.target());
  request.headers = *std::move(headers);
  request.body = bytes_view(table.body());
  request.idempotency_key = text_view(table.idempotency_key());
  request.rank = table.rank();
  request.holds_finished_work = table.holds_finished_work();
  request.idempotent = table.idempotent();
  request.lent_attempts = table.lent_attempts();
  request.depth = table.depth();
  request.time_left_us = table.time_left_us();
  request.probe = table.probe();
  request.generation = table.generation();
  request.kind = table.kind();
  request.stated_rate = from_flatbuffers(table.stated_rate());
  return request;
}

absl::StatusOr<frame> decode(const fb::call_reply& table) {
  if (bytes_view(table.body()).size() > max_body_bytes) {
    return make_error(result_code::body_too_large);
  }
  if (table.id() == nullptr || table.outcome() > static_cast<std::uint8_t>(outcome::unknown)) {
    return make_error(result_code::frame_corrupt,
                      "reply without a request id or with an unknown outcome");
  }
  auto headers = decode_headers(table.headers());
  if (!headers.ok()) {
    return headers.status();
  }
  call_reply reply;
  reply.correlation = table.correlation();
  reply.id = decode_id(*table.id());
  reply.outcome = static_cast<outcome>(table.outcome());
  // A newer peer may send codes that are unknown here; the caller acts on the outcome alone.
  reply.code = support::code_from_number(table.code()).value_or(result_code::internal_error);
  reply.http_status = table.http_status();
  reply.headers = *std::move(headers);
  reply.body = bytes_view(table.body());
  reply.unused_attempts = table.unused_attempts();
  reply.spent_attempts = table.spent_attempts();
  reply.threshold = table.threshold();
  reply.overloaded_below = table.overloaded_below();
  reply.retry_after_ms = table.retry_after_ms();
  reply.in_flight = table.in_flight();
  reply.queued = table.queued();
  reply.limit = table.limit();
  reply.service_time_us = table.service_time_us();
  reply.generation = table.generation();
  reply.stated_rate = from_flatbuffers(table.stated_rate());
  reply.backend_leaving = table.backend_leaving();
  return reply;
}

absl::StatusOr<frame> decode(const fb::call_cancel& table) {
  if (table.id() == nullptr) {
    return make_error(result_code::frame_corrupt, "cancellation without a request id");
  }
  return call_cancel{.correlation = table.correlation(), .id = decode_id(*table.id())};
}

// Checks the fixed size of a nonce or tag; a tag is empty if no key is set.
bool has_size(std::string_view bytes, std::size_t size, bool may_be_empty) {
  return bytes.size() == size || (may_be_empty && bytes.empty());
}

absl::StatusOr<frame> decode(const fb::hello& table) {
  if (!has_size(bytes_view(table.nonce()), nonce_bytes, false)) {
    return make_error(result_code::frame_corrupt, "nonce has the wrong size");
  }
  return hello{.version = table.version(), .nonce = std::string(bytes_view(table.nonce()))};
}

absl::StatusOr<frame> decode(const fb::challenge& table) {
  if (!has_size(bytes_view(table.nonce()), nonce_bytes, false) ||
      !has_size(bytes_view(table.tag()), tag_bytes, true)) {
    return make_error(result_code::frame_corrupt, "nonce or tag has the wrong size");
  }
  return challenge{.version = table.version(),
                   .nonce = std::string(bytes_view(table.nonce())),
                   .tag = std::string(bytes_view(table.tag()))};
}

absl::StatusOr<frame> decode(const fb::proof& table) {
  if (!has_size(bytes_view(table.tag()), tag_bytes, true)) {
    return make_error(result_code::frame_corrupt, "tag has the wrong size");
  }
  return proof{.tag = std::string(bytes_view(table.tag()))};
}

absl::StatusOr<frame> decode_message(const fb::frame& root) {
  switch (root.message_type()) {
  case fb::message::call_request:
    return decode(*root.message_as_call_request());
  case fb::message::call_reply:
    return decode(*root.message_as_call_reply());
  case fb::message::call_cancel:
    return decode(*root.message_as_call_cancel());
  case fb::message::hello:
    return decode(*root.message_as_hello());
  case fb::message::challenge:
    return decode(*root.message_as_challenge());
  case fb::message::proof:
    return decode(*root.message_as_proof());
  default:
    return make_error(result_code::frame_corrupt, "unknown message type");
  }
}

absl::StatusOr<frame> decode_aligned(const std::uint8_t* bytes, std::size_t size) {
  flatbuffers::Verifier verifier(bytes, size, max_table_depth, max_tables);
  if (!fb::VerifySizePrefixedframeBuffer(verifier)) {
    return make_error(result_code::frame_corrupt);
  }
  const auto* root = fb::GetSizePrefixedframe(bytes);
  if (root->message() == nullptr) {
    return make_error(result_code::frame_corrupt, "frame without a message");
  }
  return decode_message(*root);
}

std::size_t header_bytes(const std::vector<header_field>& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

} // namespace

absl::Status check_limits(const call_request& request) {
  const request_sizes sizes{request.service.size(), request.organisation.size(),
                            request.method.size(),  request.target.size(),
                            request.body.size(),    request.idempotency_key.size()};
  if (auto status = check_sizes(sizes); !status.ok()) {
    return status;
  }
  return check_header_limits(request.headers.size(), header_bytes(request.headers));
}

absl::Status check_limits(const call_reply& reply) {
  if (reply.body.size() > max_body_bytes) {
    return make_error(result_code::body_too_large);
  }
  return check_header_limits(reply.headers.size(), header_bytes(reply.headers));
}

void append_frame(std::string& buffer, const call_request& request) {
  auto& builder = cleared_builder();
  const auto body = encode_bytes(builder, request.body);
  const auto headers = encode_headers(builder, request.headers);
  const auto service = encode_text(builder, request.service);
  const auto organisation = encode_text(builder, request.organisation);
  const auto method = encode_text(builder, request.method);
  const auto target = encode_text(builder, request.target);
  const auto key = encode_text(builder, request.idempotency_key);
  const fb::request_id id(request.id.high, request.id.low);
  const auto message = fb::Createcall_request(
      builder, request.correlation, &id, service, organisation, method, target, headers, body, key,
      request.rank, request.holds_finished_work, request.idempotent, request.lent_attempts,
      request.depth, request.time_left_us, request.probe, request.generation, request.kind,
      to_flatbuffers(request.stated_rate));
  append_finished_frame(builder, buffer, fb::message::call_request, message);
}

void append_frame(std::string& buffer, const call_reply& reply) {
  auto& builder = cleared_builder();
  const auto body = encode_bytes(builder, reply.body);
  const auto headers = encode_headers(builder, reply.headers);
  const fb::request_id id(reply.id.high, reply.id.low);
  const auto message = fb::Createcall_reply(
      builder, reply.correlation, &id, static_cast<std::uint8_t>(reply.outcome),
      static_cast<std::uint16_t>(reply.code), reply.http_status, headers, body,
      reply.unused_attempts, reply.spent_attempts, reply.threshold, reply.overloaded_below,
      reply.retry_after_ms, reply.in_flight, reply.queued, reply.limit, reply.service_time_us,
      reply.generation, to_flatbuffers(reply.stated_rate), reply.backend_leaving);
  append_finished_frame(builder, buffer, fb::message::call_reply, message);
}

void append_frame(std::string& buffer, const call_cancel& cancel) {
  auto& builder = cleared_builder();
  const fb::request_id id(cancel.id.high, cancel.id.low);
  const auto message = fb::Createcall_cancel(builder, cancel.correlation, &id);
  append_finished_frame(builder, buffer, fb::message::call_cancel, message);
}

void append_frame(std::string& buffer, const hello& message) {
  auto& builder = cleared_builder();
  const auto nonce = encode_bytes(builder, message.nonce);
  append_finished_frame(builder, buffer, fb::message::hello,
                        fb::Createhello(builder, message.version, nonce));
}

void append_frame(std::string& buffer, const challenge& message) {
  auto& builder = cleared_builder();
  const auto nonce = encode_bytes(builder, message.nonce);
  const auto tag = encode_bytes(builder, message.tag);
  append_finished_frame(builder, buffer, fb::message::challenge,
                        fb::Createchallenge(builder, message.version, nonce, tag));
}

void append_frame(std::string& buffer, const proof& message) {
  auto& builder = cleared_builder();
  const auto tag = encode_bytes(builder, message.tag);
  append_finished_frame(builder, buffer, fb::message::proof, fb::Createproof(builder, tag));
}

absl::StatusOr<frame> decode_frame(std::string_view bytes) {
  if (bytes.size() > max_frame_bytes + length_prefix_bytes) {
    return make_error(result_code::frame_too_large);
  }
  if (bytes.size() < length_prefix_bytes) {
    return make_error(result_code::frame_corrupt, "frame shorter than its length prefix");
  }
  if (reinterpret_cast<std::uintptr_t>(bytes.data()) % frame_alignment == 0) {
    return decode_aligned(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
  std::vector<std::uint64_t> copy((bytes.size() + frame_alignment - 1) / frame_alignment);
  std::memcpy(copy.data(), bytes.data(), bytes.size());
  return decode_aligned(reinterpret_cast<const std::uint8_t*>(copy.data()), bytes.size());
}

} // namespace acaciasill::wire
