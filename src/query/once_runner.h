#ifndef CHICORYVALE_SRC_QUERY_ONCE_RUNNER_H_
#define CHICORYVALE_SRC_QUERY_ONCE_RUNNER_H_

#include <memory>

#include "query/query_runner.h"

namespace chicoryvale {

class OnceGuard;

/// Last QueryRunner of a chain: hands queries to the guard of requests that
/// may run at most once, and through it to the engine. Not thread safe.
class OnceRunner : public QueryRunner {
 public:
  /// `guard` must outlive the runner.
  explicit OnceRunner(OnceGuard* guard) : m_guard(guard) {}

 protected:
  void OnRun(QuerySpec spec, std::shared_ptr<AnswerMergerFactory> mergers,
             QueryCallback callback) override;

 private:
  OnceGuard* m_guard;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_ONCE_RUNNER_H_
