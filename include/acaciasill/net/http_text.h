#ifndef ACACIASILL_NET_HTTP_TEXT_H
#define ACACIASILL_NET_HTTP_TEXT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

#include "acaciasill/wire/call.h"

// What the HTTP/1.1 server and client share: a message read by the parser, and messages as text.
namespace acaciasill::net {

// Bounds of one message; the body's bound is the caller's.
struct message_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{1} << 20U;

  bool operator==(const message_limits&) const = default;
};

// Which bound a message broke.
enum class message_fault : std::uint8_t { none, header_too_large, body_too_large };

// One message while the parser fills it.
struct http_message {
  // The request target; empty for responses.
  std::string target;
  std::vector<wire::header_field> headers;
  std::string body;
  std::size_t header_bytes = 0;
  bool last_was_value = false;
  message_fault fault = message_fault::none;

  bool operator==(const http_message&) const = default;
};

// Take the parser's callbacks in; each returns 0, or 1 where a bound is broken, which is noted in
// the message.
int take_target(http_message& message, std::string_view bytes, const message_limits& limits);
int take_field_name(http_message& message, std::string_view bytes, const message_limits& limits);
int take_field_value(http_message& message, std::string_view bytes, const message_limits& limits);
int take_body(http_message& message, std::string_view bytes, const message_limits& limits);

// The value of the first field of this name, compared without case; nullptr where there is none.
const std::string* find_field(const std::vector<wire::header_field>& fields, std::string_view name);

// Appends "name: value" and the line's end.
void append_field(std::string& text, std::string_view name, std::string_view value);

} // namespace acaciasill::net

#endif
