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
  /// Merges the answer of `shard`; false if it cannot be merged.
  bool Merge(ShardId shard, const std::string& body) {
    return OnMerge(shard, body);
  }

  /// Tells that a task has ended in `state`, once for each task.
  void TaskEnded(ShardState state) { OnTaskEnded(state); }

  /// Asks for ShardTask::RunDue at `when` or a little later.
  void WantSweep(TimePoint when) { OnWantSweep(when); }

 protected:
  virtual bool OnMerge(ShardId shard, const std::string& body) = 0;
  virtual void OnTaskEnded(ShardState state) = 0;
  virtual void OnWantSweep(TimePoint when) = 0;
};

/// The attempts at one shard of a query: a first one, retries where they are
/// safe and the budget allows, and one hedge. Not thread safe.
class ShardTask {
 public:
  /// `index` is the task's place within its owner. The pointees outlive it.
  ShardTask(QueryContext* query, ShardTaskOwner* owner, std::size_t index,
            ShardId shard)
      : m_query(query), m_owner(owner), m_index(index), m_shard(shard) {}

  /// Makes the first attempt. Called once.
  void Start() { Attempt(AttemptPurpose::kFirst); }

  /// Takes the gate's answer to the attempt `id`.
  void OnChoice(SubRequestId id, Result<ReplicaChoice> choice);

  /// Takes the end of the attempt `id`.
  void OnOutcome(SubRequestId id, SubOutcome outcome);

  /// Makes the hedge or retry that is due, and asks for the next sweep.
  void RunDue(TimePoint now);

  /// Ends the task with the reason it has met if it waits for nothing but a
  /// restart of its query, which was refused.
  void EndIfIdle();

  /// Abandons what is in flight. A task that has not ended ends with the
  /// reason it has met or, if none, with `reason`.
  void Stop(ShardState reason);

  /// Whether the shard is covered or given up.
  [[nodiscard]] bool Ended() const { return m_ended; }

  /// Whether an attempt was sent and has not ended.
  [[nodiscard]] bool InFlight() const;

  /// State of the shard; meaningful once the task has ended.
  [[nodiscard]] ShardState State() const { return m_state; }

  [[nodiscard]] ShardId Shard() const { return m_shard; }

  /// Attempts sent for one shard at one snapshot.
  static constexpr std::uint32_t kMaxAttempts = 4;
  /// Consecutive refusals of the gate that are waited out.
  static constexpr std::uint32_t kMaxWaits = 8;
  /// Consecutive waits for the retry budget.
  static constexpr std::uint32_t kMaxBudgetWaits = 4;

 private:
  struct LiveAttempt {
    SubRequestId id = 0;
    GateTicket ticket = 0;
    AttemptPurpose purpose = AttemptPurpose::kFirst;
    bool sent = false;
    TimePoint sent_at{};
    Address replica;
  };
  /// A first attempt or retry, and a hedge.
  static constexpr std::size_t kMaxLive = 2;

  void Attempt(AttemptPurpose purpose);
  void Send(LiveAttempt* attempt, ReplicaChoice choice);
  void OnRefused(AttemptPurpose purpose, ErrorKind kind);
  void Cover(const LiveAttempt& winner, Duration elapsed);
  void OnFailure(SubOutcomeKind kind, QueryCounter retry_counter,
                 ShardState reason);
  void OnUnavailable(const LiveAttempt& ended);
  void AvoidNext(const Address& replica);
  void RetryLater();
  void WaitForBudget();
  void RunRetry(TimePoint now);
  void RunHedge(TimePoint now);
  void RunStalled();
  void End(ShardState state);
  void Abandon(LiveAttempt* attempt, TimePoint now);
  void AbandonAll();
  [[nodiscard]] bool MaySendAgain(SubOutcomeKind kind) const;
  [[nodiscard]] bool HasLive() const;
  LiveAttempt* Find(SubRequestId id);
  QueryCounters& Counters() { return *m_query->parts.counters; }

  QueryContext* m_query;
  ShardTaskOwner* m_owner;
  std::size_t m_index;
  ShardId m_shard;
  bool m_ended = false;
  bool m_hedged = false;
  ShardState m_state = ShardState::kDeadline;
  std::uint32_t m_sent = 0;
  std::uint32_t m_waits = 0;
  std::optional<TimePoint> m_retry_at;
  std::optional<TimePoint> m_hedge_at;
  std::optional<TimePoint> m_stall_at;
  std::array<LiveAttempt, kMaxLive> m_live;
  /// Replicas that failed; avoided as long as there are others.
  std::vector<Address> m_failed;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_SHARD_TASK_H_
