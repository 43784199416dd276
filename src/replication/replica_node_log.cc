// Log, commit and state machine of ReplicaNode.

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/codec.h"
#include "replication/replica_node.h"

namespace chicoryvale {
namespace {

bool IsWellFormed(const LogEntry& entry) {
  if (entry.kind > EntryKind::kMembership) return false;
  if (entry.kind != EntryKind::kMembership) return true;
  GroupMembership membership;
  return Decode(entry.data, &membership);
}

bool IsWellFormed(const AppendRequest& request) {
  LogIndex index = request.prev_index;
  return std::ranges::all_of(request.entries, [&index](const LogEntry& entry) {
    return entry.index == ++index && IsWellFormed(entry);
  });
}

}  // namespace

void ReplicaNode::FollowLeader(const Envelope& envelope) {
  assert(!IsLeader());
  m_role = ReplicaRole::kFollower;
  m_leader_id = envelope.from;
  m_leader_address = envelope.from_address;
  m_last_leader_contact = m_dependencies.scheduler->Now();
  ResetElectionTimer();
}

void ReplicaNode::Handle(const Envelope& envelope,
                         const AppendRequest& request) {
  if (!IsWellFormed(request)) {
    m_counters.Add(ReplicationCounter::kMessagesMalformed);
    return;
  }
  FollowLeader(envelope);
  if (const auto hint = FindConflictHint(request)) {
    m_counters.Add(ReplicationCounter::kAppendsRefused);
    Reply(envelope, AppendReply{false, *hint, request.heartbeat_round});
    return;
  }
  AppendNewEntries(request);
  if (!Persist()) return;
  const LogIndex match_index = request.prev_index + request.entries.size();
  m_commit_index =
      std::max(m_commit_index, std::min(request.commit_index, match_index));
  ApplyCommitted();
  Reply(envelope, AppendReply{true, match_index, request.heartbeat_round});
}

/// Returns an index at or below which the logs may match, or nothing if they
/// match at the entry before those of `request`. Skips all entries of the
/// conflicting term (Ongaro and Ousterhout, section 5.3).
std::optional<LogIndex> ReplicaNode::FindConflictHint(
    const AppendRequest& request) const {
  if (request.prev_index > m_log->LastIndex()) return m_log->LastIndex();
  const auto term = m_log->TermAt(request.prev_index);
  // Compacted entries are committed, so they match the leader's log.
  if (!term || *term == request.prev_term) return std::nullopt;
  LogIndex hint = request.prev_index - 1;
  while (hint > m_commit_index && m_log->TermAt(hint) == term) --hint;
  return hint;
}

void ReplicaNode::AppendNewEntries(const AppendRequest& request) {
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= m_commit_index) continue;
    if (m_log->TermAt(entry.index) == entry.term) continue;
    m_log->Append(entry);
  }
}

void ReplicaNode::Handle(const Envelope& envelope, const AppendReply& reply) {
  if (!IsLeader()) return;
  m_replicator->OnAppendReply(envelope.from, reply,
                              m_dependencies.scheduler->Now());
  OnReplicationProgress(envelope.from);
}

void ReplicaNode::Handle(const Envelope& envelope, const SnapshotChunk& chunk) {
  FollowLeader(envelope);
  SnapshotReply reply{chunk.index, 0, false, chunk.heartbeat_round};
  if (chunk.index > m_commit_index) {
    auto snapshot =
        m_snapshot_receiver.AddChunk(envelope.from, envelope.term, chunk);
    if (snapshot) InstallSnapshot(std::move(*snapshot));
    if (m_role == ReplicaRole::kFailed) return;
  }
  reply.installed = chunk.index <= m_commit_index;
  reply.next_offset = m_snapshot_receiver.NextOffset();
  Reply(envelope, reply);
}

void ReplicaNode::Handle(const Envelope& envelope, const SnapshotReply& reply) {
  if (!IsLeader()) return;
  m_replicator->OnSnapshotReply(envelope.from, reply,
                                m_dependencies.scheduler->Now());
  OnReplicationProgress(envelope.from);
}

void ReplicaNode::InstallSnapshot(LogSnapshot snapshot) {
  if (!m_dependencies.state_machine->Restore(snapshot.data)) {
    EnterFailedState({ErrorKind::kStorageFailed,
                      "the state machine refused the leader's snapshot",
                      Ran::kMaybe});
    return;
  }
  m_counters.Add(ReplicationCounter::kSnapshotsInstalled);
  const LogIndex index = snapshot.index;
  const auto installed = m_log->InstallSnapshot(std::move(snapshot));
  if (!installed) {
    EnterFailedState(installed.error());
    return;
  }
  m_commit_index = index;
  m_applied_index = index;
}

LogIndex ReplicaNode::AppendAsLeader(EntryKind kind, std::string data) {
  assert(IsLeader());
  const LogIndex index = m_log->LastIndex() + 1;
  m_log->Append({index, CurrentTerm(), kind, std::move(data)});
  ScheduleFlush();
  return index;
}

void ReplicaNode::ScheduleFlush() {
  if (m_flush_timer != 0) return;
  m_flush_timer = m_dependencies.scheduler->Schedule(Duration::zero(), [this] {
    m_flush_timer = 0;
    if (IsLeader()) Flush();
  });
}

// The leader sends entries to the other replicas before it has synced them
// itself (Ongaro, Consensus: Bridging Theory and Practice, section 10.2.1). It
// counts itself in a quorum only for the entries that it has synced.
void ReplicaNode::Flush() {
  const bool starts_round =
      m_reads.HasUnassignedReads() && HasCommittedInCurrentTerm();
  if (starts_round) {
    m_reads.AssignRound(m_replicator->StartRound(m_commit_index));
  }
  for (const GroupMember& member : m_log->Membership().members) {
    ReplicateTo(member, starts_round);
  }
  if (!Persist()) return;
  AdvanceCommitIndex();
  if (!IsLeader()) return;
  m_reads.Complete(m_replicator->QuorumHeartbeatRound(), m_applied_index);
}

