// Formation and membership changes of the group in ReplicaNode.

#include <utility>

#include "base/codec.h"
#include "replication/membership_plan.h"
#include "replication/replica_node.h"

namespace chicoryvale {
namespace {

/// Number of election timeouts without contact after which a replica may take
/// itself to be outside the group.
constexpr int kElectionsBeforeOutside = 2;
/// Number of Hello intervals for which the leader in a reply counts.
constexpr int kHellosPerLeaderHint = 3;

}  // namespace

// A replica without recent contact with a leader sends its identity to the
// other replicas, because it may have lost its disk, or a change that was never
// committed may have added it.
void ReplicaNode::OnHelloTimer() {
  m_hello_timer = m_dependencies.scheduler->Schedule(
      m_options.hello_interval, [this] { OnHelloTimer(); });
  if (HasRecentLeaderContact()) return;
  for (const Address& address : HelloAddresses()) SendHello(address);
  if (IsInGroup()) return;
  const bool may_form =
      m_options.may_form_group && !m_log->Identity().replaces_damaged_state;
  if (!may_form) return;
  if (const auto plan = m_formation.MakeMembership(SelfId())) FormGroup(*plan);
}

std::set<Address> ReplicaNode::HelloAddresses() const {
  std::set<Address> addresses(m_options.initial_members.begin(),
                              m_options.initial_members.end());
  for (const GroupMember& member : m_log->Membership().members) {
    addresses.insert(member.address);
  }
  addresses.erase(m_options.address);
  return addresses;
}

void ReplicaNode::SendHello(const Address& to) {
  const std::uint64_t nonce = m_random();
  m_hello_nonces[to.host_port] = nonce;
  Send(to, 0, CurrentTerm(), HelloRequest{nonce});
}

void ReplicaNode::FormGroup(const GroupMembership& membership) {
  const GroupId group_id = m_random() | 1U;
  LogSnapshot initial;
  initial.index = 1;
  initial.term = 1;
  initial.membership = membership;
  initial.data = m_dependencies.state_machine->Snapshot();
  const auto formed = m_log->FormGroup(group_id, std::move(initial));
  if (!formed) {
    EnterFailedState(formed.error());
    return;
  }
  m_commit_index = 1;
  m_applied_index = 1;
  m_synced_index = m_log->LastIndex();
  StartCampaign(true);
}

void ReplicaNode::Handle(const Envelope& envelope,
                         const HelloRequest& request) {
  // The identity in the reply is durable: it was synced when it was created.
  Send(envelope.from_address, envelope.from, CurrentTerm(),
       HelloReply{request.nonce, m_leader_address});
  const bool is_unknown_identity =
      IsLeader() && !IsOtherGroup(envelope.group_id) &&
      FindMember(m_log->Membership(), envelope.from) == nullptr;
  if (!is_unknown_identity) return;
  if (FindMemberAt(m_log->Membership(), envelope.from_address) == nullptr) {
    return;
  }
  // The request may be old, so the leader acts only on the reply to a new
  // request.
  SendHello(envelope.from_address);
}

void ReplicaNode::Handle(const Envelope& envelope, const HelloReply& reply) {
  const auto nonce = m_hello_nonces.find(envelope.from_address.host_port);
  if (nonce == m_hello_nonces.end() || nonce->second != reply.nonce) return;
  m_hello_nonces.erase(nonce);
  RememberLeader(envelope, reply);
  if (IsInGroup()) {
    OnMemberHelloReply(envelope);
    return;
  }
  m_formation.OnHelloReply(envelope.from_address, envelope.from,
                           envelope.group_id);
  const bool leader_is_elsewhere = envelope.group_id != 0 &&
                                   !reply.leader.host_port.empty() &&
                                   reply.leader != envelope.from_address;
  if (leader_is_elsewhere) SendHello(reply.leader);
}

void ReplicaNode::RememberLeader(const Envelope& envelope,
                                 const HelloReply& reply) {
  const bool is_from_member =
      envelope.group_id != 0 &&
      (!IsInGroup() || !IsOtherGroup(envelope.group_id));
  if (!is_from_member || reply.leader.host_port.empty()) return;
  m_leader_by_hello = reply.leader;
  m_leader_by_hello_at = m_dependencies.scheduler->Now();
}

// A voter that has lost its leader a moment ago gets no answer here: the other
// voters may still name the leader that was lost, and a new one makes contact.
Address ReplicaNode::LeaderByHello() const {
  const TimePoint now = m_dependencies.scheduler->Now();
  const bool may_be_voter =
      m_last_leader_contact &&
      now - *m_last_leader_contact <
          kElectionsBeforeOutside * m_options.max_election_timeout;
  const bool is_recent = now - m_leader_by_hello_at <=
                         kHellosPerLeaderHint * m_options.hello_interval;
  return may_be_voter || !is_recent ? Address{} : m_leader_by_hello;
}

bool ReplicaNode::IsOtherGroup(GroupId group_id) const {
  return group_id != 0 && group_id != m_log->Identity().group_id;
}

void ReplicaNode::OnMemberHelloReply(const Envelope& envelope) {
  if (!IsLeader() || IsOtherGroup(envelope.group_id)) return;
  const bool is_pending_member =
      m_pending_change && m_pending_change->change.add == envelope.from_address;
  if (is_pending_member) {
    ProposePendingChange(envelope.from);
  } else {
    ReplaceMemberIdentity(envelope.from_address, envelope.from);
  }
}

// The replica at a member's address replied with another identity, so its data
// folder was lost or damaged. The new identity becomes a learner that replaces
// the old one.
void ReplicaNode::ReplaceMemberIdentity(const Address& address,
                                        NodeId node_id) {
  if (!CanChangeMembership()) return;
  const GroupMembership& current = m_log->Membership();
  if (FindMember(current, node_id) != nullptr) return;
  const GroupMember* old_member = FindMemberAt(current, address);
  if (old_member == nullptr) return;
  const NodeId replaced_voter_id =
      old_member->voter ? old_member->node_id : old_member->replaced_voter_id;
  ProposeMembership(AddLearner(current, node_id, address, replaced_voter_id));
}

bool ReplicaNode::CanChangeMembership() const {
  // Only one change may be uncommitted at a time, and there may be none before
  // an entry of the current term is committed (Ongaro, bug in single-server
  // membership changes, raft-dev, 2015).
  return IsLeader() && HasCommittedInCurrentTerm() &&
         m_log->MembershipIndex() <= m_commit_index;
}

LogIndex ReplicaNode::ProposeMembership(const GroupMembership& membership) {
  m_counters.Add(ReplicationCounter::kMembershipChanges);
  const LogIndex index =
      AppendAsLeader(EntryKind::kMembership, Encode(membership));
  m_replicator->UpdateMembers(m_dependencies.scheduler->Now());
  return index;
}

void ReplicaNode::ProposeMembershipWithCallback(
    const GroupMembership& membership, MemberCallback callback) {
  m_proposals.Add(
      ProposeMembership(membership), ProposalEnd::kApplied,
      [callback = std::move(callback)](const Result<std::string>& result) {
        if (result) {
          callback({});
        } else {
          callback(tl::unexpected<Error>(result.error()));
        }
      });
}

void ReplicaNode::MaybeChangeMembership() {
  if (!CanChangeMembership()) return;
  const TimePoint since =
      m_dependencies.scheduler->Now() - m_options.min_election_timeout;
  const auto next = PlanNextMembership(
      m_log->Membership(),
      [this](const GroupMember& member) {
        return m_replicator->HasSynced(member.node_id, m_commit_index);
      },
      [this, since](const GroupMember& member) {
        return m_replicator->HasContact(member.node_id, since);
      });
  if (next) ProposeMembership(*next);
}

std::vector<NodeId> ReplicaNode::SilentMembers() const {
  const TimePoint since =
      m_dependencies.scheduler->Now() - m_options.silent_member_timeout;
  std::vector<NodeId> silent;
  for (const GroupMember& member : m_log->Membership().members) {
    if (!m_replicator->HasContact(member.node_id, since)) {
      silent.push_back(member.node_id);
    }
  }
  return silent;
}

bool ReplicaNode::IsChangeInEffect(const GroupMemberChange& change) const {
  const GroupMembership& current = m_log->Membership();
  const GroupMember* added = FindMemberAt(current, change.add);
  const GroupMember* removed = FindMemberAt(current, change.remove);
  const bool replaces_removed = added != nullptr && removed != nullptr &&
                                added->replaced_voter_id == removed->node_id;
  const bool add_done = change.add.host_port.empty() || added != nullptr;
  const bool remove_done =
      change.remove.host_port.empty() || removed == nullptr || replaces_removed;
  return add_done && remove_done;
}

Result<void> ReplicaNode::ValidateChange(
    const GroupMemberChange& change) const {
  if (!IsLeader()) return MakeError(ErrorKind::kNotLeader, LeaderHint());
  if (m_pending_change || !CanChangeMembership()) {
    return MakeError(ErrorKind::kOverloaded,
                     "another change of members is in progress");
  }
  const LogIndex current_index = m_log->MembershipIndex();
  if (change.expected_index.value_or(current_index) != current_index) {
    return MakeError(
        ErrorKind::kVersionConflict,
        "expected group version " + std::to_string(*change.expected_index) +
            ", current version " + std::to_string(m_log->MembershipIndex()));
  }
  const bool adds = !change.add.host_port.empty();
  const GroupMembership& current = m_log->Membership();
  if (!adds && CountVoters(current) == 1) {
    return MakeError(ErrorKind::kInvalidChange,
                     "the last voter cannot be removed");
  }
  if (adds && change.remove.host_port.empty() &&
      current.members.size() >= kMaxVoters) {
    return MakeError(ErrorKind::kInvalidChange,
                     "the group has " + std::to_string(kMaxVoters) +
                         " members, which is the maximum");
  }
  if (adds && FindMemberAt(current, change.add) != nullptr) {
    return MakeError(ErrorKind::kInvalidChange,
                     change.add.host_port + " is already a member");
  }
  const bool removes_unknown_member =
      !change.remove.host_port.empty() &&
      FindMemberAt(current, change.remove) == nullptr;
  if (removes_unknown_member) {
    return MakeError(
        ErrorKind::kInvalidChange,
        change.remove.host_port + " is not a member; no change was made");
  }
  return {};
}

void ReplicaNode::ChangeMembers(const GroupMemberChange& change,
                                MemberCallback callback) {
  const bool done = CanChangeMembership() && IsChangeInEffect(change);
  const Result<void> valid = done ? Result<void>() : ValidateChange(change);
  if (done || !valid) {
    Defer([callback = std::move(callback), valid] { callback(valid); });
    return;
  }
  if (change.add.host_port.empty()) {
    const GroupMembership& current = m_log->Membership();
    const GroupMember* leaving = FindMemberAt(current, change.remove);
    ProposeMembershipWithCallback(RemoveMember(current, leaving->node_id),
                                  std::move(callback));
    return;
  }
  m_pending_change = PendingMemberChange{
      change, std::move(callback),
      m_dependencies.scheduler->Now() + m_options.new_member_reply_timeout};
  SendHello(change.add);
}

void ReplicaNode::ProposePendingChange(NodeId node_id) {
  const PendingMemberChange pending_change = std::move(*m_pending_change);
  m_pending_change.reset();
  const GroupMembership& current = m_log->Membership();
  const bool is_member = FindMember(current, node_id) != nullptr;
  if (!CanChangeMembership() || is_member) {
    pending_change.callback(
        MakeError(ErrorKind::kOverloaded,
                  "the members changed before the new replica replied"));
    return;
  }
  const GroupMember* leaving =
      FindMemberAt(current, pending_change.change.remove);
  const NodeId replaced_voter_id = leaving == nullptr ? 0 : leaving->node_id;
  ProposeMembershipWithCallback(
      AddLearner(current, node_id, pending_change.change.add,
                 replaced_voter_id),
      pending_change.callback);
}

void ReplicaNode::FailPendingChange(const Error& error) {
  if (!m_pending_change) return;
  const MemberCallback callback = std::move(m_pending_change->callback);
  m_pending_change.reset();
  callback(tl::unexpected<Error>(error));
}

void ReplicaNode::StepDownIfRemoved() {
  const bool committed = m_log->MembershipIndex() <= m_commit_index;
  if (!committed || IsVoter(m_log->Membership(), SelfId())) return;
  // The other members receive the commit index before the leader steps down.
  for (const GroupMember& member : m_log->Membership().members) {
    Send(member.address, member.node_id, CurrentTerm(),
         m_replicator->NextHeartbeat(member.node_id, m_commit_index));
  }
  BecomeFollower(CurrentTerm());
}

}  // namespace chicoryvale
