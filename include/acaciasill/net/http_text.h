#ifndef ACACIASILL_NET_HTTP_TEXT_H
#define ACACIASILL_NET_HTTP_TEXT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

#include "acaciasill/wire/call.h"

// Message parsing and formatting shared by the HTTP/1.1 server and client.
namespace acaciasill::net {

// Size limits of one message.
struct message_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = std::size_t{1} << 20U;

  bool operator==(const message_limits&) const = default;
};

// The size limit that a message exceeds.
enum class message_error : std::uint8_t { none, header_too_large, body_too_large };

// A message under construction by the parser callbacks.
struct http_message {
  // Request target; empty for responses.
  std::string target;
  std::vector<wire::header_field> headers;
  std::string body;
  std::size_t header_bytes = 0;
  // Whether the last header callback delivered a value, so that the next name starts a new field.
  bool last_was_value = false;
  message_error error = message_error::none;

  bool operator==(const http_message&) const = default;
};

// Memory that a message under construction occupies, in bytes.
std::size_t memory_bytes(const http_message& message);

// Append data passed by the parser callbacks. Each returns 0, or 1 if a limit is exceeded; in that
// case it sets the error of the message.
int append_target(http_message& message, std::string_view bytes, const message_limits& limits);
int append_field_name(http_message& message, std::string_view bytes, const message_limits& limits);
int append_field_value(http_message& message, std::string_view bytes, const message_limits& limits);
int append_body(http_message& message, std::string_view bytes, const message_limits& limits);

// Whether a response may have the status: one within the range that RFC 9110 (section 15) defines,
// but not 101, since no request asks for another protocol. The parser accepts any number of up to
// three digits.
bool is_valid_status(unsigned status);

// Whether the text is a valid field name, a token of RFC 9110 (section 5.6.2). The parser also
// accepts blanks.
bool is_field_name(std::string_view text);

// Whether the text is a valid field value: without control characters other than tabs.
bool is_field_value(std::string_view text);

// Returns the value of the first field with the name, ignoring case, or nullptr.
const std::string* find_field(const std::vector<wire::header_field>& fields, std::string_view name);

// Appends "name: value" followed by CRLF.
void append_field(std::string& text, std::string_view name, std::string_view value);

} // namespace acaciasill::net

#endif
