#ifndef CHICORYVALE_SRC_QUERY_SHARD_TASK_H_
#define CHICORYVALE_SRC_QUERY_SHARD_TASK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "query/query_context.h"
#include "query/query_types.h"

namespace chicoryvale {

/// Owner of shard tasks. Not thread safe.
class ShardTaskOwner : public AttemptOwner {
 public:
  /// Merges the answer of `shard`. Returns false if it cannot be merged.
  bool MergeAnswer(ShardId shard, const std::string& body) {
    return OnMergeAnswer(shard, body);
  }

  /// Handles the end of a task in `state`. Called once for each task.
  void HandleTaskEnd(ShardState state) { OnTaskEnd(state); }

  /// Requests a call of ShardTask::RunDueAttempts at `when` or shortly after.
  void RequestWakeup(TimePoint when) { OnRequestWakeup(when); }

 protected:
  virtual bool OnMergeAnswer(ShardId shard, const std::string& body) = 0;
  virtual void OnTaskEnd(ShardState state) = 0;
  virtual void OnRequestWakeup(TimePoint when) = 0;
};

/// Sends the sub-request of a query to one shard: a first attempt, retries if
/// they are safe and the retry budget allows them, and at most one hedge.
/// Not thread safe.
class ShardTask {
 public:
  /// `task_index` is the position of the task in its owner. The pointees must
  /// outlive the task.
  ShardTask(QueryContext* query, ShardTaskOwner* owner, std::size_t task_index,
            ShardId shard)
      : m_query(query),
        m_owner(owner),
        m_task_index(task_index),
        m_shard(shard) {}

  /// Starts the first attempt. Called once.
  void Start() { StartAttempt(AttemptPurpose::kFirst); }

  /// Handles the choice or refusal of the gate for attempt `id`.
  void OnChoice(SubRequestId id, Result<ReplicaChoice> choice);

  /// Handles the end of attempt `id`.
  void OnOutcome(SubRequestId id, SubOutcome outcome);

  /// Starts the hedge or retry that is due, and requests the next wakeup.
  void RunDueAttempts(TimePoint now);

  /// Ends the task in its current state if it has no pending attempt and no
  /// scheduled retry. Called when the query cannot restart.
  void EndIfIdle();

  /// Cancels the pending attempts. If the task has not ended, it ends in the
  /// state of its last failure, or in the state `default_state` if it had no
  /// failure or an attempt was in flight.
  void Stop(ShardState default_state);

  /// Returns whether the shard is covered or no further attempts are made.
  [[nodiscard]] bool HasEnded() const { return m_ended; }

  /// Returns whether an attempt was sent and has not ended.
  [[nodiscard]] bool HasAttemptInFlight() const;

  /// Returns the state of the shard. Valid after the task has ended.
  [[nodiscard]] ShardState State() const { return m_state; }

  [[nodiscard]] ShardId Shard() const { return m_shard; }

  /// Maximum number of attempts sent to one shard at one snapshot.
  static constexpr std::uint32_t kMaxAttempts = 4;
  /// Maximum number of consecutive backoffs, for example after refusals of the
  /// gate. The next one ends the task.
  static constexpr std::uint32_t kMaxBackoffs = 8;
  /// Number of consecutive backoffs from which the task ends instead of waiting
  /// for the retry budget.
  static constexpr std::uint32_t kMaxBudgetBackoffs = 4;

 private:
  /// An attempt that waits for the gate or is in flight. The slot is unused if
  /// `id` is 0.
  struct PendingAttempt {
    SubRequestId id = 0;
    GateTicket ticket = 0;
    AttemptPurpose purpose = AttemptPurpose::kFirst;
    bool sent = false;
    TimePoint sent_at{};
    Address replica;
  };
  /// One first attempt or retry, and one further attempt beside it.
  static constexpr std::size_t kMaxPendingAttempts = 2;

  void StartAttempt(AttemptPurpose purpose);
  void SendAttempt(PendingAttempt* attempt, ReplicaChoice choice);
  void OnGateRefusal(AttemptPurpose purpose, ErrorKind kind);
  void CompleteCovered(const PendingAttempt& winner, Duration elapsed);
  void OnFailure(SubOutcomeKind kind, QueryCounter retry_counter,
                 ShardState shard_state);
  void OnSnapshotUnavailable(const PendingAttempt& ended);
  void AvoidReplica(const Address& replica);
  void ScheduleRetry();
  void OnRetryBudgetExhausted();
  void RunRetry(TimePoint now);
  void RunHedge(TimePoint now);
  void RunStallRetry();
  void End(ShardState state);
  void Abandon(PendingAttempt* attempt, TimePoint now);
  void AbandonAll();
  [[nodiscard]] bool MayRetry(SubOutcomeKind kind) const;
  [[nodiscard]] bool HasPendingAttempt() const;
  PendingAttempt* FindAttempt(SubRequestId id);
  QueryCounters& Counters() { return *m_query->dependencies.counters; }

  QueryContext* m_query;
  ShardTaskOwner* m_owner;
  std::size_t m_task_index;
  ShardId m_shard;
  bool m_ended = false;
  bool m_hedged = false;
  /// State of the last failure until the task ends, then its final state.
  ShardState m_state = ShardState::kDeadline;
  std::uint32_t m_sent_attempts = 0;
  /// Consecutive backoffs since the last attempt was sent.
  std::uint32_t m_backoffs = 0;
  std::optional<TimePoint> m_retry_at;
  std::optional<TimePoint> m_hedge_at;
  std::optional<TimePoint> m_stall_at;
  std::array<PendingAttempt, kMaxPendingAttempts> m_pending_attempts;
  /// Replicas that failed. They are avoided while there are others.
  std::vector<Address> m_failed_replicas;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_SHARD_TASK_H_