void ReplicaNode::ReplicateTo(const GroupMember& member,
                              bool heartbeat_if_idle) {
  if (member.node_id == SelfId()) return;
  auto message = m_replicator->NextDataMessage(member.node_id, m_commit_index);
  if (!message && heartbeat_if_idle) {
    message = m_replicator->NextHeartbeat(member.node_id, m_commit_index);
  }
  if (!message) return;
  Send(member.address, member.node_id, CurrentTerm(), std::move(*message));
}

void ReplicaNode::OnHeartbeat() {
  m_heartbeat_timer = m_dependencies.scheduler->Schedule(
      m_options.heartbeat_interval, [this] { OnHeartbeat(); });
  const TimePoint now = m_dependencies.scheduler->Now();
  if (!m_replicator->HasQuorumContact(now - m_options.min_election_timeout)) {
    StepDownWithoutQuorum();
    return;
  }
  for (const GroupMember& member : m_log->Membership().members) {
    ReplicateTo(member, true);
  }
  if (m_pending_change && m_pending_change->deadline <= now) {
    FailPendingChange({ErrorKind::kUpstreamUnavailable,
                       "the new replica does not reply", Ran::kNo});
  }
  MaybeChangeMembership();
}

void ReplicaNode::OnReplicationProgress(NodeId node) {
  AdvanceCommitIndex();
  if (!IsLeader()) return;
  m_reads.Complete(m_replicator->QuorumHeartbeatRound(), m_applied_index);
  if (!IsLeader()) return;
  CompleteKnownProposals();
  if (!IsLeader()) return;
  const GroupMember* member = FindMember(m_log->Membership(), node);
  const bool lacks_commit = m_proposals.AwaitsQuorum() &&
                            !m_replicator->KnowsCommit(node, m_commit_index);
  if (member != nullptr) ReplicateTo(*member, lacks_commit);
  MaybeChangeMembership();
}

bool ReplicaNode::HasCommittedInCurrentTerm() const {
  return m_log->TermAt(m_commit_index) == CurrentTerm();
}

// Only entries of the leader's current term are committed by counting the
// replicas that have them (Ongaro and Ousterhout, section 5.4.2).
void ReplicaNode::AdvanceCommitIndex() {
  const LogIndex index = m_replicator->QuorumIndex(m_synced_index);
  if (index <= m_commit_index || m_log->TermAt(index) != CurrentTerm()) return;
  m_commit_index = index;
  ApplyCommitted();
  if (!IsLeader()) return;
  if (m_reads.HasUnassignedReads()) ScheduleFlush();
  AnnounceCommit();
  CompleteKnownProposals();
  if (IsLeader()) StepDownIfRemoved();
}

void ReplicaNode::AnnounceCommit() {
  if (!m_proposals.AwaitsQuorum()) return;
  m_replicator->StartRound(m_commit_index);
  for (const GroupMember& member : m_log->Membership().members) {
    // A replica with a message in flight is told once it has replied.
    if (m_replicator->IsAwaitingReply(member.node_id)) continue;
    ReplicateTo(member, true);
  }
}

void ReplicaNode::CompleteKnownProposals() {
  if (!m_proposals.AwaitsQuorum()) return;
  m_proposals.CompleteKnown(m_replicator->QuorumKnownCommit(m_commit_index));
}

void ReplicaNode::ApplyCommitted() {
  while (m_applied_index < m_commit_index) {
    const LogIndex index = ++m_applied_index;
    const LogEntry& entry = m_log->EntryAt(index);
    std::string result;
    if (entry.kind == EntryKind::kCommand) {
      result = m_dependencies.state_machine->Apply(index, entry.data);
    }
    m_counters.Add(ReplicationCounter::kEntriesApplied);
    m_proposals.Complete(index, std::move(result));
  }
  MaybeCompactLog();
}

void ReplicaNode::MaybeCompactLog() {
  const LogIndex entries_since_snapshot =
      m_applied_index - m_log->Snapshot().index;
  const bool has_many_entries =
      entries_since_snapshot >= m_options.snapshot_threshold_entries;
  const std::size_t max_log_bytes = std::max(
      m_options.min_compacted_log_bytes,
      m_options.max_log_to_snapshot_ratio * m_log->Snapshot().data.size());
  const bool is_large =
      entries_since_snapshot > 0 && m_log->LogBytes() >= max_log_bytes;
  if (!has_many_entries && !is_large) return;
  m_counters.Add(ReplicationCounter::kSnapshotsTaken);
  LogSnapshot snapshot;
  snapshot.index = m_applied_index;
  snapshot.term = m_log->TermAt(m_applied_index).value();
  snapshot.membership = m_log->MembershipAt(m_applied_index);
  snapshot.data = m_dependencies.state_machine->Snapshot();
  const auto compacted =
      m_log->Compact(std::move(snapshot), m_options.trailing_entries);
  if (!compacted) {
    EnterFailedState(compacted.error());
    return;
  }
  // The new file contains all entries, and it is synced.
  m_synced_index = m_log->LastIndex();
}

std::size_t ReplicaNode::CountUnapplied(
    const std::function<bool(const std::string& command)>& predicate) const {
  std::size_t count = 0;
  for (LogIndex i = m_applied_index + 1; i <= m_log->LastIndex(); ++i) {
    const LogEntry& entry = m_log->EntryAt(i);
    if (entry.kind == EntryKind::kCommand && predicate(entry.data)) ++count;
  }
  return count;
}

}  // namespace chicoryvale
