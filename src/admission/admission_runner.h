#ifndef CHICORYVALE_SRC_ADMISSION_ADMISSION_RUNNER_H_
#define CHICORYVALE_SRC_ADMISSION_ADMISSION_RUNNER_H_

#include <map>
#include <memory>
#include <string>

#include "admission/admission_counters.h"
#include "admission/admission_queue.h"
#include "ports/scheduler.h"
#include "query/query_runner.h"

namespace chicoryvale {

class Schema;

/// First QueryRunner of a chain: passes the queries of each service through its
/// AdmissionQueue and then on to the next runner, with the remaining deadline.
/// Not thread safe: used only on the event loop.
class AdmissionRunner : public QueryRunner {
 public:
  /// The scheduler and the next runner must outlive this runner.
  AdmissionRunner(Scheduler* scheduler, QueryRunner* next);
  ~AdmissionRunner() override;

  /// Sets the weights of the workspaces of each service from `schema`.
  void SetSchema(const Schema& schema);

  /// Returns the counters, which are summed over all services.
  [[nodiscard]] const AdmissionCounters& Counters() const { return m_counters; }

 protected:
  void OnRun(QuerySpec spec, std::shared_ptr<AnswerMergerFactory> mergers,
             QueryCallback callback) override;

 private:
  struct PendingQuery;
  AdmissionQueue* QueueFor(const std::string& service);
  void Start(const std::shared_ptr<PendingQuery>& query);

  Scheduler* m_scheduler;
  QueryRunner* m_next;
  AdmissionCounters m_counters;
  std::map<std::string, std::unique_ptr<AdmissionQueue>> m_queues;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_ADMISSION_RUNNER_H_
