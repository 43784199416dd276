#include "query/query_types.h"

#include <algorithm>

namespace chicoryvale {

std::size_t CountCovered(const std::vector<ShardCoverage>& coverage) {
  return static_cast<std::size_t>(
      std::ranges::count(coverage, ShardState::kCovered,
                         [](const ShardCoverage& c) { return c.state; }));
}

}  // namespace chicoryvale
