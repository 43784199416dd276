// Terms, votes and leadership of ReplicaNode.

#include <cassert>
#include <random>
#include <utility>
#include <variant>

#include "replication/replica_node.h"

namespace chicoryvale {
namespace {

/// Percentage of the election timeouts that applies until the replica has had
/// contact with a leader since its start. With it, a group whose processes have
/// all restarted elects a leader sooner. In a group that has a leader, the
/// replicas with contact with the leader refuse the early pre-vote.
constexpr int kInitialElectionTimeoutPercent = 35;
constexpr int kFullPercent = 100;

}  // namespace

bool ReplicaNode::HasRecentLeaderContact() const {
  if (IsLeader()) return true;
  return m_leader_id != 0 && m_last_leader_contact.has_value() &&
         m_dependencies.scheduler->Now() - *m_last_leader_contact <
             m_options.min_election_timeout;
}

// A replica with recent contact with a leader grants no vote, so that a replica
// that returns from isolation does not disrupt the group (Ongaro, Consensus:
// Bridging Theory and Practice, section 4.2.3).
bool ReplicaNode::AdmitTerm(const Envelope& envelope) {
  const auto* vote = std::get_if<VoteRequest>(&envelope.message);
  if (vote != nullptr && HasRecentLeaderContact()) {
    m_counters.Add(ReplicationCounter::kVotesRefused);
    if (vote->pre_vote) Reply(envelope, VoteReply{true, false, envelope.term});
    return false;
  }
  if (vote != nullptr && vote->pre_vote) return true;
  if (envelope.term > CurrentTerm()) {
    if (IsLeader()) m_counters.Add(ReplicationCounter::kSteppedDownForTerm);
    BecomeFollower(envelope.term);
    return true;
  }
  if (envelope.term == CurrentTerm()) return true;
  // Replicas in older terms can also grant a pre-vote.
  const auto* reply = std::get_if<VoteReply>(&envelope.message);
  if (reply != nullptr && reply->pre_vote) return true;
  m_counters.Add(ReplicationCounter::kMessagesOfOldTerm);
  ReplyWithCurrentTerm(envelope);
  return false;
}

// Sends the current term to a leader or candidate of an older term.
void ReplicaNode::ReplyWithCurrentTerm(const Envelope& envelope) {
  if (std::holds_alternative<VoteRequest>(envelope.message)) {
    Reply(envelope, VoteReply{false, false, envelope.term});
  }
  const bool from_leader =
      std::holds_alternative<AppendRequest>(envelope.message) ||
      std::holds_alternative<SnapshotChunk>(envelope.message);
  if (from_leader) Reply(envelope, AppendReply{});
}

void ReplicaNode::Handle(const Envelope& envelope, const VoteRequest& request) {
  const LogPosition own = {m_log->LastTerm(), m_log->LastIndex()};
  const bool granted = ShouldGrantVote(m_log->CurrentHardState(), own,
                                       envelope.from, envelope.term, request);
  if (!granted) m_counters.Add(ReplicationCounter::kVotesRefused);
  if (granted && !request.pre_vote) {
    m_log->SetHardState({CurrentTerm(), envelope.from});
    ResetElectionTimer();
  }
  Reply(envelope, VoteReply{request.pre_vote, granted, envelope.term});
}

void ReplicaNode::Handle(const Envelope& envelope, const VoteReply& reply) {
  const bool campaigning =
      m_role == ReplicaRole::kPreCandidate || m_role == ReplicaRole::kCandidate;
  if (!campaigning || reply.pre_vote != m_campaign.IsPreVote() ||
      reply.requested_term != m_campaign.TargetTerm()) {
    return;
  }
  m_campaign.RecordVote(envelope.from, reply.granted);
  EvaluateCampaign();
}

void ReplicaNode::ResetElectionTimer() {
  m_dependencies.scheduler->Cancel(m_election_timer);
  const int percent =
      m_last_leader_contact ? kFullPercent : kInitialElectionTimeoutPercent;
  std::uniform_int_distribution<Duration::rep> timeout(
      m_options.min_election_timeout.count() * percent / kFullPercent,
      m_options.max_election_timeout.count() * percent / kFullPercent);
  m_election_timer = m_dependencies.scheduler->Schedule(
      Duration(timeout(m_random)), [this] { OnElectionTimeout(); });
}

void ReplicaNode::OnElectionTimeout() {
  m_election_timer = 0;
  m_leader_id = 0;
  m_leader_address = {};
  if (IsInGroup() && IsVoter(m_log->Membership(), SelfId())) {
    StartCampaign(true);
  } else {
    ResetElectionTimer();
  }
}

void ReplicaNode::StartCampaign(bool pre_vote) {
  m_counters.Add(pre_vote ? ReplicationCounter::kPreVotesStarted
                          : ReplicationCounter::kElectionsStarted);
  m_role = pre_vote ? ReplicaRole::kPreCandidate : ReplicaRole::kCandidate;
  if (!pre_vote) m_log->SetHardState({CurrentTerm() + 1, SelfId()});
  if (!Persist()) return;
  m_campaign = Campaign(CurrentTerm() + (pre_vote ? 1 : 0), pre_vote);
  m_campaign.RecordVote(SelfId(), true);
  ResetElectionTimer();
  const VoteRequest request{pre_vote, m_log->LastIndex(), m_log->LastTerm()};
  for (const GroupMember& member : m_log->Membership().members) {
    if (!member.voter || member.node_id == SelfId()) continue;
    Send(member.address, member.node_id, m_campaign.TargetTerm(), request);
  }
  EvaluateCampaign();
}

void ReplicaNode::EvaluateCampaign() {
  switch (m_campaign.EvaluateVotes(m_log->Membership())) {
    case CampaignStatus::kUndecided:
      return;
    case CampaignStatus::kLost:
      BecomeFollower(CurrentTerm());
      return;
    case CampaignStatus::kWon:
      if (m_campaign.IsPreVote()) {
        StartCampaign(false);
      } else {
        BecomeLeader();
      }
      return;
  }
}

void ReplicaNode::BecomeFollower(Term term) {
  assert(term >= CurrentTerm());
  if (term > CurrentTerm()) {
    m_log->SetHardState({term, 0});
    m_leader_id = 0;
    m_leader_address = {};
  }
  const bool was_leader = IsLeader();
  m_role = ReplicaRole::kFollower;
  if (!was_leader) return;
  m_leader_id = 0;
  m_leader_address = {};
  m_replicator.reset();
  m_dependencies.scheduler->Cancel(std::exchange(m_heartbeat_timer, 0));
  ResetElectionTimer();
  FailPendingRequests(
      {ErrorKind::kNotLeader, "leadership was lost", Ran::kMaybe});
}

void ReplicaNode::BecomeLeader() {
  m_counters.Add(ReplicationCounter::kElectionsWon);
  m_role = ReplicaRole::kLeader;
  m_leader_id = SelfId();
  m_leader_address = m_options.address;
  m_dependencies.scheduler->Cancel(std::exchange(m_election_timer, 0));
  m_replicator.emplace(m_log.get(), SelfId(), m_options.replicator);
  m_replicator->UpdateMembers(m_dependencies.scheduler->Now());
  AppendAsLeader(EntryKind::kEmpty, {});
  m_heartbeat_timer = m_dependencies.scheduler->Schedule(
      m_options.heartbeat_interval, [this] { OnHeartbeat(); });
}

void ReplicaNode::StepDownWithoutQuorum() {
  m_counters.Add(ReplicationCounter::kSteppedDownWithoutQuorum);
  FailPendingRequests({ErrorKind::kNoQuorum,
                       "the leader has no contact with a quorum", Ran::kMaybe});
  if (IsLeader()) BecomeFollower(CurrentTerm());
}

void ReplicaNode::FailPendingRequests(const Error& error) {
  m_counters.Add(ReplicationCounter::kProposalsLost, m_proposals.Size());
  m_counters.Add(ReplicationCounter::kReadsLost, m_reads.Size());
  m_proposals.FailAll(error);
  m_reads.FailAll({error.kind, error.message, Ran::kNo});
  FailPendingChange({error.kind, error.message, Ran::kNo});
}

}  // namespace chicoryvale
