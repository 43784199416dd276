#include "query/attempt_table.h"

#include <utility>

namespace chicoryvale {

SubRequestId AttemptTable::Add(AttemptOwner* owner, std::size_t task_index) {
  const SubRequestId id = m_next_id++;
  m_entries.emplace(id, Entry{owner, task_index});
  return id;
}

void AttemptTable::DeliverChoice(SubRequestId id,
                                 Result<ReplicaChoice> choice) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) return;
  const Entry entry = found->second;
  entry.owner->HandleChoice(entry.task_index, id, std::move(choice));
}

void AttemptTable::DeliverOutcome(SubRequestId id, SubOutcome outcome) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    m_counters->Add(QueryCounter::kDroppedLate);
    return;
  }
  const Entry entry = found->second;
  entry.owner->HandleOutcome(entry.task_index, id, std::move(outcome));
}

}  // namespace chicoryvale
