#include "query/engine_runner.h"

#include <utility>

#include "query/query_engine.h"

namespace chicoryvale {

void EngineRunner::OnRun(QuerySpec spec,
                         std::shared_ptr<AnswerMergerFactory> mergers,
                         QueryCallback callback) {
  AnswerMergerFactory* factory = mergers.get();
  m_engine->Start(std::move(spec), factory, std::move(callback));
}

}  // namespace chicoryvale
