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
#include <vector>

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

  /// Collaborators of a replica. All must outlive it.
  struct Dependencies {
    Scheduler* scheduler = nullptr;
    Storage* storage = nullptr;
    ReplicationTransport* transport = nullptr;
    StateMachine* state_machine = nullptr;
  };

  /// Opens the replica's stored state and starts the replica. kStorageFailed if
  /// the state cannot be opened.
  static Result<std::unique_ptr<ReplicaNode>> Make(
      ReplicaOptions options, const Dependencies& dependencies);
  ~ReplicaNode();

  ReplicaNode(const ReplicaNode&) = delete;
  ReplicaNode& operator=(const ReplicaNode&) = delete;

  /// Proposes `command`. `callback` is called once, never from within this
  /// call, with one of these results:
  /// - the result of the state machine, once the command is committed and
  ///   applied here and `end` is reached;
  /// - kNotLeader (the message names the leader, if known), kOverloaded or
  ///   kRequestTooLarge, if the command was not run;
  /// - kNotLeader, kNoQuorum or kStorageFailed with Ran::kMaybe, if the replica
  ///   lost its leadership or the contact with a quorum, or its storage failed,
  ///   while the command was pending. The command may still be committed, and a
  ///   retry must carry the same operation id.
  /// It is not called if the node is destroyed first.
  void Propose(std::string command, ProposalEnd end, ProposeCallback callback);

  /// Linearizable read. Calls `callback` once, never from within this call:
  /// once a quorum has confirmed the leadership and the state machine has
  /// applied everything committed before this call, or with kNotLeader,
  /// kOverloaded, kNoQuorum or kStorageFailed.
  void Read(ReadCallback callback);

  /// Changes the membership. `callback` is called once, never from within this
  /// call, when the change is committed, which is before the new replica
  /// becomes a voter; or with kNotLeader, kVersionConflict, kInvalidChange,
  /// kOverloaded (another change is in progress, or the members changed before
  /// the new replica replied), kUpstreamUnavailable (the new replica does not
  /// reply), kNoQuorum or kStorageFailed. A change that is already in effect is
  /// accepted again and has no further effect.
  void ChangeMembers(const GroupMemberChange& change, MemberCallback callback);

  [[nodiscard]] ReplicaStatus Status() const;

  /// Returns the number of commands in the log, committed or not, that are not
  /// yet applied and satisfy `predicate`.
  [[nodiscard]] std::size_t CountUnapplied(
      const std::function<bool(const std::string& command)>& predicate) const;
  [[nodiscard]] const CounterSet<ReplicationCounter>& Counters() const {
    return m_counters;
  }

  /// Sets the function that is called once when the storage has failed. The
  /// replica then handles no further messages, and the process must end.
  void SetFailureCallback(FailureCallback callback) {
    m_on_failure = std::move(callback);
  }

 private:
  /// A membership change that is pending until the new replica replies.
  struct PendingMemberChange {
    GroupMemberChange change;
    MemberCallback callback;
    TimePoint deadline;
  };

  ReplicaNode(ReplicaOptions options, const Dependencies& dependencies,
              LogStorage::OpenResult opened, std::uint64_t random_seed);

  // replica_node.cc: sending and receiving messages, failure.
  void OnMessageBytes(const std::string& bytes);
  /// Returns whether a message passes the checks of its receiver, group and
  /// term and is handled. May join the sender's group or update the term.
  bool AdmitMessage(const Envelope& envelope);
  bool AdmitGroup(const Envelope& envelope);
  void Send(const Address& to, NodeId node, Term term, Message message);
  void Reply(const Envelope& request, Message message);
  /// Syncs the log. Returns false if the replica has failed.
  bool Persist();
  void EnterFailedState(const Error& error);
  /// Calls `action` from the event loop, after the current call.
  void Defer(std::function<void()> action);
  /// Returns a message that names the leader, if known.
  [[nodiscard]] std::string LeaderHint() const;
  /// Returns whether this replica has a snapshot or an entry of a group's log.
  [[nodiscard]] bool IsInGroup() const;
  [[nodiscard]] bool IsLeader() const { return m_role == ReplicaRole::kLeader; }
  [[nodiscard]] Term CurrentTerm() const {
    return m_log->CurrentHardState().term;
  }
  [[nodiscard]] NodeId SelfId() const { return m_log->Identity().node_id; }

  // replica_node_election.cc: terms, votes, leadership.
  void Handle(const Envelope& envelope, const VoteRequest& request);
  void Handle(const Envelope& envelope, const VoteReply& reply);
  bool AdmitTerm(const Envelope& envelope);
  void ReplyWithCurrentTerm(const Envelope& envelope);
  void ResetElectionTimer();
  void OnElectionTimeout();
  void StartCampaign(bool pre_vote);
  void EvaluateCampaign();
  void BecomeFollower(Term term);
  void BecomeLeader();
  void StepDownWithoutQuorum();
  void FailPendingRequests(const Error& error);
  [[nodiscard]] bool HasRecentLeaderContact() const;

  // replica_node_log.cc: log, commit, state machine.
  void Handle(const Envelope& envelope, const AppendRequest& request);
  void Handle(const Envelope& envelope, const AppendReply& reply);
  void Handle(const Envelope& envelope, const SnapshotChunk& chunk);
  void Handle(const Envelope& envelope, const SnapshotReply& reply);
  void FollowLeader(const Envelope& envelope);
  [[nodiscard]] std::optional<LogIndex> FindConflictHint(
      const AppendRequest& request) const;
  void AppendNewEntries(const AppendRequest& request);
  void InstallSnapshot(LogSnapshot snapshot);
  LogIndex AppendAsLeader(EntryKind kind, std::string data);
  void ScheduleFlush();
  void Flush();
  void OnHeartbeat();
  /// Sends the next data message to `member`. If there is none, sends a
  /// heartbeat if `heartbeat_if_idle` is set.
  void ReplicateTo(const GroupMember& member, bool heartbeat_if_idle);
  void OnReplicationProgress(NodeId node);
  void AdvanceCommitIndex();
  /// Tells the other replicas the commit index if a proposal waits until a
  /// quorum knows it.
  void AnnounceCommit();
  /// Reports the proposals that a quorum knows to be committed.
  void CompleteKnownProposals();
  void ApplyCommitted();
  void MaybeCompactLog();
  [[nodiscard]] bool HasCommittedInCurrentTerm() const;

  // replica_node_membership.cc: formation and membership changes of the group.
  void Handle(const Envelope& envelope, const HelloRequest& request);
  void Handle(const Envelope& envelope, const HelloReply& reply);
  void OnHelloTimer();
  [[nodiscard]] std::set<Address> HelloAddresses() const;
  void SendHello(const Address& to);
  [[nodiscard]] bool IsOtherGroup(GroupId group_id) const;
  void RememberLeader(const Envelope& envelope, const HelloReply& reply);
  /// Returns the leader that the members name to a replica that has had no
  /// contact with a leader for long, because it is not in the group; empty if
  /// there is none.
  [[nodiscard]] Address LeaderByHello() const;
  void OnMemberHelloReply(const Envelope& envelope);
  void FormGroup(const GroupMembership& membership);
  void ReplaceMemberIdentity(const Address& address, NodeId node_id);
  void MaybeChangeMembership();
  void ProposePendingChange(NodeId node_id);
  void FailPendingChange(const Error& error);
  [[nodiscard]] bool CanChangeMembership() const;
  [[nodiscard]] std::vector<NodeId> SilentMembers() const;
  [[nodiscard]] bool IsChangeInEffect(const GroupMemberChange& change) const;
  [[nodiscard]] Result<void> ValidateChange(
      const GroupMemberChange& change) const;
  LogIndex ProposeMembership(const GroupMembership& membership);
  void ProposeMembershipWithCallback(const GroupMembership& membership,
                                     MemberCallback callback);
  void StepDownIfRemoved();

  ReplicaOptions m_options;
  Dependencies m_dependencies;
  std::mt19937_64 m_random;
  std::unique_ptr<LogStorage> m_log;
  CounterSet<ReplicationCounter> m_counters;
  FailureCallback m_on_failure;

  ReplicaRole m_role = ReplicaRole::kFollower;
  /// Leader of the current term; 0 if unknown.
  NodeId m_leader_id = 0;
  Address m_leader_address;
  /// Time of the last message from a leader since the start of the process.
  std::optional<TimePoint> m_last_leader_contact;
  Campaign m_campaign;
  std::optional<Replicator> m_replicator;
  ProposalQueue m_proposals;
  ReadQueue m_reads;
  SnapshotReceiver m_snapshot_receiver;
  GroupFormation m_formation;
  std::optional<PendingMemberChange> m_pending_change;
  /// Leader in the last HelloReply that names one, and when it arrived.
  Address m_leader_by_hello;
  TimePoint m_leader_by_hello_at{};
  /// Nonce of the last HelloRequest to each address, until its reply arrives.
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
