#include "replication/client_queues.h"

#include <cassert>
#include <numeric>
#include <utility>

namespace chicoryvale {

// Callbacks may add to the queues: each is taken out before it is called.

void ProposalQueue::Add(LogIndex index, Callback callback) {
  m_callbacks.insert_or_assign(index, std::move(callback));
}

void ProposalQueue::Complete(LogIndex index, Result<std::string> result) {
  const auto found = m_callbacks.find(index);
  if (found == m_callbacks.end()) return;
  const Callback callback = std::move(found->second);
  m_callbacks.erase(found);
  callback(std::move(result));
}

void ProposalQueue::FailAll(const Error& error) {
  const auto callbacks = std::exchange(m_callbacks, {});
  for (const auto& [index, callback] : callbacks) {
    callback(tl::unexpected<Error>(error));
  }
}

void ReadQueue::Add(Callback callback) {
  m_unassigned.push_back(std::move(callback));
}

void ReadQueue::Assign(std::uint64_t round) {
  assert(m_by_round.empty() || m_by_round.rbegin()->first < round);
  m_by_round.emplace(round, std::exchange(m_unassigned, {}));
}

void ReadQueue::Complete(std::uint64_t quorum_round, LogIndex applied_index) {
  while (!m_by_round.empty() && m_by_round.begin()->first <= quorum_round) {
    const auto callbacks = std::move(m_by_round.begin()->second);
    m_by_round.erase(m_by_round.begin());
    for (const Callback& callback : callbacks) callback(applied_index);
  }
}

void ReadQueue::FailAll(const Error& error) {
  const auto unassigned = std::exchange(m_unassigned, {});
  const auto by_round = std::exchange(m_by_round, {});
  for (const auto& [round, callbacks] : by_round) {
    for (const Callback& callback : callbacks) {
      callback(tl::unexpected<Error>(error));
    }
  }
  for (const Callback& callback : unassigned) {
    callback(tl::unexpected<Error>(error));
  }
}

std::size_t ReadQueue::Size() const {
  return std::accumulate(m_by_round.begin(), m_by_round.end(),
                         m_unassigned.size(),
                         [](std::size_t sum, const auto& entry) {
                           return sum + entry.second.size();
                         });
}

}  // namespace chicoryvale
