#include "acaciasill/wire/table_answer.h"

#include <cstdint>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "acaciasill/support/json_number.h"
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

// Longest age of a copy that an answer may state.
constexpr std::int64_t max_stated_age_ms = 3600000;

// Nesting of an answer: the answer, its rows, and each row.
constexpr int max_depth = 3;

// Checks that values are not nested deeper than in an answer. The parser recurses for each level.
class depth_check final : public json::json_sax_t {
public:
  bool start_array(std::size_t /*size*/) override { return ++depth_ <= max_depth; }
  bool end_array() override {
    --depth_;
    return true;
  }
  // An answer has no objects.
  bool start_object(std::size_t /*size*/) override { return false; }
  bool end_object() override { return false; }
  bool key(string_t& /*name*/) override { return false; }
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

private:
  int depth_ = 0;
};

} // namespace

std::string encode_table_answer(const control::store_result& result) {
  json rows = json::array();
  for (const auto& row : result.rows) {
    rows.push_back(json::array({encode_bytes(row.key), encode_bytes(row.value), row.version,
                                row.removed, row.unreadable}));
  }
  std::string text;
  // Builds that know no age ignore it.
  const auto age_ms = static_cast<std::uint64_t>(support::whole_milliseconds(result.age));
  json::to_msgpack(json::array({result.era, result.version, std::move(rows), age_ms}), text);
  return text;
}

absl::StatusOr<control::store_result> decode_table_answer(std::string_view bytes) {
  depth_check check;
  if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::msgpack)) {
    return support::make_error(support::result_code::frame_corrupt,
                               "values of a table answer are malformed or nested too deep");
  }
  try {
    const auto parsed = json::from_msgpack(bytes.begin(), bytes.end());
    control::store_result result;
    result.end = control::store_end::done;
    result.era = support::read_unsigned<std::uint64_t>(parsed.at(0));
    result.version = support::read_unsigned<std::uint64_t>(parsed.at(1));
    for (const auto& row : parsed.at(2).get_ref<const json::array_t&>()) {
      result.rows.push_back({decode_bytes(row.at(0)), decode_bytes(row.at(1)),
                             support::read_unsigned<std::uint64_t>(row.at(2)),
                             row.at(3).get<bool>(), row.at(4).get<bool>()});
    }
    if (constexpr std::size_t age_index = 3; parsed.size() > age_index) {
      result.age =
          support::milliseconds(support::read_unsigned(parsed.at(age_index), max_stated_age_ms));
    }
    return result;
  } catch (const json::exception& error) {
    return support::make_error(support::result_code::frame_corrupt, error.what());
  }
}

} // namespace acaciasill::wire
