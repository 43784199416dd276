#ifndef CHICORYVALE_SRC_QUERY_RECORDED_ANSWER_CODEC_H_
#define CHICORYVALE_SRC_QUERY_RECORDED_ANSWER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "query/query_types.h"

namespace chicoryvale {

/// Returns the bytes that resends of a request are answered from.
/// Precondition: `answer.body` holds a value.
std::string EncodeOutcome(const QueryAnswer& answer);

/// Returns the answer of EncodeOutcome's bytes, with no attempt of its own, or
/// nothing if they are damaged.
std::optional<QueryAnswer> DecodeOutcome(std::string_view bytes);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_RECORDED_ANSWER_CODEC_H_
