#ifndef CHICORYVALE_SRC_QUERY_QUERY_ERROR_H_
#define CHICORYVALE_SRC_QUERY_QUERY_ERROR_H_

#include <vector>

#include "chicoryvale/error.h"
#include "query/query_types.h"

namespace chicoryvale {

/// Returns the error of a query that covered too few shards. `ran` says whether
/// the request ran, judged by all attempts, and is copied to the error. A kind
/// that implies "not run" is used only if `ran` is kNo. Thread safe.
Error MakeQueryError(const QuerySpec& spec,
                     const std::vector<ShardCoverage>& coverage, Ran ran);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_ERROR_H_
