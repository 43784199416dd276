#ifndef CHICORYVALE_SRC_REPLICATION_REPLICA_NODE_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICA_NODE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/counters.h"
#include "chicoryvale/error.h"
#include "ports/scheduler.h"
#include "replication/client_queues.h"
#include "replication/election.h"
#include "replication/group_formation.h"
#include "replication/log_storage.h"
#include "replication/messages.h"
#include "replication/replica_options.h"
#include "replication/replica_status.h"
#include "replication/replication_transport.h"
#include "replication/replicator.h"
#include "replication/snapshot_receiver.h"
#include "replication/state_machine.h"

namespace chicoryvale {

/// One replica of a replicated log: Raft with pre-vote, check-quorum, learners
/// and single-server membership changes (Ongaro and Ousterhout, In Search of an
/// Understandable Consensus Algorithm, 2014; Ongaro, Consensus: Bridging Theory
/// and Practice, 2014). Not thread safe: used only on the event loop.
class ReplicaNode {
 public:
  using ProposeCallback = ProposalQueue::Callback;
  using ReadCallback = ReadQueue::Callback;
  using MemberCallback = std::function<void(Result<void> result)>;
  using FailureCallback = std::function<void(const Error& error)>;

  /// What a replica works with; all must outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    Storage* storage = nullptr;
    ReplicationTransport* transport = nullptr;
    StateMachine* state_machine = nullptr;
  };

  /// Opens the replica's state and starts it. kStorageFailed if that fails.
  static Result<std::unique_ptr<ReplicaNode>> Make(ReplicaOptions options,
                                                   const Ports& ports);
  ~ReplicaNode();

  ReplicaNode(const ReplicaNode&) = delete;
  ReplicaNode& operator=(const ReplicaNode&) = delete;

  /// Proposes `command`. `callback` is called once, never from within this
  /// call, with the state machine's result once the command is committed and
  /// applied here; or with kNotLeader (the message names the leader, if known),
  /// kOverloaded or kRequestTooLarge, not run; or, when leadership or the disk
  /// was lost while it waited, with kNotLeader, kNoQuorum or kStorageFailed and
  /// Ran::kMaybe: the command may still be committed, and a resend must carry
  /// the same operation id. Not called if the node is destroyed first.
  void Propose(std::string command, ProposeCallback callback);

  /// Calls `callback` once, never from within this call, when the state machine
  /// is at least as new as the latest commit at the time of this call, as a
  /// quorum has confirmed; or with kNotLeader or kNoQuorum.
  void Read(ReadCallback callback);

  /// Changes the members. `callback` is called once, never from within this
  /// call, when the change is committed, before the new replica counts; or with
  /// kNotLeader, kVersionConflict, kInvalidChange, kOverloaded (another change
  /// is under way) or kUpstreamUnavailable (the new replica does not answer). A
  /// change that has taken place is accepted again without effect.
  void ChangeMembers(const GroupMemberChange& change, MemberCallback callback);

  [[nodiscard]] ReplicaStatus Status() const;

  /// Returns how many commands in the log, committed or not, are not applied
  /// yet and satisfy `predicate`.
  [[nodiscard]] std::size_t CountUnapplied(
      const std::function<bool(const std::string& command)>& predicate) const;
  [[nodiscard]] const CounterSet<ReplicationCounter>& Counters() const {
    return m_counters;
  }

  /// Sets what is called once when the storage has failed. The replica answers
  /// nothing any more, and the process must end.
  void SetFailureCallback(FailureCallback callback) {
    m_on_failure = std::move(callback);
  }

 private:
  /// A change of members that waits for the new replica to answer.
  struct WaitingChange {
    GroupMemberChange change;
    MemberCallback callback;
    TimePoint deadline;
  };

  ReplicaNode(ReplicaOptions options, const Ports& ports,
              LogStorage::Opened opened, std::uint64_t random_seed);

  // replica_node.cc: messages in and out, failure.
  void OnBytes(const std::string& bytes);
  bool Admit(const Envelope& envelope);
  bool AdmitGroup(const Envelope& envelope);
  void Send(const Address& to, NodeId node, Term term, Message message);
  void Answer(const Envelope& request, Message message);
  bool Persist();
  void Fail(const Error& error);
  void Defer(std::function<void()> action);
  [[nodiscard]] std::string LeaderHint() const;
  /// Whether a group's log has reached this replica.
  [[nodiscard]] bool InGroup() const;
  [[nodiscard]] bool IsLeader() const { return m_role == ReplicaRole::kLeader; }
  [[nodiscard]] Term CurrentTerm() const { return m_log->State().term; }
  [[nodiscard]] NodeId Self() const { return m_log->Identity().node_id; }

