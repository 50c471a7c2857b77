#ifndef ACACIASILL_WIRE_TABLE_ANSWER_H
#define ACACIASILL_WIRE_TABLE_ANSWER_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

#include "acaciasill/control/table_store.h"

// Encoding of the rows that a replica of a table returns, as MessagePack.
namespace acaciasill::wire {

// Encodes the rows, the version and the era of a result.
std::string encode_table_answer(const control::store_result& result);

// Decodes an answer. Errors: frame_corrupt if it was not written by encode_table_answer.
absl::StatusOr<control::store_result> decode_table_answer(std::string_view bytes);

} // namespace acaciasill::wire

#endif
