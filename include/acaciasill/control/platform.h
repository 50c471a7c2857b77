#ifndef ACACIASILL_CONTROL_PLATFORM_H
#define ACACIASILL_CONTROL_PLATFORM_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "acaciasill/support/time.h"

// The few operations of the platform's table service and object store that the project uses, as
// plain values. Adapters of lib/net carry them over HTTP; tests answer them from a fake.
namespace acaciasill::control {

// The version of a row that does not exist; a write with it inserts.
inline constexpr std::uint64_t absent_version = 0;

// A row of the table: a key such as "head/configuration", a value, and a version that rises by one
// with each write.
struct table_row {
  std::string key;
  std::string value;
  std::uint64_t version = absent_version;

  bool operator==(const table_row&) const = default;
};

// Reads one row.
struct read_row {
  std::string key;

  bool operator==(const read_row&) const = default;
};

// Reads all rows whose key starts with the prefix, at most limit of them in the order of keys.
struct list_rows {
  std::string prefix;
  std::uint32_t limit = 1000;

  bool operator==(const list_rows&) const = default;
};

// Writes each row if, and only if, every row still has the version that it names here. One row is
// the plain conditional write.
struct write_rows {
  std::vector<table_row> rows;

  bool operator==(const write_rows&) const = default;
};

// Reads the object with this SHA-256 digest in hexadecimal.
struct read_object {
  std::string digest;

  bool operator==(const read_object&) const = default;
};

// Writes an object under its digest; writing the same object again is harmless.
struct write_object {
  std::string digest;
  std::string bytes;

  bool operator==(const write_object&) const = default;
};

using platform_operation = std::variant<read_row, list_rows, write_rows, read_object, write_object>;

// A request to the platform. The ticket is chosen by the asker and comes back with the answer.
struct platform_request {
  std::uint64_t ticket = 0;
  platform_operation operation;
  // The time after which the asker no longer waits; the answer is then one of the lost ends.
  support::milliseconds timeout{2000};

  bool operator==(const platform_request&) const = default;
};

// How a request to the platform ended.
enum class platform_end : std::uint8_t {
  done,          // It took effect, and the answer is whole.
  refused,       // The platform said no: a version conflict, or nothing there.
  failed_before, // It certainly took no effect.
  unknown,       // It may have taken effect; the asker settles it by reading back.
};

// The platform's answer, or its loss.
struct platform_answer {
  std::uint64_t ticket = 0;
  platform_end end = platform_end::unknown;
  // Rows that were read, or, for a refused write, nothing. A row that does not exist is left out.
  std::vector<table_row> rows;
  // The object that was read.
  std::string bytes;

  bool operator==(const platform_answer&) const = default;
};

} // namespace acaciasill::control

#endif
