#include "acaciasill/net/http_text.h"

#include <algorithm>

#include "absl/strings/ascii.h"

#include "acaciasill/net/call_headers.h"

namespace acaciasill::net {
namespace {

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned status_switching_protocols = 101;

// Characters of a token besides letters and digits.
constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";

bool is_token_character(char character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
         token_symbols.find(character) != std::string_view::npos;
}

bool add_header_bytes(http_message& message, std::size_t bytes, const message_limits& limits) {
  message.header_bytes += bytes;
  if (message.header_bytes > limits.max_header_bytes) {
    message.error = message_error::header_too_large;
    return false;
  }
  return true;
}

} // namespace

std::size_t memory_bytes(const http_message& message) {
  return message.header_bytes + message.headers.capacity() * sizeof(wire::header_field) +
         message.body.capacity();
}

int append_target(http_message& message, std::string_view bytes, const message_limits& limits) {
  if (!add_header_bytes(message, bytes.size(), limits)) {
    return 1;
  }
  message.target.append(bytes);
  return 0;
}

int append_field_name(http_message& message, std::string_view bytes, const message_limits& limits) {
  if (!add_header_bytes(message, bytes.size(), limits)) {
    return 1;
  }
  if (message.headers.empty() || message.last_was_value) {
    message.headers.emplace_back();
  }
  message.last_was_value = false;
  message.headers.back().name.append(bytes);
  return 0;
}

int append_field_value(http_message& message, std::string_view bytes,
                       const message_limits& limits) {
  if (!add_header_bytes(message, bytes.size(), limits)) {
    return 1;
  }
  message.last_was_value = true;
  message.headers.back().value.append(bytes);
  return 0;
}

int append_body(http_message& message, std::string_view bytes, const message_limits& limits) {
  if (message.body.size() + bytes.size() > limits.max_body_bytes) {
    message.error = message_error::body_too_large;
    return 1;
  }
  message.body.append(bytes);
  return 0;
}

bool is_valid_status(unsigned status) {
  return status >= min_status && status <= max_status && status != status_switching_protocols;
}

bool is_field_name(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_field_value(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return character != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(character));
  });
}

const std::string* find_field(const std::vector<wire::header_field>& fields,
                              std::string_view name) {
  const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto& field) {
    return same_field_name(field.name, name);
  });
  return found == fields.end() ? nullptr : &found->value;
}

void append_field(std::string& text, std::string_view name, std::string_view value) {
  text.append(name);
  text.append(": ");
  text.append(value);
  text.append("\r\n");
}

} // namespace acaciasill::net
