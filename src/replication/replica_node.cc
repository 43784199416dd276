#include "replication/replica_node.h"

#include <cassert>
#include <utility>
#include <variant>

namespace chicoryvale {
namespace {

bool AreValid(const ReplicaOptions& options) {
  return !options.address.host_port.empty() &&
         options.heartbeat_interval > Duration::zero() &&
         options.heartbeat_interval < options.min_election_timeout &&
         options.min_election_timeout < options.max_election_timeout &&
         options.hello_interval > Duration::zero() &&
         options.snapshot_threshold_entries > 0 &&
         options.max_pending_requests > 0;
}

bool AreComplete(const ReplicaNode::Dependencies& dependencies) {
  return dependencies.scheduler != nullptr && dependencies.storage != nullptr &&
         dependencies.transport != nullptr &&
         dependencies.state_machine != nullptr;
}

bool IsHello(const Message& message) {
  return std::holds_alternative<HelloRequest>(message) ||
         std::holds_alternative<HelloReply>(message);
}

}  // namespace

Result<std::unique_ptr<ReplicaNode>> ReplicaNode::Make(
    ReplicaOptions options, const Dependencies& dependencies) {
  assert(AreComplete(dependencies));
  if (!AreValid(options)) {
    return MakeError(ErrorKind::kInternal, "replica options are out of range");
  }
  std::mt19937_64 random(options.seed);
  const NodeId new_node_id = random() | 1U;
  auto opened = LogStorage::Open(dependencies.storage, new_node_id);
  if (!opened) return tl::unexpected<Error>(opened.error());
  const LogSnapshot& snapshot = opened->log->Snapshot();
  if (snapshot.index > 0 &&
      !dependencies.state_machine->Restore(snapshot.data)) {
    return MakeError(ErrorKind::kStorageFailed,
                     "the state machine refused the stored snapshot");
  }
  return std::unique_ptr<ReplicaNode>(new ReplicaNode(
      std::move(options), dependencies, std::move(*opened), random()));
}

ReplicaNode::ReplicaNode(ReplicaOptions options,
                         const Dependencies& dependencies,
                         LogStorage::OpenResult opened,
                         std::uint64_t random_seed)
    : m_options(std::move(options)),
      m_dependencies(dependencies),
      m_random(random_seed),
      m_log(std::move(opened.log)),
      m_formation(m_options.address, m_options.initial_members),
      m_commit_index(m_log->Snapshot().index),
      m_applied_index(m_commit_index),
      m_synced_index(m_log->LastIndex()) {
  m_dependencies.transport->SetReceiver(
      [this](const std::string& bytes) { OnMessageBytes(bytes); });
  ResetElectionTimer();
  m_hello_timer = m_dependencies.scheduler->Schedule(
      IsInGroup() ? m_options.hello_interval : Duration::zero(),
      [this] { OnHelloTimer(); });
}

ReplicaNode::~ReplicaNode() {
  m_dependencies.transport->SetReceiver({});
  for (const TimerId timer :
       {m_election_timer, m_heartbeat_timer, m_flush_timer, m_hello_timer}) {
    m_dependencies.scheduler->Cancel(timer);
  }
}

void ReplicaNode::Propose(std::string command, ProposalEnd end,
                          ProposeCallback callback) {
  const auto refuse = [&](ReplicationCounter counter, ErrorKind kind,
                          const std::string& message) {
    m_counters.Add(counter);
    Defer([callback = std::move(callback), kind, message] {
      callback(MakeError(kind, message));
    });
  };
  if (!IsLeader()) {
    refuse(ReplicationCounter::kProposalsRefusedNotLeader,
           ErrorKind::kNotLeader, LeaderHint());
    return;
  }
  if (command.size() > m_options.max_command_bytes) {
    refuse(ReplicationCounter::kProposalsRefusedTooLarge,
           ErrorKind::kRequestTooLarge,
           "command has more than " +
               std::to_string(m_options.max_command_bytes) + " bytes");
    return;
  }
  if (m_proposals.Size() >= m_options.max_pending_requests) {
    refuse(ReplicationCounter::kProposalsRefusedOverload,
           ErrorKind::kOverloaded, "too many pending proposals");
    return;
  }
  const LogIndex index =
      AppendAsLeader(EntryKind::kCommand, std::move(command));
  m_proposals.Add(index, end, std::move(callback));
}

void ReplicaNode::Read(ReadCallback callback) {
  if (!IsLeader() || m_reads.Size() >= m_options.max_pending_requests) {
    m_counters.Add(ReplicationCounter::kReadsRefusedNotLeader);
    const ErrorKind kind =
        IsLeader() ? ErrorKind::kOverloaded : ErrorKind::kNotLeader;
    Defer([callback = std::move(callback), kind, hint = LeaderHint()] {
      callback(MakeError(kind, hint));
    });
    return;
  }
  m_reads.Add(std::move(callback));
  ScheduleFlush();
}

ReplicaStatus ReplicaNode::Status() const {
  ReplicaStatus status;
  status.role = m_role;
  if (m_role == ReplicaRole::kFollower) {
    if (!IsInGroup()) {
      status.role = ReplicaRole::kUnformed;
    } else if (!IsVoter(m_log->Membership(), SelfId())) {
      status.role = ReplicaRole::kLearner;
    }
  }
  status.identity = m_log->Identity();
  status.term = CurrentTerm();
  status.leader =
      m_leader_address.host_port.empty() ? LeaderByHello() : m_leader_address;
  status.commit_index = m_commit_index;
  status.applied_index = m_applied_index;
  status.last_index = m_log->LastIndex();
  status.snapshot_index = m_log->Snapshot().index;
  status.membership = m_log->Membership();
  status.membership_index = m_log->MembershipIndex();
  status.membership_committed = m_log->MembershipIndex() <= m_commit_index;
  if (IsLeader()) status.silent_members = SilentMembers();
  return status;
}

void ReplicaNode::OnMessageBytes(const std::string& bytes) {
  if (m_role == ReplicaRole::kFailed) return;
  Envelope envelope;
  if (!DecodeEnvelope(bytes, &envelope) || envelope.from == 0) {
    m_counters.Add(ReplicationCounter::kMessagesMalformed);
    return;
  }
  if (!AdmitMessage(envelope)) return;
  std::visit([&](const auto& message) { Handle(envelope, message); },
             envelope.message);
}

bool ReplicaNode::AdmitMessage(const Envelope& envelope) {
  const bool is_hello = IsHello(envelope.message);
  const bool is_addressed_here =
      envelope.to == SelfId() || (is_hello && envelope.to == 0);
  if (!is_addressed_here) {
    m_counters.Add(ReplicationCounter::kMessagesForOtherIdentity);
    return false;
  }
  if (is_hello) return true;
  return AdmitGroup(envelope) && AdmitTerm(envelope);
}

// The sender's group addresses this identity, so it has made this replica a
// member. Until a snapshot or an entry has arrived, the group is provisional:
// if the replica that formed it loses its disk before that, another group may
// be formed.
bool ReplicaNode::AdmitGroup(const Envelope& envelope) {
  const GroupId group_id = m_log->Identity().group_id;
  if (group_id == envelope.group_id && group_id != 0) return true;
  if (envelope.group_id == 0 || IsInGroup()) {
    m_counters.Add(ReplicationCounter::kMessagesOfOtherGroup);
    return false;
  }
  const auto joined = m_log->JoinGroup(envelope.group_id);
  if (!joined) EnterFailedState(joined.error());
  return joined.has_value();
}

void ReplicaNode::Send(const Address& to, NodeId node, Term term,
                       Message message) {
  Envelope envelope;
  const bool is_provisional = IsHello(message) && !IsInGroup();
  envelope.group_id = is_provisional ? 0 : m_log->Identity().group_id;
  envelope.from = SelfId();
  envelope.from_address = m_options.address;
  envelope.to = node;
  envelope.term = term;
  envelope.message = std::move(message);
  std::string bytes = EncodeEnvelope(envelope);
  m_counters.Add(ReplicationCounter::kMessagesSent);
  m_counters.Add(ReplicationCounter::kBytesSent, bytes.size());
  m_dependencies.transport->Send(to, std::move(bytes));
}

void ReplicaNode::Reply(const Envelope& request, Message message) {
  if (!Persist()) return;
  Send(request.from_address, request.from, CurrentTerm(), std::move(message));
}

bool ReplicaNode::Persist() {
  if (m_role == ReplicaRole::kFailed) return false;
  const auto synced = m_log->Sync();
  if (!synced) {
    EnterFailedState(synced.error());
    return false;
  }
  m_synced_index = m_log->LastIndex();
  return true;
}

void ReplicaNode::EnterFailedState(const Error& error) {
  if (m_role == ReplicaRole::kFailed) return;
  m_role = ReplicaRole::kFailed;
  m_leader_id = 0;
  m_leader_address = {};
  for (TimerId* timer : {&m_election_timer, &m_heartbeat_timer, &m_flush_timer,
                         &m_hello_timer}) {
    m_dependencies.scheduler->Cancel(std::exchange(*timer, 0));
  }
  FailPendingRequests({ErrorKind::kStorageFailed, error.message, Ran::kMaybe});
  if (m_on_failure) m_on_failure(error);
}

void ReplicaNode::Defer(std::function<void()> action) {
  m_dependencies.scheduler->Schedule(Duration::zero(), std::move(action));
}

std::string ReplicaNode::LeaderHint() const {
  if (m_leader_address.host_port.empty()) return "the leader is unknown";
  return "the leader is " + m_leader_address.host_port;
}

bool ReplicaNode::IsInGroup() const { return !m_log->IsEmpty(); }

}  // namespace chicoryvale
