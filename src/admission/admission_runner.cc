#include "admission/admission_runner.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "schema/schema.h"

namespace chicoryvale {

/// A query between its arrival and its answer.
struct AdmissionRunner::Request {
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
  auto request = std::make_shared<Request>();
  request->spec = std::move(spec);
  request->mergers = std::move(mergers);
  request->callback = std::move(callback);
  request->deadline = m_scheduler->Now() + request->spec.deadline;
  request->queue = QueueFor(request->spec.service);
  // An admission from within Submit comes before its ticket is known, so that
  // the start is left to the event loop.
  request->ticket = request->queue->Submit(
      request->spec.workspace, request->deadline,
      [this, request](const Result<void>& admitted) {
        if (admitted) {
          m_scheduler->Schedule(Duration::zero(),
                                [this, request] { Start(request); });
          return;
        }
        QueryAnswer refusal;
        refusal.body = tl::unexpected(admitted.error());
        request->callback(std::move(refusal));
      });
}

void AdmissionRunner::Start(const std::shared_ptr<Request>& request) {
  request->spec.deadline = request->deadline - m_scheduler->Now();
  m_next->Run(std::move(request->spec), request->mergers,
              [request](QueryAnswer answer) {
                request->queue->Finish(request->ticket, answer);
                request->callback(std::move(answer));
              });
}

}  // namespace chicoryvale
