#ifndef ACACIASILL_TOOLS_STANDIN_PLATFORM_STORE_H
#define ACACIASILL_TOOLS_STANDIN_PLATFORM_STORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciasill/control/platform.h"

namespace acaciasill::standin {

// The rows and objects of the stand-in, in memory.
class platform_store {
public:
  // The row, or nothing.
  std::optional<control::table_row> read(const std::string& key) const;

  // The first rows whose keys start with the prefix, in the order of keys.
  std::vector<control::table_row> list(std::string_view prefix, std::size_t limit) const;

  // Writes all rows where each still has the version that it names; returns the rows with their new
  // versions, or nothing where one has another version.
  std::optional<std::vector<control::table_row>> write(const std::vector<control::table_row>& rows);

  std::optional<std::string> read_object(const std::string& digest) const;

  // False where the bytes do not match the digest.
  bool write_object(const std::string& digest, const std::string& bytes);

private:
  std::uint64_t version_of(const std::string& key) const;

  std::map<std::string, control::table_row, std::less<>> rows_;
  std::map<std::string, std::string> objects_;
};

} // namespace acaciasill::standin

#endif
