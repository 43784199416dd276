#ifndef CHICORYVALE_SRC_QUERY_RECORDED_ANSWER_CODEC_H_
#define CHICORYVALE_SRC_QUERY_RECORDED_ANSWER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "query/query_types.h"

namespace chicoryvale {

/// Returns `answer` in the form that is recorded with the claim of a request,
/// so that resends are answered from it. Precondition: `answer.body` holds a
/// value.
std::string EncodeRecordedAnswer(const QueryAnswer& answer);

/// Returns the answer that EncodeRecordedAnswer encoded as `bytes`, with zero
/// attempts, or nothing if `bytes` is damaged.
std::optional<QueryAnswer> DecodeRecordedAnswer(std::string_view bytes);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_RECORDED_ANSWER_CODEC_H_
