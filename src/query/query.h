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

/// One query from its scatter to its answer: pins a snapshot, asks the shards,
/// merges what they answer, and starts again at another snapshot if it must.
/// Not thread safe.
class Query : public ShardTaskOwner {
 public:
  /// Called once, as the last thing the query does; it may delete the query.
  using DoneCallback = std::function<void(QueryAnswer)>;

  /// `service` outlives the query.
  Query(const QueryParts& parts, ServiceState* service, QuerySpec spec,
        std::unique_ptr<AnswerMerger> merger, DoneCallback on_done);
  ~Query() override;
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;

  /// Scatters. The query may end from within this call.
  void Start();

  /// Tells that the service's shard map has changed.
  void HandleMapChange();

  /// Whether the query may be dropped without an answer: not once a request
  /// that may run only once was sent.
  [[nodiscard]] bool MayCancel() const;

  /// Abandons all work; the done callback is not called.
  void Cancel();

  [[nodiscard]] const ServiceState* Service() const { return m_ctx.service; }

  /// Restarts of one query.
  static constexpr std::uint32_t kMaxRestarts = 3;
  /// Coverage below which a tail-latency query does not return early.
  static constexpr std::uint64_t kMinEarlyPer10000 = 9000;
  /// Early answers are given after this many times the quantile of shard
  /// completion times.
  static constexpr double kEarlyFactor = 1.75;

 protected:
  void OnChoice(std::size_t index, SubRequestId id,
                Result<ReplicaChoice> choice) override;
  void OnOutcome(std::size_t index, SubRequestId id,
                 SubOutcome outcome) override;
  bool OnMerge(ShardId shard, const std::string& body) override;
  void OnTaskEnded(ShardState state) override;
  void OnWantSweep(TimePoint when) override;

 private:
  /// Runs `event`; after the outermost one acts on what it left.
  template <typename Event>
  void Enter(Event event);
  void Settle();
  void Scatter();
  void PlanEarlyReturn();
  [[nodiscard]] bool MayReturnEarly() const;
  bool TryRestart();
  void Restart();
  void Sweep();
  void Finish(ShardState reason);
  void StopTimers();
  QueryAnswer MakeAnswer();
  [[nodiscard]] std::size_t LeastCovered(std::uint64_t per_10000) const;
  QueryCounters& Counters() { return *m_ctx.parts.counters; }

  QueryContext m_ctx;
  std::unique_ptr<AnswerMerger> m_merger;
  DoneCallback m_on_done;
  std::vector<ShardTask> m_tasks;
  std::size_t m_pending = 0;
  std::size_t m_covered = 0;
  std::uint32_t m_restarts = 0;
  Duration m_half_covered{};
  int m_depth = 0;
  bool m_done = false;
  TimerId m_deadline_timer = 0;
  TimerId m_sweep_timer = 0;
  TimePoint m_sweep_at{};
  TimePoint m_last_sweep{};
  TimePoint m_early_at = TimePoint::max();
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_H_
