#include "query/at_most_once_runner.h"

#include <utility>

#include "query/at_most_once_guard.h"

namespace chicoryvale {

void AtMostOnceRunner::OnRun(QuerySpec spec,
                             std::shared_ptr<AnswerMergerFactory> mergers,
                             QueryCallback callback) {
  AnswerMergerFactory* factory = mergers.get();
  m_guard->Start(std::move(spec), factory, std::move(callback));
}

}  // namespace chicoryvale
