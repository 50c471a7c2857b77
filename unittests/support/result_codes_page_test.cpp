#include "acaciasill/support/result_code.h"

#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace acaciasill::support;

namespace {

// Returns the rows of the page's table without the header.
std::vector<std::string> page_rows() {
  std::ifstream page(std::string(ACS_SOURCE_DIR) + "/docs/RESULT-CODES.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| ACS-")) {
      rows.push_back(line);
    }
  }
  return rows;
}

} // namespace

TEST_CASE("docs/RESULT-CODES.md matches the table of result codes") {
  std::vector<std::string> expected;
  for (const auto& row : all_result_codes()) {
    expected.push_back("| " + format_code(row.code) + " | " + std::string(row.name) + " | " +
                       std::to_string(row.http_status) + " | " + std::string(row.text) + " |");
  }
  CHECK(page_rows() == expected);
}
