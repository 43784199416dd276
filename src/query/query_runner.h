#ifndef CHICORYVALE_SRC_QUERY_QUERY_RUNNER_H_
#define CHICORYVALE_SRC_QUERY_QUERY_RUNNER_H_

#include <memory>
#include <utility>

#include "query/answer_merger.h"
#include "query/query_types.h"

namespace chicoryvale {

/// Runs the queries of callers. Implementations form a chain, in which each
/// passes queries on to the next: admission control, then AtMostOnceGuard, then
/// the engine. Not thread safe.
class QueryRunner {
 public:
  virtual ~QueryRunner() = default;

  /// Runs a query. Calls `callback` exactly once, within this call or later.
  void Run(QuerySpec spec, std::shared_ptr<AnswerMergerFactory> mergers,
           QueryCallback callback) {
    OnRun(std::move(spec), std::move(mergers), std::move(callback));
  }

 protected:
  virtual void OnRun(QuerySpec spec,
                     std::shared_ptr<AnswerMergerFactory> mergers,
                     QueryCallback callback) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_RUNNER_H_
