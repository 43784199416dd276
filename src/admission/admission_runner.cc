#include "admission/admission_runner.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "schema/schema.h"

namespace chicoryvale {

/// A query from its arrival to its answer.
struct AdmissionRunner::PendingQuery {
  QuerySpec spec;
  std::shared_ptr<AnswerMergerFactory> mergers;
  QueryCallback callback;
  TimePoint deadline{};
  AdmissionQueue* queue = nullptr;
  AdmissionTicket ticket = 0;
};

AdmissionRunner::AdmissionRunner(Scheduler* scheduler, QueryRunner* next)
    : m_scheduler(scheduler), m_next(next) {}

AdmissionRunner::~AdmissionRunner() = default;

void AdmissionRunner::SetSchema(const Schema& schema) {
  for (const ServiceSchema& service : schema.Services()) {
    std::vector<WorkspaceWeight> weights;
    std::ranges::transform(
        service.workspaces, std::back_inserter(weights),
        [](const WorkspaceShare& workspace) {
          return WorkspaceWeight{workspace.name, workspace.share};
        });
    QueueFor(service.name)->SetWeights(weights);
  }
}

AdmissionQueue* AdmissionRunner::QueueFor(const std::string& service) {
  std::unique_ptr<AdmissionQueue>& queue = m_queues[service];
  if (queue == nullptr) {
    queue = std::make_unique<AdmissionQueue>(m_scheduler, &m_counters);
  }
  return queue.get();
}

void AdmissionRunner::OnRun(QuerySpec spec,
                            std::shared_ptr<AnswerMergerFactory> mergers,
                            QueryCallback callback) {
  auto query = std::make_shared<PendingQuery>();
  query->spec = std::move(spec);
  query->mergers = std::move(mergers);
  query->callback = std::move(callback);
  query->deadline = m_scheduler->Now() + query->spec.timeout;
  query->queue = QueueFor(query->spec.service);
  // Submit may call back before it returns the ticket, so the query is started
  // from the event loop.
  query->ticket = query->queue->Submit(
      query->spec.workspace, query->deadline,
      [this, query](const Result<void>& admitted) {
        if (admitted) {
          m_scheduler->Schedule(Duration::zero(),
                                [this, query] { Start(query); });
          return;
        }
        QueryAnswer refusal;
        refusal.body = tl::unexpected(admitted.error());
        query->callback(std::move(refusal));
      });
}

void AdmissionRunner::Start(const std::shared_ptr<PendingQuery>& query) {
  query->spec.timeout = query->deadline - m_scheduler->Now();
  m_next->Run(std::move(query->spec), query->mergers,
              [query](QueryAnswer answer) {
                query->queue->Finish(query->ticket, answer);
                query->callback(std::move(answer));
              });
}

}  // namespace chicoryvale
