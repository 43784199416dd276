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
  m_leader = envelope.from;
  m_leader_address = envelope.from_address;
  m_leader_heard = m_ports.scheduler->Now();
  ArmElectionTimer();
}

void ReplicaNode::Handle(const Envelope& envelope,
                         const AppendRequest& request) {
  if (!IsWellFormed(request)) {
    m_counters.Add(ReplicationCounter::kMessagesMalformed);
    return;
  }
  FollowLeader(envelope);
  if (const auto hint = FindDisagreement(request)) {
    m_counters.Add(ReplicationCounter::kAppendsRefused);
    Answer(envelope, AppendReply{false, *hint, request.round});
    return;
  }
  TakeEntries(request);
  if (!Persist()) return;
  const LogIndex agreed = request.prev_index + request.entries.size();
  m_commit_index =
      std::max(m_commit_index, std::min(request.commit_index, agreed));
  ApplyCommitted();
  Answer(envelope, AppendReply{true, agreed, request.round});
}

/// Returns an index below which the logs may agree, or nothing if they agree
/// where the request begins. Skips the whole term that disagrees (Ongaro and
/// Ousterhout, section 5.3).
std::optional<LogIndex> ReplicaNode::FindDisagreement(
    const AppendRequest& request) const {
  if (request.prev_index > m_log->LastIndex()) return m_log->LastIndex();
  const auto term = m_log->TermAt(request.prev_index);
  // What is compacted is committed and agrees.
  if (!term || *term == request.prev_term) return std::nullopt;
  LogIndex hint = request.prev_index - 1;
  while (hint > m_commit_index && m_log->TermAt(hint) == term) --hint;
  return hint;
}

void ReplicaNode::TakeEntries(const AppendRequest& request) {
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= m_commit_index) continue;
    if (m_log->TermAt(entry.index) == entry.term) continue;
    m_log->Append(entry);
  }
}

void ReplicaNode::Handle(const Envelope& envelope, const AppendReply& reply) {
  if (!IsLeader()) return;
  m_replicator->OnAppendReply(envelope.from, reply, m_ports.scheduler->Now());
  OnProgress(envelope.from);
}

void ReplicaNode::Handle(const Envelope& envelope, const SnapshotChunk& chunk) {
  FollowLeader(envelope);
  SnapshotReply reply{chunk.index, 0, false, chunk.round};
  if (chunk.index > m_commit_index) {
    auto snapshot =
        m_snapshot_receiver.Take(envelope.from, envelope.term, chunk);
    if (snapshot) InstallSnapshot(std::move(*snapshot));
    if (m_role == ReplicaRole::kFailed) return;
  }
  reply.installed = chunk.index <= m_commit_index;
  reply.next_offset = m_snapshot_receiver.NextOffset();
  Answer(envelope, reply);
}

void ReplicaNode::Handle(const Envelope& envelope, const SnapshotReply& reply) {
  if (!IsLeader()) return;
  m_replicator->OnSnapshotReply(envelope.from, reply, m_ports.scheduler->Now());
  OnProgress(envelope.from);
}

void ReplicaNode::InstallSnapshot(LogSnapshot snapshot) {
  if (!m_ports.state_machine->Restore(snapshot.data)) {
    Fail({ErrorKind::kStorageFailed, "the state machine refused a snapshot",
          Ran::kMaybe});
    return;
  }
  m_counters.Add(ReplicationCounter::kSnapshotsInstalled);
  const LogIndex index = snapshot.index;
  const auto installed = m_log->InstallSnapshot(std::move(snapshot));
  if (!installed) {
    Fail(installed.error());
    return;
  }
  m_commit_index = index;
  m_applied_index = index;
}

LogIndex ReplicaNode::AppendOwn(EntryKind kind, std::string data) {
  assert(IsLeader());
  const LogIndex index = m_log->LastIndex() + 1;
  m_log->Append({index, CurrentTerm(), kind, std::move(data)});
  ScheduleFlush();
  return index;
}

void ReplicaNode::ScheduleFlush() {
  if (m_flush_timer != 0) return;
  m_flush_timer = m_ports.scheduler->Schedule(Duration::zero(), [this] {
    m_flush_timer = 0;
    if (IsLeader()) Flush();
  });
}

