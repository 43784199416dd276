#include "replication/replicator.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>
#include <vector>

#include "base/codec.h"

namespace chicoryvale {
namespace {

/// Number of heartbeat rounds whose commit index is remembered. A reply to an
/// older one says nothing of what its sender knows.
constexpr std::size_t kMaxRememberedRounds = 256;

}  // namespace

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
    entry->second.next_index = m_log->LastIndex() + 1;
    entry->second.last_contact = now;
  }
}

bool Replicator::NeedsSnapshot(const Progress& progress) const {
  return progress.next_index < m_log->FirstIndex();
}

std::optional<Message> Replicator::NextDataMessage(NodeId node,
                                                   LogIndex commit_index) {
  Progress& progress = m_progress.at(node);
  if (progress.awaiting_reply) return std::nullopt;
  if (NeedsSnapshot(progress)) return MakeSnapshotChunk(&progress);
  if (progress.next_index > m_log->LastIndex()) return std::nullopt;
  return MakeEntriesMessage(&progress, commit_index);
}

Message Replicator::NextHeartbeat(NodeId node, LogIndex commit_index) {
  Progress& progress = m_progress.at(node);
  progress.heartbeat_sent = progress.awaiting_reply;
  const LogIndex base_index = m_log->FirstIndex() - 1;
  return MakeAppendRequest(std::max(progress.next_index - 1, base_index),
                           commit_index);
}

const std::string& Replicator::EncodedSnapshot() {
  const LogSnapshot& snapshot = m_log->Snapshot();
  if (m_encoded_snapshot_index != snapshot.index) {
    m_encoded_snapshot = Encode(snapshot);
    m_encoded_snapshot_index = snapshot.index;
  }
  return m_encoded_snapshot;
}

Message Replicator::MakeSnapshotChunk(Progress* progress) {
  const std::string& encoded = EncodedSnapshot();
  if (progress->snapshot_index != m_encoded_snapshot_index) {
    progress->snapshot_index = m_encoded_snapshot_index;
    progress->snapshot_offset = 0;
  }
  progress->awaiting_reply = true;
  progress->heartbeat_sent = false;
  progress->last_sent_index = m_encoded_snapshot_index;
  return SnapshotChunk{m_encoded_snapshot_index, encoded.size(),
                       progress->snapshot_offset, m_heartbeat_round,
                       encoded.substr(progress->snapshot_offset,
                                      m_options.snapshot_chunk_bytes)};
}

AppendRequest Replicator::MakeAppendRequest(LogIndex prev_index,
                                            LogIndex commit_index) const {
  AppendRequest request;
  request.prev_index = prev_index;
  request.prev_term = m_log->TermAt(request.prev_index).value();
  request.commit_index = commit_index;
  request.heartbeat_round = m_heartbeat_round;
  return request;
}

Message Replicator::MakeEntriesMessage(Progress* progress,
                                       LogIndex commit_index) {
  AppendRequest request =
      MakeAppendRequest(progress->next_index - 1, commit_index);
  std::size_t bytes = 0;
  for (LogIndex index = progress->next_index; index <= m_log->LastIndex();
       ++index) {
    const LogEntry& entry = m_log->EntryAt(index);
    const bool fits = bytes + entry.data.size() <= m_options.max_append_bytes;
    if (!fits && !request.entries.empty()) break;
    bytes += entry.data.size();
    request.entries.push_back(entry);
  }
  if (!request.entries.empty()) {
    progress->awaiting_reply = true;
    progress->heartbeat_sent = false;
    progress->last_sent_index = request.entries.back().index;
  }
  return request;
}

std::uint64_t Replicator::StartRound(LogIndex commit_index) {
  m_commit_by_round.emplace(++m_heartbeat_round, commit_index);
  if (m_commit_by_round.size() > kMaxRememberedRounds) {
    m_commit_by_round.erase(m_commit_by_round.begin());
  }
  return m_heartbeat_round;
}

