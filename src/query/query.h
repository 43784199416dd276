#ifndef CHICORYVALE_SRC_QUERY_QUERY_H_
#define CHICORYVALE_SRC_QUERY_QUERY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "query/answer_merger.h"
#include "query/query_context.h"
#include "query/query_types.h"
#include "query/shard_task.h"

namespace chicoryvale {

/// Runs one query: pins a snapshot, sends a sub-request to each shard, merges
/// the answers, and restarts at another snapshot if the pinned one becomes
/// unavailable. Not thread safe.
class Query : public ShardTaskOwner {
 public:
  /// Called once, as the last action of the query. May delete the query.
  using DoneCallback = std::function<void(QueryAnswer)>;

  /// `service` and the pointees of `dependencies` must outlive the query.
  Query(const QueryDependencies& dependencies, ServiceState* service,
        QuerySpec spec, std::unique_ptr<AnswerMerger> merger,
        DoneCallback on_done);
  ~Query() override;
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;

  /// Starts the sub-requests. The query may end within this call.
  void Start();

  /// Handles a change of the shard map of the service.
  void HandleMapChange();

  /// Returns whether the query may be cancelled without an answer: always if it
  /// is idempotent, otherwise only until its first attempt is sent.
  [[nodiscard]] bool MayCancel() const;

  /// Cancels all attempts. The done callback is not called.
  void Cancel();

  [[nodiscard]] const ServiceState* Service() const { return m_ctx.service; }

  /// Maximum number of restarts of one query.
  static constexpr std::uint32_t kMaxRestarts = 3;
  /// Coverage that a tail-latency query needs for an early answer, even if its
  /// minimum coverage is lower.
  static constexpr std::uint64_t kMinEarlyCoveragePer10000 = 9000;
  /// Early answers are given after this factor times the quantile of shard
  /// completion times, measured from the start or the last restart of the
  /// query.
  static constexpr double kEarlyAnswerDelayFactor = 1.75;

 protected:
  void OnChoice(std::size_t task_index, SubRequestId id,
                Result<ReplicaChoice> choice) override;
  void OnOutcome(std::size_t task_index, SubRequestId id,
                 SubOutcome outcome) override;
  bool OnMergeAnswer(ShardId shard, const std::string& body) override;
  void OnTaskEnd(ShardState state) override;
  void OnRequestWakeup(TimePoint when) override;

 private:
  /// Calls `event`. After the outermost of nested events, calls
  /// RestartOrFinish.
  template <typename Event>
  void HandleEvent(Event event);
  void RestartOrFinish();
  void Scatter();
  void ScheduleEarlyAnswer();
  [[nodiscard]] bool ShouldAnswerEarly() const;
  bool TryRestart();
  void Restart();
  void RunDueTasks();
  /// Ends the query. Tasks that have not ended end in their last failure state,
  /// or else in `default_state`.
  void Finish(ShardState default_state);
  void CancelTimers();
  QueryAnswer MakeAnswer();
  [[nodiscard]] std::size_t MinCoveredShards(std::uint64_t per_10000) const;
  QueryCounters& Counters() { return *m_ctx.dependencies.counters; }

  QueryContext m_ctx;
  std::unique_ptr<AnswerMerger> m_merger;
  DoneCallback m_on_done;
  std::vector<ShardTask> m_tasks;
  std::size_t m_pending_tasks = 0;
  std::size_t m_covered_shards = 0;
  std::uint32_t m_restarts = 0;
  Duration m_half_coverage_time{};
  int m_event_depth = 0;
  bool m_done = false;
  TimerId m_deadline_timer = 0;
  TimerId m_wakeup_timer = 0;
  TimePoint m_wakeup_at{};
  TimePoint m_last_wakeup{};
  TimePoint m_early_answer_at = TimePoint::max();
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_H_
