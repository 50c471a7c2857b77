#include "acaciasill/wire/table_answer.h"

#include <string>

#include <catch2/catch.hpp>

#include "acaciasill/support/result_code.h"

using namespace acaciasill;

namespace {

// MessagePack: an array of one element, a map of one element, an array of three elements.
constexpr char array_of_one = '\x91';
constexpr char map_of_one = '\x81';
constexpr char array_of_three = '\x93';

} // namespace

// Guards against an answer that ends the process by the depth of its values.
TEST_CASE("an answer with deeply nested values is corrupt", "[wire]") {
  constexpr std::size_t levels = std::size_t{8} << 20U;
  const char byte = GENERATE(array_of_one, map_of_one);
  std::string nested(levels, byte);
  if (byte == map_of_one) {
    // The key of each map: an empty text.
    for (std::size_t position = 1; position < nested.size(); position += 2) {
      nested[position] = '\xa0';
    }
  }
  CHECK(support::code_of(wire::decode_table_answer(nested).status()) ==
        support::result_code::frame_corrupt);
  const std::string in_rows = std::string(1, array_of_three) + "\x01\x02" + nested;
  CHECK(support::code_of(wire::decode_table_answer(in_rows).status()) ==
        support::result_code::frame_corrupt);
}

TEST_CASE("an answer without rows is not an empty table", "[wire]") {
  // Nil, a map, a number, an empty text in place of the rows.
  const char rows = GENERATE('\xc0', '\x80', '\x00', '\xa0');
  CHECK_FALSE(wire::decode_table_answer(std::string(1, array_of_three) + "\x01\x02" + rows).ok());
}

TEST_CASE("an answer with an era or a version out of range is corrupt", "[wire]") {
  constexpr char no_rows = '\x90';
  // -1, -128, true, 1.0.
  const auto number = GENERATE(
      values<std::string>({"\xff", "\xd0\x80", "\xc3", std::string("\xca\x3f\x80\x00\x00", 5)}));
  const std::string begin(1, array_of_three);
  CHECK_FALSE(wire::decode_table_answer(begin + number + "\x02" + no_rows).ok());
  CHECK_FALSE(wire::decode_table_answer(begin + "\x01" + number + no_rows).ok());
  // The version of a row.
  const std::string row = std::string("\x95\xc4\x01k\xc4\x01v", 7) + number + "\xc2\xc2";
  CHECK_FALSE(wire::decode_table_answer(begin + "\x01\x02\x91" + row).ok());
  const std::string valid_row = std::string("\x95\xc4\x01k\xc4\x01v", 7) + "\x03\xc2\xc2";
  CHECK(wire::decode_table_answer(begin + "\x01\x02\x91" + valid_row).ok());
}

TEST_CASE("the rows of a table survive an encoding round trip", "[wire]") {
  control::store_result result;
  result.end = control::store_end::done;
  result.era = 1;
  result.version = 2;
  result.rows = {{"key", std::string("\0\xff", 2), 3, false, false}, {"", "", 4, true, true}};
  const auto decoded = wire::decode_table_answer(wire::encode_table_answer(result));
  REQUIRE(decoded.ok());
  CHECK(*decoded == result);
}

TEST_CASE("an answer states the age of the copy, and need not", "[wire]") {
  control::store_result result;
  result.end = control::store_end::done;
  result.version = 2;
  result.age = support::milliseconds(1234);
  CHECK(wire::decode_table_answer(wire::encode_table_answer(result))->age == result.age);
  // As builds without an age encode it.
  const auto without_age =
      wire::decode_table_answer(std::string(1, array_of_three) + "\x01\x02\x90");
  REQUIRE(without_age.ok());
  CHECK(without_age->age == support::duration(0));
}
