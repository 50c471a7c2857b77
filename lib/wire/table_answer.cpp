#include "acaciasill/wire/table_answer.h"

#include <cstdint>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "acaciasill/support/result_code.h"

namespace acaciasill::wire {
namespace {

using json = nlohmann::json;
using bytes_t = std::vector<std::uint8_t>;

// Row values may hold any bytes, so they are not encoded as text.
json encode_bytes(const std::string& text) {
  return json::binary(bytes_t(text.begin(), text.end()));
}

std::string decode_bytes(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode_table_answer(const control::store_result& result) {
  json rows = json::array();
  for (const auto& row : result.rows) {
    rows.push_back(json::array({encode_bytes(row.key), encode_bytes(row.value), row.version,
                                row.removed, row.unreadable}));
  }
  std::string text;
  json::to_msgpack(json::array({result.era, result.version, std::move(rows)}), text);
  return text;
}

absl::StatusOr<control::store_result> decode_table_answer(std::string_view bytes) {
  try {
    const auto parsed = json::from_msgpack(bytes.begin(), bytes.end());
    control::store_result result;
    result.end = control::store_end::done;
    result.era = parsed.at(0).get<std::uint64_t>();
    result.version = parsed.at(1).get<std::uint64_t>();
    for (const auto& row : parsed.at(2)) {
      result.rows.push_back({decode_bytes(row.at(0)), decode_bytes(row.at(1)),
                             row.at(2).get<std::uint64_t>(), row.at(3).get<bool>(),
                             row.at(4).get<bool>()});
    }
    return result;
  } catch (const json::exception& error) {
    return support::make_error(support::result_code::frame_corrupt, error.what());
  }
}

} // namespace acaciasill::wire