LogIndex Replicator::CommitOfRound(std::uint64_t heartbeat_round) const {
  const auto found = m_commit_by_round.find(heartbeat_round);
  return found == m_commit_by_round.end() ? 0 : found->second;
}

Replicator::Progress* Replicator::RecordReply(NodeId node,
                                              std::uint64_t heartbeat_round,
                                              TimePoint now) {
  const auto found = m_progress.find(node);
  if (found == m_progress.end()) return nullptr;
  Progress& progress = found->second;
  progress.last_contact = now;
  progress.heartbeat_round =
      std::max(progress.heartbeat_round, heartbeat_round);
  return &progress;
}

void Replicator::AdvanceMatchIndex(Progress* progress, LogIndex index) {
  progress->match_index = std::max(progress->match_index, index);
  progress->next_index =
      std::max(progress->next_index, progress->match_index + 1);
}

void Replicator::OnAppendReply(NodeId node, const AppendReply& reply,
                               TimePoint now) {
  Progress* found = RecordReply(node, reply.heartbeat_round, now);
  if (found == nullptr) return;
  Progress& progress = *found;
  if (reply.accepted) {
    AdvanceMatchIndex(&progress, reply.index);
    // The replica takes the commit index of a message up to the last entry that
    // the message shows to match.
    progress.known_commit =
        std::max(progress.known_commit,
                 std::min(CommitOfRound(reply.heartbeat_round), reply.index));
    const bool acked = progress.match_index >= progress.last_sent_index;
    if (acked || progress.heartbeat_sent) progress.awaiting_reply = false;
    return;
  }
  // The index may be below the match index: in a delayed refusal, or in that of
  // a replica that has skipped all entries of a term.
  progress.next_index = std::clamp(reply.index + 1, progress.match_index + 1,
                                   m_log->LastIndex() + 1);
  progress.awaiting_reply = false;
}

void Replicator::OnSnapshotReply(NodeId node, const SnapshotReply& reply,
                                 TimePoint now) {
  Progress* found = RecordReply(node, reply.heartbeat_round, now);
  if (found == nullptr) return;
  Progress& progress = *found;
  if (reply.installed) {
    AdvanceMatchIndex(&progress, reply.index);
    progress.known_commit = std::max(progress.known_commit, reply.index);
    progress.awaiting_reply = false;
    return;
  }
  if (reply.index != progress.snapshot_index) return;
  if (reply.next_offset >= EncodedSnapshot().size()) return;
  progress.snapshot_offset = reply.next_offset;
  progress.awaiting_reply = false;
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

LogIndex Replicator::QuorumIndex(LogIndex leader_synced_index) const {
  return QuorumValue(leader_synced_index, &Progress::match_index);
}

std::uint64_t Replicator::QuorumHeartbeatRound() const {
  return QuorumValue(m_heartbeat_round, &Progress::heartbeat_round);
}

LogIndex Replicator::QuorumKnownCommit(LogIndex leader_commit_index) const {
  return QuorumValue(leader_commit_index, &Progress::known_commit);
}

bool Replicator::KnowsCommit(NodeId node, LogIndex index) const {
  const auto found = m_progress.find(node);
  return found != m_progress.end() && found->second.known_commit >= index;
}

bool Replicator::IsAwaitingReply(NodeId node) const {
  const auto found = m_progress.find(node);
  return found != m_progress.end() && found->second.awaiting_reply;
}

bool Replicator::HasQuorumContact(TimePoint since) const {
  return QuorumValue(TimePoint::max(), &Progress::last_contact) > since;
}

bool Replicator::HasContact(NodeId node, TimePoint since) const {
  if (node == m_self) return true;
  const auto found = m_progress.find(node);
  return found != m_progress.end() && found->second.last_contact > since;
}

bool Replicator::HasSynced(NodeId node, LogIndex index) const {
  const auto found = m_progress.find(node);
  return found != m_progress.end() && found->second.match_index >= index;
}

}  // namespace chicoryvale
