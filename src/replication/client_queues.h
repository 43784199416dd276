#ifndef CHICORYVALE_SRC_REPLICATION_CLIENT_QUEUES_H_
#define CHICORYVALE_SRC_REPLICATION_CLIENT_QUEUES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "chicoryvale/error.h"
#include "replication/log_types.h"

namespace chicoryvale {

/// When a proposal is reported as done to its proposer.
enum class ProposalEnd : std::uint8_t {
  /// Once the leader has applied it.
  kApplied,
  /// Once a quorum knows, too, that it is committed. If the leader is then
  /// lost, the others need no new leader to know it.
  kKnownToQuorum,
};

/// Callbacks of the proposals that a leader has appended to its log but not yet
/// reported as done. Not thread safe.
class ProposalQueue {
 public:
  using Callback = std::function<void(Result<std::string> result)>;

  /// Adds the callback of the proposal at `index` of the log.
  void Add(LogIndex index, ProposalEnd end, Callback callback);

  /// Records `result` for the proposal at `index`, if there is one, and calls
  /// its callback unless it waits until a quorum knows of the commit.
  void Complete(LogIndex index, Result<std::string> result);

  /// Calls the callbacks of the applied proposals up to `index`, which a quorum
  /// knows to be committed.
  void CompleteKnown(LogIndex index);

  /// Returns whether an applied proposal waits until a quorum knows of it.
  [[nodiscard]] bool AwaitsQuorum() const { return !m_applied.empty(); }

  /// Calls all callbacks with `error`.
  void FailAll(const Error& error);

  [[nodiscard]] std::size_t Size() const {
    return m_pending.size() + m_applied.size();
  }

 private:
  struct Pending {
    ProposalEnd end = ProposalEnd::kApplied;
    Callback callback;
  };
  struct Applied {
    Callback callback;
    Result<std::string> result;
  };

  std::map<LogIndex, Pending> m_pending;
  std::map<LogIndex, Applied> m_applied;
};

/// Callbacks of the reads at a leader that are pending until a quorum has
/// confirmed the leadership with a heartbeat round (Ongaro, Consensus: Bridging
/// Theory and Practice, section 6.4). Not thread safe.
class ReadQueue {
 public:
  /// Receives the index up to which the state machine has applied the log.
  using Callback = std::function<void(Result<LogIndex> result)>;

  void Add(Callback callback);

  /// Returns whether there are reads without a heartbeat round.
  [[nodiscard]] bool HasUnassignedReads() const {
    return !m_unassigned_reads.empty();
  }

  /// Assigns `heartbeat_round` to all reads without a round. Precondition: it
  /// is later than every round assigned before.
  void AssignRound(std::uint64_t heartbeat_round);

  /// Calls the callbacks of the reads whose round is at most
  /// `quorum_heartbeat_round` with `applied_index`.
  void Complete(std::uint64_t quorum_heartbeat_round, LogIndex applied_index);

  /// Calls all callbacks with `error`.
  void FailAll(const Error& error);

  [[nodiscard]] std::size_t Size() const;

 private:
  std::vector<Callback> m_unassigned_reads;
  std::map<std::uint64_t, std::vector<Callback>> m_reads_by_round;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_CLIENT_QUEUES_H_
