#include "replication/client_queues.h"

#include <cassert>
#include <numeric>
#include <utility>

namespace chicoryvale {

// A callback may add to the queues, so each callback is removed from its queue
// before it is called.

void ProposalQueue::Add(LogIndex index, ProposalEnd end, Callback callback) {
  m_pending.insert_or_assign(index, Pending{end, std::move(callback)});
}

void ProposalQueue::Complete(LogIndex index, Result<std::string> result) {
  auto node = m_pending.extract(index);
  if (node.empty()) return;
  Pending& pending = node.mapped();
  if (pending.end == ProposalEnd::kApplied) {
    return pending.callback(std::move(result));
  }
  m_applied.insert_or_assign(
      index, Applied{std::move(pending.callback), std::move(result)});
}

void ProposalQueue::CompleteKnown(LogIndex index) {
  while (!m_applied.empty() && m_applied.begin()->first <= index) {
    auto node = m_applied.extract(m_applied.begin());
    node.mapped().callback(std::move(node.mapped().result));
  }
}

void ProposalQueue::FailAll(const Error& error) {
  const auto applied = std::exchange(m_applied, {});
  const auto pending = std::exchange(m_pending, {});
  for (const auto& [index, proposal] : applied) {
    proposal.callback(tl::unexpected<Error>(error));
  }
  for (const auto& [index, proposal] : pending) {
    proposal.callback(tl::unexpected<Error>(error));
  }
}

void ReadQueue::Add(Callback callback) {
  m_unassigned_reads.push_back(std::move(callback));
}

void ReadQueue::AssignRound(std::uint64_t heartbeat_round) {
  assert(m_reads_by_round.empty() ||
         m_reads_by_round.rbegin()->first < heartbeat_round);
  m_reads_by_round.emplace(heartbeat_round,
                           std::exchange(m_unassigned_reads, {}));
}

void ReadQueue::Complete(std::uint64_t quorum_heartbeat_round,
                         LogIndex applied_index) {
  while (!m_reads_by_round.empty() &&
         m_reads_by_round.begin()->first <= quorum_heartbeat_round) {
    const auto callbacks = std::move(m_reads_by_round.begin()->second);
    m_reads_by_round.erase(m_reads_by_round.begin());
    for (const Callback& callback : callbacks) callback(applied_index);
  }
}

void ReadQueue::FailAll(const Error& error) {
  const auto unassigned_reads = std::exchange(m_unassigned_reads, {});
  const auto reads_by_round = std::exchange(m_reads_by_round, {});
  for (const auto& [heartbeat_round, callbacks] : reads_by_round) {
    for (const Callback& callback : callbacks) {
      callback(tl::unexpected<Error>(error));
    }
  }
  for (const Callback& callback : unassigned_reads) {
    callback(tl::unexpected<Error>(error));
  }
}

std::size_t ReadQueue::Size() const {
  return std::accumulate(m_reads_by_round.begin(), m_reads_by_round.end(),
                         m_unassigned_reads.size(),
                         [](std::size_t sum, const auto& entry) {
                           return sum + entry.second.size();
                         });
}

}  // namespace chicoryvale
