#include "admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <numeric>

namespace chicoryvale {

void FairQueue::SetWeights(const std::vector<WorkspaceWeight>& weights) {
  m_weights.clear();
  for (const WorkspaceWeight& configured : weights) {
    m_weights[configured.workspace] = std::max(1U, configured.weight);
  }
  for (auto& [name, workspace] : m_workspaces) {
    workspace.weight = Weight(name);
  }
}

void FairQueue::Push(const WaitingQuery& query) {
  Workspace& workspace = FindOrCreate(query.workspace);
  // A workspace gets no credit for the time in which it was idle.
  if (workspace.waiting.empty()) {
    workspace.start_tag = std::max(workspace.start_tag, m_virtual_time);
  }
  workspace.waiting.emplace(Key(query.deadline, query.ticket), query);
  ++m_size;
}

std::optional<WaitingQuery> FairQueue::Pop(const Filter& filter) {
  Workspace* next = nullptr;
  for (auto& [name, workspace] : m_workspaces) {
    if (workspace.waiting.empty()) continue;
    if (next != nullptr && workspace.start_tag >= next->start_tag) continue;
    if (filter(name)) next = &workspace;
  }
  if (next == nullptr) return std::nullopt;
  m_virtual_time = next->start_tag;
  next->start_tag += 1 / next->weight;
  return Extract(next, next->waiting.begin());
}

void FairQueue::Remove(const WaitingQuery& query) {
  const auto found = m_workspaces.find(query.workspace);
  if (found == m_workspaces.end()) return;
  const std::size_t erased =
      found->second.waiting.erase(Key(query.deadline, query.ticket));
  m_size -= erased;
}

std::vector<WaitingQuery> FairQueue::RemoveDueBefore(TimePoint time) {
  std::vector<WaitingQuery> due;
  for (auto& [name, workspace] : m_workspaces) {
    while (!workspace.waiting.empty() &&
           workspace.waiting.begin()->first.first < time) {
      due.push_back(Extract(&workspace, workspace.waiting.begin()));
    }
  }
  return due;
}

WaitingQuery FairQueue::RemoveLatest(const std::string& workspace) {
  Workspace& found = FindOrCreate(workspace);
  assert(!found.waiting.empty());
  return Extract(&found, std::prev(found.waiting.end()));
}

std::string FairQueue::LongestByWeight() const {
  const auto length = [](const Workspaces::value_type& entry) {
    return static_cast<double>(entry.second.waiting.size()) /
           entry.second.weight;
  };
  const auto longest = std::ranges::max_element(m_workspaces, {}, length);
  return longest == m_workspaces.end() ? std::string() : longest->first;
}

std::size_t FairQueue::Size(const std::string& workspace) const {
  const auto found = m_workspaces.find(workspace);
  return found == m_workspaces.end() ? 0 : found->second.waiting.size();
}

std::size_t FairQueue::CountAheadOfNew(const std::string& workspace) const {
  const std::size_t own = Size(workspace);
  return std::accumulate(
      m_workspaces.begin(), m_workspaces.end(), std::size_t{0},
      [own](std::size_t sum, const auto& entry) {
        return sum + std::min(entry.second.waiting.size(), own);
      });
}

TimePoint FairQueue::EarliestDeadline() const {
  TimePoint earliest = TimePoint::max();
  for (const auto& [name, workspace] : m_workspaces) {
    if (workspace.waiting.empty()) continue;
    earliest = std::min(earliest, workspace.waiting.begin()->first.first);
  }
  return earliest;
}

FairQueue::Workspace& FairQueue::FindOrCreate(const std::string& name) {
  const auto found = m_workspaces.find(name);
  if (found != m_workspaces.end()) return found->second;
  if (m_workspaces.size() >= kMaxTrackedWorkspaces) {
    std::erase_if(m_workspaces, [](const auto& entry) {
      return entry.second.waiting.empty();
    });
  }
  Workspace& created = m_workspaces[name];
  created.weight = Weight(name);
  return created;
}

double FairQueue::Weight(const std::string& name) const {
  const auto found = m_weights.find(name);
  return found == m_weights.end() ? 1 : found->second;
}

WaitingQuery FairQueue::Extract(Workspace* workspace,
                                std::map<Key, WaitingQuery>::iterator query) {
  WaitingQuery taken = std::move(query->second);
  workspace->waiting.erase(query);
  --m_size;
  return taken;
}

}  // namespace chicoryvale
