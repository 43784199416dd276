#ifndef CHICORYVALE_SRC_QUERY_ATTEMPT_TABLE_H_
#define CHICORYVALE_SRC_QUERY_ATTEMPT_TABLE_H_

#include <cstddef>
#include <unordered_map>

#include "base/ids.h"
#include "chicoryvale/error.h"
#include "ports/replica_gate.h"
#include "ports/upstream_transport.h"
#include "query/query_counters.h"

namespace chicoryvale {

/// Receives the events of the attempts that it added to an AttemptTable.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;

  /// The gate answered attempt `id` of the shard at `index`.
  void HandleChoice(std::size_t index, SubRequestId id,
                    Result<ReplicaChoice> choice) {
    OnChoice(index, id, std::move(choice));
  }

  /// Attempt `id` of the shard at `index` ended.
  void HandleOutcome(std::size_t index, SubRequestId id, SubOutcome outcome) {
    OnOutcome(index, id, std::move(outcome));
  }

 protected:
  virtual void OnChoice(std::size_t index, SubRequestId id,
                        Result<ReplicaChoice> choice) = 0;
  virtual void OnOutcome(std::size_t index, SubRequestId id,
                         SubOutcome outcome) = 0;
};

/// The attempts in flight of all queries. Numbers them, each once in a run of
/// the process, and brings each event to its owner; events of attempts that
/// have ended are dropped and counted. Not thread safe.
class AttemptTable {
 public:
  /// Numbers attempts from `first_id`, which is not 0.
  AttemptTable(SubRequestId first_id, QueryCounters* counters)
      : m_next_id(first_id), m_counters(counters) {}

  /// Adds an attempt and returns its id.
  SubRequestId Add(AttemptOwner* owner, std::size_t index);

  /// Removes an attempt; events of it are dropped from now on.
  void Remove(SubRequestId id) { m_entries.erase(id); }

  /// Brings the gate's answer to the owner. An answer to a removed attempt
  /// needs nothing done: its ticket was abandoned.
  void DeliverChoice(SubRequestId id, Result<ReplicaChoice> choice);

  /// Brings the end of an attempt to its owner.
  void DeliverOutcome(SubRequestId id, SubOutcome outcome);

  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    AttemptOwner* owner;
    std::size_t index;
  };

  SubRequestId m_next_id;
  QueryCounters* m_counters;
  std::unordered_map<SubRequestId, Entry> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_ATTEMPT_TABLE_H_
