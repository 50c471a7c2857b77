#ifndef ACACIASILL_CONTROL_PLATFORM_H
#define ACACIASILL_CONTROL_PLATFORM_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "acaciasill/support/time.h"

// The operations of the platform's table service and object store that the project uses, as plain
// values. Adapters in lib/net send them over HTTP; tests answer them from a fake.
namespace acaciasill::control {

// Version of a row that does not exist. A write with this version inserts the row.
inline constexpr std::uint64_t absent_version = 0;

// A row of the table: a key such as "head/configuration", a value, and a version that increases by
// one with each write.
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

// Reads the rows whose keys start with the prefix, in key order and at most limit of them.
struct list_rows {
  std::string prefix;
  std::uint32_t limit = 1000;

  bool operator==(const list_rows&) const = default;
};

// Writes all rows in one transaction if every row still has the version given here, and none
// otherwise. With a single row this is a conditional write.
struct write_rows {
  std::vector<table_row> rows;

  bool operator==(const write_rows&) const = default;
};

// Reads the object with the given SHA-256 digest in hexadecimal.
struct read_object {
  std::string digest;

  bool operator==(const read_object&) const = default;
};

// Writes an object under its digest; idempotent.
struct write_object {
  std::string digest;
  std::string bytes;

  bool operator==(const write_object&) const = default;
};

using platform_operation = std::variant<read_row, list_rows, write_rows, read_object, write_object>;

// A request to the platform. The requester chooses the ticket, which is returned with the answer.
struct platform_request {
  std::uint64_t ticket = 0;
  platform_operation operation;
  // Timeout of the request, after which its end is failed_before or unknown.
  support::milliseconds timeout{2000};

  bool operator==(const platform_request&) const = default;
};

// Result of a request to the platform.
enum class platform_end : std::uint8_t {
  done,          // It took effect, and the answer is complete.
  refused,       // Rejected by the platform: a version conflict, or not found.
  failed_before, // It certainly took no effect.
  unknown,       // It may have taken effect; the requester reads back to find out.
};

// The platform's answer, or the report that none arrived.
struct platform_answer {
  std::uint64_t ticket = 0;
  platform_end end = platform_end::unknown;
  // Rows that were read; empty for writes. A row that does not exist is omitted.
  std::vector<table_row> rows;
  // The object that was read.
  std::string bytes;

  bool operator==(const platform_answer&) const = default;
};

} // namespace acaciasill::control

#endif
