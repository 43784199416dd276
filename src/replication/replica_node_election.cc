// Terms, votes and leadership of ReplicaNode.

#include <cassert>
#include <random>
#include <utility>
#include <variant>

#include "replication/replica_node.h"

namespace chicoryvale {
namespace {

/// Part of the election timeouts that holds until a replica has heard a leader
/// since its start. A group whose processes all ended has a leader sooner; in
/// one that has a leader, those that hear it refuse the pre-vote.
constexpr int kFirstElectionPercent = 35;
constexpr int kPercent = 100;

}  // namespace

bool ReplicaNode::HearsLeader() const {
  if (IsLeader()) return true;
  return m_leader != 0 && m_leader_heard.has_value() &&
         m_ports.scheduler->Now() - *m_leader_heard <
             m_options.min_election_timeout;
}

// A replica that hears a leader answers no campaign, so that one that comes
// back from an isolation disturbs nothing (Ongaro, Consensus: Bridging Theory
// and Practice, section 4.2.3).
bool ReplicaNode::AdmitTerm(const Envelope& envelope) {
  const auto* vote = std::get_if<VoteRequest>(&envelope.message);
  if (vote != nullptr && HearsLeader()) {
    m_counters.Add(ReplicationCounter::kVotesRefused);
    if (vote->pre_vote) Answer(envelope, VoteReply{true, false, envelope.term});
    return false;
  }
  if (vote != nullptr && vote->pre_vote) return true;
  if (envelope.term > CurrentTerm()) {
    if (IsLeader()) m_counters.Add(ReplicationCounter::kSteppedDownForTerm);
    BecomeFollower(envelope.term);
    return true;
  }
  if (envelope.term == CurrentTerm()) return true;
  // A pre-vote is granted by replicas of older terms too.
  const auto* reply = std::get_if<VoteReply>(&envelope.message);
  if (reply != nullptr && reply->pre_vote) return true;
  m_counters.Add(ReplicationCounter::kMessagesOfOldTerm);
  RefuseOldTerm(envelope);
  return false;
}

// Tells an old leader or candidate the current term.
void ReplicaNode::RefuseOldTerm(const Envelope& envelope) {
  if (std::holds_alternative<VoteRequest>(envelope.message)) {
    Answer(envelope, VoteReply{false, false, envelope.term});
  }
  const bool from_leader =
      std::holds_alternative<AppendRequest>(envelope.message) ||
      std::holds_alternative<SnapshotChunk>(envelope.message);
  if (from_leader) Answer(envelope, AppendReply{});
}

void ReplicaNode::Handle(const Envelope& envelope, const VoteRequest& request) {
  const LogPosition own = {m_log->LastTerm(), m_log->LastIndex()};
  const bool granted =
      GrantsVote(m_log->State(), own, envelope.from, envelope.term, request);
  if (!granted) m_counters.Add(ReplicationCounter::kVotesRefused);
  if (granted && !request.pre_vote) {
    m_log->SetHardState({CurrentTerm(), envelope.from});
    ArmElectionTimer();
  }
  Answer(envelope, VoteReply{request.pre_vote, granted, envelope.term});
}

void ReplicaNode::Handle(const Envelope& envelope, const VoteReply& reply) {
  const bool campaigning =
      m_role == ReplicaRole::kPreCandidate || m_role == ReplicaRole::kCandidate;
  if (!campaigning || reply.pre_vote != m_campaign.IsPreVote() ||
      reply.requested_term != m_campaign.ForTerm()) {
    return;
  }
  m_campaign.Record(envelope.from, reply.granted);
  JudgeCampaign();
}

void ReplicaNode::ArmElectionTimer() {
  m_ports.scheduler->Cancel(m_election_timer);
  const int percent = m_leader_heard ? kPercent : kFirstElectionPercent;
  std::uniform_int_distribution<Duration::rep> timeout(
      m_options.min_election_timeout.count() * percent / kPercent,
      m_options.max_election_timeout.count() * percent / kPercent);
  m_election_timer = m_ports.scheduler->Schedule(
      Duration(timeout(m_random)), [this] { OnElectionTimeout(); });
}

void ReplicaNode::OnElectionTimeout() {
  m_election_timer = 0;
  m_leader = 0;
  m_leader_address = {};
  if (InGroup() && IsVoter(m_log->Membership(), Self())) {
    StartCampaign(true);
  } else {
    ArmElectionTimer();
  }
}

void ReplicaNode::StartCampaign(bool pre_vote) {
  m_counters.Add(pre_vote ? ReplicationCounter::kPreVotesStarted
                          : ReplicationCounter::kElectionsStarted);
  m_role = pre_vote ? ReplicaRole::kPreCandidate : ReplicaRole::kCandidate;
  if (!pre_vote) m_log->SetHardState({CurrentTerm() + 1, Self()});
  if (!Persist()) return;
  m_campaign = Campaign(CurrentTerm() + (pre_vote ? 1 : 0), pre_vote);
  m_campaign.Record(Self(), true);
  ArmElectionTimer();
  const VoteRequest request{pre_vote, m_log->LastIndex(), m_log->LastTerm()};
  for (const GroupMember& member : m_log->Membership().members) {
    if (!member.voter || member.node_id == Self()) continue;
    Send(member.address, member.node_id, m_campaign.ForTerm(), request);
  }
  JudgeCampaign();
}

void ReplicaNode::JudgeCampaign() {
  switch (m_campaign.Judge(m_log->Membership())) {
    case CampaignStatus::kOpen:
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
    m_leader = 0;
    m_leader_address = {};
  }
  const bool was_leader = IsLeader();
  m_role = ReplicaRole::kFollower;
  if (!was_leader) return;
  m_leader = 0;
  m_leader_address = {};
  m_replicator.reset();
  m_ports.scheduler->Cancel(std::exchange(m_heartbeat_timer, 0));
  ArmElectionTimer();
  FailWaiting({ErrorKind::kNotLeader, "leadership was lost", Ran::kMaybe});
}

void ReplicaNode::BecomeLeader() {
  m_counters.Add(ReplicationCounter::kElectionsWon);
  m_role = ReplicaRole::kLeader;
  m_leader = Self();
  m_leader_address = m_options.address;
  m_ports.scheduler->Cancel(std::exchange(m_election_timer, 0));
  m_replicator.emplace(m_log.get(), Self(), m_options.replicator);
  m_replicator->UpdateMembers(m_ports.scheduler->Now());
  AppendOwn(EntryKind::kEmpty, {});
  m_heartbeat_timer = m_ports.scheduler->Schedule(m_options.heartbeat_interval,
                                                  [this] { OnHeartbeat(); });
}

void ReplicaNode::ResignWithoutQuorum() {
  m_counters.Add(ReplicationCounter::kSteppedDownWithoutQuorum);
  FailWaiting(
      {ErrorKind::kNoQuorum, "the leader hears no quorum", Ran::kMaybe});
  if (IsLeader()) BecomeFollower(CurrentTerm());
}

void ReplicaNode::FailWaiting(const Error& error) {
  m_counters.Add(ReplicationCounter::kProposalsLost, m_proposals.Size());
  m_counters.Add(ReplicationCounter::kReadsLost, m_reads.Size());
  m_proposals.FailAll(error);
  m_reads.FailAll({error.kind, error.message, Ran::kNo});
  FailWaitingChange({error.kind, error.message, Ran::kNo});
}

}  // namespace chicoryvale
