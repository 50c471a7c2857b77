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

// In-memory rows and objects of the stand-in platform.
class platform_store {
public:
  // Returns the row, or nullopt if it is absent.
  std::optional<control::table_row> read(const std::string& key) const;

  // Returns up to limit rows whose keys start with the prefix, in key order.
  std::vector<control::table_row> list(std::string_view prefix, std::size_t limit) const;

  // Writes all rows atomically if the version of each matches the stored one. Returns the rows with
  // their new versions, or nullopt on a mismatch.
  std::optional<std::vector<control::table_row>> write(const std::vector<control::table_row>& rows);

  std::optional<std::string> read_object(const std::string& digest) const;

  // Stores an object; false if the bytes do not match the SHA-256 digest.
  bool write_object(const std::string& digest, const std::string& bytes);

private:
  std::uint64_t current_version(const std::string& key) const;

  std::map<std::string, control::table_row, std::less<>> rows_;
  std::map<std::string, std::string> objects_;
};

} // namespace acaciasill::standin

#endif
