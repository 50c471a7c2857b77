#include "acaciasill/support/result_code.h"

#include <set>

#include <catch2/catch.hpp>

using namespace acaciasill::support;

TEST_CASE("result codes have unique numbers in ascending order") {
  int previous = -1;
  for (const auto& row : all_result_codes()) {
    CHECK(static_cast<int>(row.code) > previous);
    previous = static_cast<int>(row.code);
  }
}

TEST_CASE("an error status carries its code and detail") {
  const auto status = make_error(result_code::no_route, "path /x");
  CHECK(code_of(status) == result_code::no_route);
  CHECK(std::string(status.message()) == "ACS-2001 the path names no service: path /x");
}

TEST_CASE("code_from_number returns no code for a number outside the table") {
  CHECK_FALSE(code_from_number(9999).has_value());
  CHECK(code_from_number(2011) == result_code::shed_at_upstream);
}
