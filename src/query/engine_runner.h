#ifndef CHICORYVALE_SRC_QUERY_ENGINE_RUNNER_H_
#define CHICORYVALE_SRC_QUERY_ENGINE_RUNNER_H_

#include <memory>

#include "query/query_runner.h"

namespace chicoryvale {

class QueryEngine;

/// Last QueryRunner of a chain: hands queries to the engine. Not thread safe.
class EngineRunner : public QueryRunner {
 public:
  /// `engine` must outlive the runner.
  explicit EngineRunner(QueryEngine* engine) : m_engine(engine) {}

 protected:
  void OnRun(QuerySpec spec, std::shared_ptr<AnswerMergerFactory> mergers,
             QueryCallback callback) override;

 private:
  QueryEngine* m_engine;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_ENGINE_RUNNER_H_
