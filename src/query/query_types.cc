#include "query/query_types.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {

QueryAnswer MakeFailedAnswer(Error error) {
  QueryAnswer answer;
  answer.ran = error.ran;
  answer.body = tl::unexpected<Error>(std::move(error));
  return answer;
}

std::size_t CountCovered(const std::vector<ShardCoverage>& coverage) {
  return static_cast<std::size_t>(
      std::ranges::count(coverage, ShardState::kCovered,
                         [](const ShardCoverage& c) { return c.state; }));
}

}  // namespace chicoryvale
