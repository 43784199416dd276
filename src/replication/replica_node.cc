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
         options.snapshot_threshold_entries > 0 && options.max_waiting > 0;
}

bool AreComplete(const ReplicaNode::Ports& ports) {
  return ports.scheduler != nullptr && ports.storage != nullptr &&
         ports.transport != nullptr && ports.state_machine != nullptr;
}

bool IsHello(const Message& message) {
  return std::holds_alternative<HelloRequest>(message) ||
         std::holds_alternative<HelloReply>(message);
}

}  // namespace

Result<std::unique_ptr<ReplicaNode>> ReplicaNode::Make(ReplicaOptions options,
                                                       const Ports& ports) {
  assert(AreComplete(ports));
  if (!AreValid(options)) {
    return MakeError(ErrorKind::kInternal, "replica options are out of range");
  }
  std::mt19937_64 random(options.seed);
  const NodeId fresh_id = random() | 1U;
  auto opened = LogStorage::Open(ports.storage, fresh_id);
  if (!opened) return tl::unexpected<Error>(opened.error());
  const LogSnapshot& snapshot = opened->log->Snapshot();
  if (snapshot.index > 0 && !ports.state_machine->Restore(snapshot.data)) {
    return MakeError(ErrorKind::kStorageFailed,
                     "the state machine refused its snapshot");
  }
  return std::unique_ptr<ReplicaNode>(
      new ReplicaNode(std::move(options), ports, std::move(*opened), random()));
}

ReplicaNode::ReplicaNode(ReplicaOptions options, const Ports& ports,
                         LogStorage::Opened opened, std::uint64_t random_seed)
    : m_options(std::move(options)),
      m_ports(ports),
      m_random(random_seed),
      m_log(std::move(opened.log)),
      m_formation(m_options.address, m_options.initial_members),
      m_commit_index(m_log->Snapshot().index),
      m_applied_index(m_commit_index),
      m_synced_index(m_log->LastIndex()) {
  m_ports.transport->SetReceiver(
      [this](const std::string& bytes) { OnBytes(bytes); });
  ArmElectionTimer();
  m_hello_timer = m_ports.scheduler->Schedule(
      InGroup() ? m_options.hello_interval : Duration::zero(),
      [this] { OnHelloTimer(); });
}

ReplicaNode::~ReplicaNode() {
  m_ports.transport->SetReceiver({});
  for (const TimerId timer :
       {m_election_timer, m_heartbeat_timer, m_flush_timer, m_hello_timer}) {
    m_ports.scheduler->Cancel(timer);
  }
}

void ReplicaNode::Propose(std::string command, ProposeCallback callback) {
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
  if (m_proposals.Size() >= m_options.max_waiting) {
    refuse(ReplicationCounter::kProposalsRefusedOverload,
           ErrorKind::kOverloaded, "too many proposals wait");
    return;
  }
  const LogIndex index = AppendOwn(EntryKind::kCommand, std::move(command));
  m_proposals.Add(index, std::move(callback));
}

void ReplicaNode::Read(ReadCallback callback) {
  if (!IsLeader() || m_reads.Size() >= m_options.max_waiting) {
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
    if (!InGroup()) {
      status.role = ReplicaRole::kUnformed;
    } else if (!IsVoter(m_log->Membership(), Self())) {
      status.role = ReplicaRole::kLearner;
    }
  }
  status.identity = m_log->Identity();
  status.term = CurrentTerm();
  status.leader = m_leader_address;
  status.commit_index = m_commit_index;
  status.applied_index = m_applied_index;
  status.last_index = m_log->LastIndex();
  status.snapshot_index = m_log->Snapshot().index;
  status.membership = m_log->Membership();
  status.membership_index = m_log->MembershipIndex();
  status.membership_committed = m_log->MembershipIndex() <= m_commit_index;
  return status;
}

void ReplicaNode::OnBytes(const std::string& bytes) {
  if (m_role == ReplicaRole::kFailed) return;
  Envelope envelope;
  if (!DecodeEnvelope(bytes, &envelope) || envelope.from == 0) {
    m_counters.Add(ReplicationCounter::kMessagesMalformed);
    return;
  }
  if (!Admit(envelope)) return;
  std::visit([&](const auto& message) { Handle(envelope, message); },
             envelope.message);
}

bool ReplicaNode::Admit(const Envelope& envelope) {
  const bool hello = IsHello(envelope.message);
  const bool for_this = envelope.to == Self() || (hello && envelope.to == 0);
  if (!for_this) {
    m_counters.Add(ReplicationCounter::kMessagesForOtherIdentity);
    return false;
  }
  if (hello) return true;
  return AdmitGroup(envelope) && AdmitTerm(envelope);
}

// The sender's group knows this identity, so it has been made a member. Until
// something of the log has arrived the group is provisional: should its founder
// lose its disk before that, another one may be formed.
bool ReplicaNode::AdmitGroup(const Envelope& envelope) {
  const GroupId group_id = m_log->Identity().group_id;
  if (group_id == envelope.group_id && group_id != 0) return true;
  if (envelope.group_id == 0 || InGroup()) {
    m_counters.Add(ReplicationCounter::kMessagesOfOtherGroup);
    return false;
  }
  const auto adopted = m_log->AdoptGroup(envelope.group_id);
  if (!adopted) Fail(adopted.error());
  return adopted.has_value();
}

void ReplicaNode::Send(const Address& to, NodeId node, Term term,
                       Message message) {
  Envelope envelope;
  const bool provisional = IsHello(message) && !InGroup();
  envelope.group_id = provisional ? 0 : m_log->Identity().group_id;
  envelope.from = Self();
  envelope.from_address = m_options.address;
  envelope.to = node;
  envelope.term = term;
  envelope.message = std::move(message);
  std::string bytes = EncodeEnvelope(envelope);
  m_counters.Add(ReplicationCounter::kMessagesSent);
  m_counters.Add(ReplicationCounter::kBytesSent, bytes.size());
  m_ports.transport->Send(to, std::move(bytes));
}

void ReplicaNode::Answer(const Envelope& request, Message message) {
  if (!Persist()) return;
  Send(request.from_address, request.from, CurrentTerm(), std::move(message));
}

bool ReplicaNode::Persist() {
  if (m_role == ReplicaRole::kFailed) return false;
  const auto synced = m_log->Sync();
  if (!synced) {
    Fail(synced.error());
    return false;
  }
  m_synced_index = m_log->LastIndex();
  return true;
}

void ReplicaNode::Fail(const Error& error) {
  if (m_role == ReplicaRole::kFailed) return;
  m_role = ReplicaRole::kFailed;
  m_leader = 0;
  m_leader_address = {};
  for (TimerId* timer : {&m_election_timer, &m_heartbeat_timer, &m_flush_timer,
                         &m_hello_timer}) {
    m_ports.scheduler->Cancel(std::exchange(*timer, 0));
  }
  FailWaiting({ErrorKind::kStorageFailed, error.message, Ran::kMaybe});
  if (m_on_failure) m_on_failure(error);
}

void ReplicaNode::Defer(std::function<void()> action) {
  m_ports.scheduler->Schedule(Duration::zero(), std::move(action));
}

std::string ReplicaNode::LeaderHint() const {
  if (m_leader_address.host_port.empty()) return "the leader is not known";
  return "the leader is " + m_leader_address.host_port;
}

bool ReplicaNode::InGroup() const { return !m_log->IsEmpty(); }

}  // namespace chicoryvale
