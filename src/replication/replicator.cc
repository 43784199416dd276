#include "replication/replicator.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>
#include <vector>

#include "base/codec.h"

namespace chicoryvale {

Replicator::Replicator(const LogStorage* log, NodeId self,
                       const ReplicatorOptions& options)
    : m_log(log), m_self(self), m_options(options) {
  assert(log != nullptr && self != 0);
}

void Replicator::UpdateMembers(TimePoint now) {
  const GroupMembership& membership = m_log->Membership();
  std::erase_if(m_progress, [&membership](const auto& entry) {
    return FindMember(membership, entry.first) == nullptr;
  });
  for (const GroupMember& member : membership.members) {
    if (member.node_id == m_self) continue;
    const auto [entry, added] = m_progress.try_emplace(member.node_id);
    if (!added) continue;
    entry->second.next = m_log->LastIndex() + 1;
    entry->second.heard = now;
  }
}

bool Replicator::NeedsSnapshot(const Progress& progress) const {
  return progress.next < m_log->FirstIndex();
}

std::optional<Message> Replicator::NextContent(NodeId node,
                                               LogIndex commit_index) {
  Progress& progress = m_progress.at(node);
  if (progress.waiting) return std::nullopt;
  if (NeedsSnapshot(progress)) return MakeChunk(&progress);
  if (progress.next > m_log->LastIndex()) return std::nullopt;
  return MakeEntries(&progress, commit_index);
}

Message Replicator::NextHeartbeat(NodeId node, LogIndex commit_index) {
  Progress& progress = m_progress.at(node);
  progress.probed = progress.waiting;
  const LogIndex base_index = m_log->FirstIndex() - 1;
  return MakeAppend(std::max(progress.next - 1, base_index), commit_index);
}

const std::string& Replicator::EncodedSnapshot() {
  const LogSnapshot& snapshot = m_log->Snapshot();
  if (m_encoded_index != snapshot.index) {
    m_encoded = Encode(snapshot);
    m_encoded_index = snapshot.index;
  }
  return m_encoded;
}

Message Replicator::MakeChunk(Progress* progress) {
  const std::string& encoded = EncodedSnapshot();
  if (progress->snapshot_index != m_encoded_index) {
    progress->snapshot_index = m_encoded_index;
    progress->snapshot_offset = 0;
  }
  progress->waiting = true;
  progress->probed = false;
  progress->sent_through = m_encoded_index;
  return SnapshotChunk{m_encoded_index, encoded.size(),
                       progress->snapshot_offset, m_round,
                       encoded.substr(progress->snapshot_offset,
                                      m_options.snapshot_chunk_bytes)};
}

AppendRequest Replicator::MakeAppend(LogIndex prev_index,
                                     LogIndex commit_index) const {
  AppendRequest request;
  request.prev_index = prev_index;
  request.prev_term = m_log->TermAt(request.prev_index).value();
  request.commit_index = commit_index;
  request.round = m_round;
  return request;
}

Message Replicator::MakeEntries(Progress* progress, LogIndex commit_index) {
  AppendRequest request = MakeAppend(progress->next - 1, commit_index);
  std::size_t bytes = 0;
  for (LogIndex index = progress->next; index <= m_log->LastIndex(); ++index) {
    const LogEntry& entry = m_log->EntryAt(index);
    const bool fits = bytes + entry.data.size() <= m_options.max_append_bytes;
    if (!fits && !request.entries.empty()) break;
    bytes += entry.data.size();
    request.entries.push_back(entry);
  }
  if (!request.entries.empty()) {
    progress->waiting = true;
    progress->probed = false;
    progress->sent_through = request.entries.back().index;
  }
  return request;
}

Replicator::Progress* Replicator::NoteHeard(NodeId node, std::uint64_t round,
                                            TimePoint now) {
  const auto found = m_progress.find(node);
  if (found == m_progress.end()) return nullptr;
  Progress& progress = found->second;
  progress.heard = now;
  progress.round = std::max(progress.round, round);
  return &progress;
}

void Replicator::Advance(Progress* progress, LogIndex index) {
  progress->match = std::max(progress->match, index);
  progress->next = std::max(progress->next, progress->match + 1);
}

void Replicator::OnAppendReply(NodeId node, const AppendReply& reply,
                               TimePoint now) {
  Progress* heard = NoteHeard(node, reply.round, now);
  if (heard == nullptr) return;
  Progress& progress = *heard;
  if (reply.accepted) {
    Advance(&progress, reply.index);
    const bool complete = progress.match >= progress.sent_through;
    if (complete || progress.probed) progress.waiting = false;
    return;
  }
  // The index may lie below what agrees: in an old refusal, or in one of a
  // replica that has skipped a whole term.
  progress.next =
      std::clamp(reply.index + 1, progress.match + 1, m_log->LastIndex() + 1);
  progress.waiting = false;
}

void Replicator::OnSnapshotReply(NodeId node, const SnapshotReply& reply,
                                 TimePoint now) {
  Progress* heard = NoteHeard(node, reply.round, now);
  if (heard == nullptr) return;
  Progress& progress = *heard;
  if (reply.installed) {
    Advance(&progress, reply.index);
    progress.waiting = false;
    return;
  }
  if (reply.index != progress.snapshot_index) return;
  if (reply.next_offset >= EncodedSnapshot().size()) return;
  progress.snapshot_offset = reply.next_offset;
  progress.waiting = false;
}

template <typename Value, typename Projection>
Value Replicator::QuorumValue(Value own, Projection projection) const {
  std::vector<Value> values;
  for (const GroupMember& member : m_log->Membership().members) {
    if (!member.voter) continue;
    const bool is_self = member.node_id == m_self;
    values.push_back(
        is_self ? own : std::invoke(projection, m_progress.at(member.node_id)));
  }
  assert(!values.empty());
  std::ranges::sort(values, std::greater<>());
  return values[QuorumSize(m_log->Membership()) - 1];
}

LogIndex Replicator::QuorumIndex(LogIndex own_synced) const {
  return QuorumValue(own_synced, &Progress::match);
}

std::uint64_t Replicator::QuorumRound() const {
  return QuorumValue(m_round, &Progress::round);
}

bool Replicator::HeardQuorum(TimePoint since) const {
  return QuorumValue(TimePoint::max(), &Progress::heard) > since;
}

bool Replicator::Heard(NodeId node, TimePoint since) const {
  if (node == m_self) return true;
  const auto found = m_progress.find(node);
  return found != m_progress.end() && found->second.heard > since;
}

bool Replicator::HasSynced(NodeId node, LogIndex index) const {
  const auto found = m_progress.find(node);
  return found != m_progress.end() && found->second.match >= index;
}

}  // namespace chicoryvale
