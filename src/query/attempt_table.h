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

  /// Handles the choice or refusal of the gate for attempt `id` of the task at
  /// `task_index`.
  void HandleChoice(std::size_t task_index, SubRequestId id,
                    Result<ReplicaChoice> choice) {
    OnChoice(task_index, id, std::move(choice));
  }

  /// Handles the end of attempt `id` of the task at `task_index`.
  void HandleOutcome(std::size_t task_index, SubRequestId id,
                     SubOutcome outcome) {
    OnOutcome(task_index, id, std::move(outcome));
  }

 protected:
  virtual void OnChoice(std::size_t task_index, SubRequestId id,
                        Result<ReplicaChoice> choice) = 0;
  virtual void OnOutcome(std::size_t task_index, SubRequestId id,
                         SubOutcome outcome) = 0;
};

/// Table of the pending attempts of all queries. Assigns the ids of attempts,
/// which are unique within one run of the process, and delivers the events of
/// each attempt to its owner. An outcome of an attempt that was removed is
/// dropped and counted. Not thread safe.
class AttemptTable {
 public:
  /// Assigns ids in ascending order from `first_id`. Precondition: `first_id`
  /// is not 0.
  AttemptTable(SubRequestId first_id, QueryCounters* counters)
      : m_next_id(first_id), m_counters(counters) {}

  /// Adds an attempt of the owner's task at `task_index` and returns its id.
  SubRequestId Add(AttemptOwner* owner, std::size_t task_index);

  /// Removes an attempt. Later events of the attempt are dropped.
  void Remove(SubRequestId id) { m_entries.erase(id); }

  /// Delivers the choice or refusal of the gate to the owner. Ignores removed
  /// attempts, whose gate tickets were abandoned when they were removed.
  void DeliverChoice(SubRequestId id, Result<ReplicaChoice> choice);

  /// Delivers the outcome of an attempt to its owner. Outcomes of removed
  /// attempts are counted as late.
  void DeliverOutcome(SubRequestId id, SubOutcome outcome);

  /// Returns the number of pending attempts.
  [[nodiscard]] std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    AttemptOwner* owner;
    std::size_t task_index;
  };

  SubRequestId m_next_id;
  QueryCounters* m_counters;
  std::unordered_map<SubRequestId, Entry> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_ATTEMPT_TABLE_H_
