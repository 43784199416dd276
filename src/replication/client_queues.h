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

/// Proposals of a leader that are not yet applied. Not thread safe.
class ProposalQueue {
 public:
  using Callback = std::function<void(Result<std::string> result)>;

  /// Adds the proposal that stands at `index` of the log.
  void Add(LogIndex index, Callback callback);

  /// Answers the proposal at `index`, if there is one.
  void Complete(LogIndex index, Result<std::string> result);

  /// Answers all proposals with `error`.
  void FailAll(const Error& error);

  [[nodiscard]] std::size_t Size() const { return m_callbacks.size(); }

 private:
  std::map<LogIndex, Callback> m_callbacks;
};

/// Reads of a leader that wait until a quorum has confirmed its leadership
/// (Ongaro, Consensus: Bridging Theory and Practice, section 6.4). Not thread
/// safe.
class ReadQueue {
 public:
  /// Called with the index up to which the state machine is applied.
  using Callback = std::function<void(Result<LogIndex> result)>;

  void Add(Callback callback);

  /// Returns whether reads wait for a heartbeat round.
  [[nodiscard]] bool HasUnassigned() const { return !m_unassigned.empty(); }

  /// Lets all reads without a round wait for `round`, which is later than
  /// every round before.
  void Assign(std::uint64_t round);

  /// Answers the reads whose round is confirmed by a quorum.
  void Complete(std::uint64_t quorum_round, LogIndex applied_index);

  /// Answers all reads with `error`.
  void FailAll(const Error& error);

  [[nodiscard]] std::size_t Size() const;

 private:
  std::vector<Callback> m_unassigned;
  std::map<std::uint64_t, std::vector<Callback>> m_by_round;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_CLIENT_QUEUES_H_