  // replica_node_election.cc: terms, votes, leadership.
  void Handle(const Envelope& envelope, const VoteRequest& request);
  void Handle(const Envelope& envelope, const VoteReply& reply);
  bool AdmitTerm(const Envelope& envelope);
  void RefuseOldTerm(const Envelope& envelope);
  void ArmElectionTimer();
  void OnElectionTimeout();
  void StartCampaign(bool pre_vote);
  void JudgeCampaign();
  void BecomeFollower(Term term);
  void BecomeLeader();
  void ResignWithoutQuorum();
  void FailWaiting(const Error& error);
  [[nodiscard]] bool HearsLeader() const;

  // replica_node_log.cc: log, commit, state machine.
  void Handle(const Envelope& envelope, const AppendRequest& request);
  void Handle(const Envelope& envelope, const AppendReply& reply);
  void Handle(const Envelope& envelope, const SnapshotChunk& chunk);
  void Handle(const Envelope& envelope, const SnapshotReply& reply);
  void FollowLeader(const Envelope& envelope);
  [[nodiscard]] std::optional<LogIndex> FindDisagreement(
      const AppendRequest& request) const;
  void TakeEntries(const AppendRequest& request);
  void InstallSnapshot(LogSnapshot snapshot);
  LogIndex AppendOwn(EntryKind kind, std::string data);
  void ScheduleFlush();
  void Flush();
  void OnHeartbeat();
  void SendContent(const GroupMember& member, bool or_heartbeat);
  void OnProgress(NodeId node);
  void AdvanceCommit();
  void ApplyCommitted();
  void MaybeCompact();
  [[nodiscard]] bool HasCommittedInTerm() const;

  // replica_node_membership.cc: formation and changes of the group.
  void Handle(const Envelope& envelope, const HelloRequest& request);
  void Handle(const Envelope& envelope, const HelloReply& reply);
  void OnHelloTimer();
  [[nodiscard]] std::set<Address> HelloAddresses() const;
  void SendHello(const Address& to);
  [[nodiscard]] bool IsForeign(GroupId group_id) const;
  void OnMemberAnswer(const Envelope& envelope);
  void FormGroup(const GroupMembership& membership);
  void RepairMember(const Address& address, NodeId node_id);
  void MaybeChangeMembership();
  void FinishWaitingChange(NodeId node_id);
  void FailWaitingChange(const Error& error);
  [[nodiscard]] bool MayChangeMembership() const;
  [[nodiscard]] bool IsDone(const GroupMemberChange& change) const;
  [[nodiscard]] Result<void> CheckChange(const GroupMemberChange& change) const;
  LogIndex ProposeMembership(const GroupMembership& membership);
  void ProposeChange(const GroupMembership& membership,
                     MemberCallback callback);
  void LeaveIfRemoved();

  ReplicaOptions m_options;
  Ports m_ports;
  std::mt19937_64 m_random;
  std::unique_ptr<LogStorage> m_log;
  CounterSet<ReplicationCounter> m_counters;
  FailureCallback m_on_failure;

  ReplicaRole m_role = ReplicaRole::kFollower;
  /// Leader of the current term as far as it is known.
  NodeId m_leader = 0;
  Address m_leader_address;
  std::optional<TimePoint> m_leader_heard;
  Campaign m_campaign;
  std::optional<Replicator> m_replicator;
  ProposalQueue m_proposals;
  ReadQueue m_reads;
  SnapshotReceiver m_snapshot_receiver;
  GroupFormation m_formation;
  std::optional<WaitingChange> m_waiting_change;
  /// Nonce of the last Hello that was sent to each address and not answered.
  std::map<std::string, std::uint64_t> m_hello_nonces;

  LogIndex m_commit_index = 0;
  LogIndex m_applied_index = 0;
  LogIndex m_synced_index = 0;
  TimerId m_election_timer = 0;
  TimerId m_heartbeat_timer = 0;
  TimerId m_flush_timer = 0;
  TimerId m_hello_timer = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICA_NODE_H_
