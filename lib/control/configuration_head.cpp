#include "acaciasill/control/configuration_head.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "acaciasill/support/result_code.h"

namespace acaciasill::control {
namespace {

constexpr std::size_t digest_characters = 64;

absl::Status corrupt_head(std::string_view detail) {
  return support::make_error(support::result_code::platform_corrupt, detail);
}

// Reads a string member; returns false if it is missing or has another type.
bool read_text(const nlohmann::json& object, const char* key, std::string& text) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) {
    return false;
  }
  text = found->get<std::string>();
  return true;
}

} // namespace

bool is_digest(std::string_view text) {
  const auto is_hexadecimal = [](char letter) {
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
  };
  return text.size() == digest_characters && std::all_of(text.begin(), text.end(), is_hexadecimal);
}

std::string encode_configuration_head(const configuration_head& head) {
  const nlohmann::json object = {{"generation", head.generation},
                                 {"digest", head.digest},
                                 {"publication_token", head.publication_token},
                                 {"source_revision", head.source_revision},
                                 {"previous_digest", head.previous_digest}};
  return object.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<configuration_head> decode_configuration_head(std::string_view text) {
  if (text.size() > max_configuration_head_bytes) {
    return corrupt_head("the configuration head is too large");
  }
  const auto object = nlohmann::json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return corrupt_head("the configuration head is not a JSON object");
  }
  configuration_head head;
  const auto generation = object.find("generation");
  if (generation == object.end() || !generation->is_number_unsigned()) {
    return corrupt_head("the configuration head has no valid generation number");
  }
  head.generation = generation->get<std::uint64_t>();
  if (!read_text(object, "digest", head.digest) ||
      !read_text(object, "publication_token", head.publication_token) ||
      !read_text(object, "source_revision", head.source_revision) ||
      !read_text(object, "previous_digest", head.previous_digest)) {
    return corrupt_head("the configuration head lacks a string member");
  }
  if (head.generation == 0 || !is_digest(head.digest)) {
    return corrupt_head("the configuration head has generation 0 or an invalid digest");
  }
  if (!head.previous_digest.empty() && !is_digest(head.previous_digest)) {
    return corrupt_head("the configuration head has an invalid previous digest");
  }
  return head;
}

} // namespace acaciasill::control
