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

/// Callbacks of the proposals that a leader has appended to its log but not yet
/// applied. Not thread safe.
class ProposalQueue {
 public:
  using Callback = std::function<void(Result<std::string> result)>;

  /// Adds the callback of the proposal at `index` of the log.
  void Add(LogIndex index, Callback callback);

  /// Calls the callback of the proposal at `index` with `result`, if there is
  /// one.
  void Complete(LogIndex index, Result<std::string> result);

  /// Calls all callbacks with `error`.
  void FailAll(const Error& error);

  [[nodiscard]] std::size_t Size() const { return m_callbacks.size(); }

 private:
  std::map<LogIndex, Callback> m_callbacks;
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
