#ifndef CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_RUNNER_H_
#define CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_RUNNER_H_

#include <memory>

#include "query/query_runner.h"

namespace chicoryvale {

class AtMostOnceGuard;

/// Last QueryRunner of a chain. Passes queries to the AtMostOnceGuard, which
/// passes them to the engine. Not thread safe.
class AtMostOnceRunner : public QueryRunner {
 public:
  /// `guard` must outlive the runner.
  explicit AtMostOnceRunner(AtMostOnceGuard* guard) : m_guard(guard) {}

 protected:
  void OnRun(QuerySpec spec, std::shared_ptr<AnswerMergerFactory> mergers,
             QueryCallback callback) override;

 private:
  AtMostOnceGuard* m_guard;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_RUNNER_H_