// Entries leave for the others before they are synced here (Ongaro, Consensus:
// Bridging Theory and Practice, section 10.2.1); the leader counts itself only
// up to what it has synced.
void ReplicaNode::Flush() {
  const bool confirms = m_reads.HasUnassigned() && HasCommittedInTerm();
  if (confirms) m_reads.Assign(m_replicator->StartRound());
  for (const GroupMember& member : m_log->Membership().members) {
    SendContent(member, confirms);
  }
  if (!Persist()) return;
  AdvanceCommit();
  if (!IsLeader()) return;
  m_reads.Complete(m_replicator->QuorumRound(), m_applied_index);
}

void ReplicaNode::SendContent(const GroupMember& member, bool or_heartbeat) {
  if (member.node_id == Self()) return;
  auto message = m_replicator->NextContent(member.node_id, m_commit_index);
  if (!message && or_heartbeat) {
    message = m_replicator->NextHeartbeat(member.node_id, m_commit_index);
  }
  if (!message) return;
  Send(member.address, member.node_id, CurrentTerm(), std::move(*message));
}

void ReplicaNode::OnHeartbeat() {
  m_heartbeat_timer = m_ports.scheduler->Schedule(m_options.heartbeat_interval,
                                                  [this] { OnHeartbeat(); });
  const TimePoint now = m_ports.scheduler->Now();
  if (!m_replicator->HeardQuorum(now - m_options.min_election_timeout)) {
    ResignWithoutQuorum();
    return;
  }
  for (const GroupMember& member : m_log->Membership().members) {
    SendContent(member, true);
  }
  if (m_waiting_change && m_waiting_change->deadline <= now) {
    FailWaitingChange({ErrorKind::kUpstreamUnavailable,
                       "the new replica does not answer", Ran::kNo});
  }
  MaybeChangeMembership();
}

void ReplicaNode::OnProgress(NodeId node) {
  AdvanceCommit();
  if (!IsLeader()) return;
  m_reads.Complete(m_replicator->QuorumRound(), m_applied_index);
  if (!IsLeader()) return;
  const GroupMember* member = FindMember(m_log->Membership(), node);
  if (member != nullptr) SendContent(*member, false);
  MaybeChangeMembership();
}

bool ReplicaNode::HasCommittedInTerm() const {
  return m_log->TermAt(m_commit_index) == CurrentTerm();
}

// Only entries of the leader's own term are committed by counting replicas
// (Ongaro and Ousterhout, section 5.4.2).
void ReplicaNode::AdvanceCommit() {
  const LogIndex index = m_replicator->QuorumIndex(m_synced_index);
  if (index <= m_commit_index || m_log->TermAt(index) != CurrentTerm()) return;
  m_commit_index = index;
  ApplyCommitted();
  if (!IsLeader()) return;
  if (m_reads.HasUnassigned()) ScheduleFlush();
  LeaveIfRemoved();
}

void ReplicaNode::ApplyCommitted() {
  while (m_applied_index < m_commit_index) {
    const LogIndex index = ++m_applied_index;
    const LogEntry& entry = m_log->EntryAt(index);
    std::string result;
    if (entry.kind == EntryKind::kCommand) {
      result = m_ports.state_machine->Apply(index, entry.data);
    }
    m_counters.Add(ReplicationCounter::kEntriesApplied);
    m_proposals.Complete(index, std::move(result));
  }
  MaybeCompact();
}

void ReplicaNode::MaybeCompact() {
  const LogIndex since = m_applied_index - m_log->Snapshot().index;
  const bool many = since >= m_options.snapshot_threshold_entries;
  const bool large = since > m_options.trailing_entries &&
                     m_log->LogBytes() >= m_options.snapshot_log_bytes;
  if (!many && !large) return;
  m_counters.Add(ReplicationCounter::kSnapshotsTaken);
  LogSnapshot snapshot;
  snapshot.index = m_applied_index;
  snapshot.term = m_log->TermAt(m_applied_index).value();
  snapshot.membership = m_log->MembershipAt(m_applied_index);
  snapshot.data = m_ports.state_machine->Snapshot();
  const auto compacted =
      m_log->Compact(std::move(snapshot), m_options.trailing_entries);
  if (!compacted) {
    Fail(compacted.error());
    return;
  }
  // The new file holds all entries, synced.
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
