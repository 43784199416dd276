#ifndef CHICORYVALE_SRC_QUERY_QUERY_ERROR_H_
#define CHICORYVALE_SRC_QUERY_QUERY_ERROR_H_

#include <vector>

#include "chicoryvale/error.h"
#include "query/query_types.h"

namespace chicoryvale {

/// Returns the error of a query that covered too few shards. `ran` is what its
/// attempts say about execution, and becomes the error's; a kind that by
/// itself means "not run" is only used if it did not run. Thread safe.
Error QueryFailure(const QuerySpec& spec,
                   const std::vector<ShardCoverage>& coverage, Ran ran);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_ERROR_H_
