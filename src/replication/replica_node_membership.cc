// Formation of the group and changes of its members in ReplicaNode.

#include <utility>

#include "base/codec.h"
#include "replication/membership_plan.h"
#include "replication/replica_node.h"

namespace chicoryvale {

// A replica that hears no leader says who it is: it may have lost its disk, or
// have been added by a change that was never committed.
void ReplicaNode::OnHelloTimer() {
  m_hello_timer = m_ports.scheduler->Schedule(m_options.hello_interval,
                                              [this] { OnHelloTimer(); });
  if (HearsLeader()) return;
  for (const Address& address : HelloAddresses()) SendHello(address);
  if (InGroup()) return;
  const bool may_form =
      m_options.may_form_group && !m_log->Identity().replaces_damaged_state;
  if (!may_form) return;
  if (const auto first = m_formation.Ready(Self())) FormGroup(*first);
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
  LogSnapshot first;
  first.index = 1;
  first.term = 1;
  first.membership = membership;
  first.data = m_ports.state_machine->Snapshot();
  const auto formed = m_log->FormGroup(group_id, std::move(first));
  if (!formed) {
    Fail(formed.error());
    return;
  }
  m_commit_index = 1;
  m_applied_index = 1;
  m_synced_index = m_log->LastIndex();
  StartCampaign(true);
}

void ReplicaNode::Handle(const Envelope& envelope,
                         const HelloRequest& request) {
  // Answers with the identity on disk, which was synced when it was made.
  Send(envelope.from_address, envelope.from, CurrentTerm(),
       HelloReply{request.nonce, m_leader_address});
  const bool stranger =
      IsLeader() && !IsForeign(envelope.group_id) &&
      FindMember(m_log->Membership(), envelope.from) == nullptr;
  if (!stranger) return;
  if (FindMemberAt(m_log->Membership(), envelope.from_address) == nullptr) {
    return;
  }
  // The message may be old: only an answer from now on is acted upon.
  SendHello(envelope.from_address);
}

void ReplicaNode::Handle(const Envelope& envelope, const HelloReply& reply) {
  const auto nonce = m_hello_nonces.find(envelope.from_address.host_port);
  if (nonce == m_hello_nonces.end() || nonce->second != reply.nonce) return;
  m_hello_nonces.erase(nonce);
  if (InGroup()) {
    OnMemberAnswer(envelope);
    return;
  }
  m_formation.OnAnswer(envelope.from_address, envelope.from, envelope.group_id);
  const bool elsewhere = envelope.group_id != 0 &&
                         !reply.leader.host_port.empty() &&
                         reply.leader != envelope.from_address;
  if (elsewhere) SendHello(reply.leader);
}

bool ReplicaNode::IsForeign(GroupId group_id) const {
  return group_id != 0 && group_id != m_log->Identity().group_id;
}

void ReplicaNode::OnMemberAnswer(const Envelope& envelope) {
  if (!IsLeader() || IsForeign(envelope.group_id)) return;
  const bool awaited =
      m_waiting_change && m_waiting_change->change.add == envelope.from_address;
  if (awaited) {
    FinishWaitingChange(envelope.from);
  } else {
    RepairMember(envelope.from_address, envelope.from);
  }
}

// A member's address answers with another identity: its data folder is gone or
// was damaged. The new identity becomes a learner in the place of the old one.
void ReplicaNode::RepairMember(const Address& address, NodeId node_id) {
  if (!MayChangeMembership()) return;
  const GroupMembership& current = m_log->Membership();
  if (FindMember(current, node_id) != nullptr) return;
  const GroupMember* old = FindMemberAt(current, address);
  if (old == nullptr) return;
  const NodeId replaces = old->voter ? old->node_id : old->replaces;
  ProposeMembership(WithLearner(current, node_id, address, replaces));
}

bool ReplicaNode::MayChangeMembership() const {
  // One uncommitted change at a time, and none before an entry of this term is
  // committed (Ongaro, bug in single-server membership changes, raft-dev,
  // 2015).
  return IsLeader() && HasCommittedInTerm() &&
         m_log->MembershipIndex() <= m_commit_index;
}

LogIndex ReplicaNode::ProposeMembership(const GroupMembership& membership) {
  m_counters.Add(ReplicationCounter::kMembershipChanges);
  const LogIndex index = AppendOwn(EntryKind::kMembership, Encode(membership));
  m_replicator->UpdateMembers(m_ports.scheduler->Now());
  return index;
}

void ReplicaNode::ProposeChange(const GroupMembership& membership,
                                MemberCallback callback) {
  m_proposals.Add(
      ProposeMembership(membership),
      [callback = std::move(callback)](const Result<std::string>& result) {
        if (result) {
          callback({});
        } else {
          callback(tl::unexpected<Error>(result.error()));
        }
      });
}

void ReplicaNode::MaybeChangeMembership() {
  if (!MayChangeMembership()) return;
  const TimePoint since =
      m_ports.scheduler->Now() - m_options.min_election_timeout;
  const auto next = PlanMembership(
      m_log->Membership(),
      [this](const GroupMember& member) {
        return m_replicator->HasSynced(member.node_id, m_commit_index);
      },
      [this, since](const GroupMember& member) {
        return m_replicator->Heard(member.node_id, since);
      });
  if (next) ProposeMembership(*next);
}

bool ReplicaNode::IsDone(const GroupMemberChange& change) const {
  const GroupMembership& current = m_log->Membership();
  const GroupMember* added = FindMemberAt(current, change.add);
  const GroupMember* removed = FindMemberAt(current, change.remove);
  const bool replaces_removed = added != nullptr && removed != nullptr &&
                                added->replaces == removed->node_id;
  const bool add_done = change.add.host_port.empty() || added != nullptr;
  const bool remove_done =
      change.remove.host_port.empty() || removed == nullptr || replaces_removed;
  return add_done && remove_done;
}

Result<void> ReplicaNode::CheckChange(const GroupMemberChange& change) const {
  if (!IsLeader()) return MakeError(ErrorKind::kNotLeader, LeaderHint());
  if (m_waiting_change || !MayChangeMembership()) {
    return MakeError(ErrorKind::kOverloaded,
                     "another change of members is under way");
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
    return MakeError(
        ErrorKind::kInvalidChange,
        "the group has " + std::to_string(kMaxVoters) + " members already");
  }
  if (adds && FindMemberAt(current, change.add) != nullptr) {
    return MakeError(ErrorKind::kInvalidChange,
                     change.add.host_port + " is a member already");
  }
  const bool unknown = !change.remove.host_port.empty() &&
                       FindMemberAt(current, change.remove) == nullptr;
  if (unknown) {
    return MakeError(ErrorKind::kInvalidChange,
                     change.remove.host_port + " is no member");
  }
  return {};
}

void ReplicaNode::ChangeMembers(const GroupMemberChange& change,
                                MemberCallback callback) {
  const bool done = MayChangeMembership() && IsDone(change);
  const Result<void> valid = done ? Result<void>() : CheckChange(change);
  if (done || !valid) {
    Defer([callback = std::move(callback), valid] { callback(valid); });
    return;
  }
  if (change.add.host_port.empty()) {
    const GroupMembership& current = m_log->Membership();
    const GroupMember* leaving = FindMemberAt(current, change.remove);
    ProposeChange(Without(current, leaving->node_id), std::move(callback));
    return;
  }
  m_waiting_change =
      WaitingChange{change, std::move(callback),
                    m_ports.scheduler->Now() + m_options.member_answer_timeout};
  SendHello(change.add);
}

void ReplicaNode::FinishWaitingChange(NodeId node_id) {
  const WaitingChange waiting = std::move(*m_waiting_change);
  m_waiting_change.reset();
  const GroupMembership& current = m_log->Membership();
  const bool known = FindMember(current, node_id) != nullptr;
  if (!MayChangeMembership() || known) {
    waiting.callback(MakeError(ErrorKind::kOverloaded,
                               "the members changed in the meantime"));
    return;
  }
  const GroupMember* leaving = FindMemberAt(current, waiting.change.remove);
  const NodeId replaces = leaving == nullptr ? 0 : leaving->node_id;
  ProposeChange(WithLearner(current, node_id, waiting.change.add, replaces),
                waiting.callback);
}

void ReplicaNode::FailWaitingChange(const Error& error) {
  if (!m_waiting_change) return;
  const MemberCallback callback = std::move(m_waiting_change->callback);
  m_waiting_change.reset();
  callback(tl::unexpected<Error>(error));
}

void ReplicaNode::LeaveIfRemoved() {
  const bool committed = m_log->MembershipIndex() <= m_commit_index;
  if (!committed || IsVoter(m_log->Membership(), Self())) return;
  // The others learn the commit before the leader resigns.
  for (const GroupMember& member : m_log->Membership().members) {
    Send(member.address, member.node_id, CurrentTerm(),
         m_replicator->NextHeartbeat(member.node_id, m_commit_index));
  }
  BecomeFollower(CurrentTerm());
}

}  // namespace chicoryvale
