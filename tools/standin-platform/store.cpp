#include "store.h"

#include "acaciasill/support/hash.h"

namespace acaciasill::standin {

using control::table_row;

std::optional<table_row> platform_store::read(const std::string& key) const {
  if (const auto found = rows_.find(key); found != rows_.end()) {
    return found->second;
  }
  return std::nullopt;
}

std::vector<table_row> platform_store::list(std::string_view prefix, std::size_t limit) const {
  std::vector<table_row> result;
  for (auto row = rows_.lower_bound(prefix); row != rows_.end(); ++row) {
    if (result.size() == limit || !row->first.starts_with(prefix)) {
      break;
    }
    result.push_back(row->second);
  }
  return result;
}

std::optional<std::vector<table_row>> platform_store::write(const std::vector<table_row>& rows) {
  for (const auto& row : rows) {
    if (current_version(row.key) != row.version) {
      return std::nullopt;
    }
  }
  std::vector<table_row> written;
  for (const auto& row : rows) {
    written.push_back({row.key, row.value, row.version + 1});
    rows_[row.key] = written.back();
  }
  return written;
}

std::optional<std::string> platform_store::read_object(const std::string& digest) const {
  if (const auto found = objects_.find(digest); found != objects_.end()) {
    return found->second;
  }
  return std::nullopt;
}

bool platform_store::write_object(const std::string& digest, const std::string& bytes) {
  if (support::sha256_hex(bytes) != digest) {
    return false;
  }
  objects_[digest] = bytes;
  return true;
}

std::uint64_t platform_store::current_version(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? control::absent_version : found->second.version;
}

} // namespace acaciasill::standin
