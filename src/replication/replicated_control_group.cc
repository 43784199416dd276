#include "replication/replicated_control_group.h"

#include <utility>
#include <variant>

namespace chicoryvale {

Result<std::unique_ptr<ReplicatedControlGroup>> ReplicatedControlGroup::Make(
    const ReplicaOptions& options, const Ports& ports) {
  std::unique_ptr<ReplicatedControlGroup> group(
      new ReplicatedControlGroup(options, ports));
  auto node = ReplicaNode::Make(
      options,
      {ports.scheduler, ports.storage, &group->m_transport, &group->m_machine});
  if (!node) return tl::unexpected<Error>(node.error());
  group->m_node = std::move(*node);
  return group;
}

// A message is of no use once a newer one replaces it, at the latest when an
// election begins.
ReplicatedControlGroup::ReplicatedControlGroup(const ReplicaOptions& options,
                                               const Ports& ports)
    : m_machine(ports.rules),
      m_transport(ports.peers, options.min_election_timeout) {}

template <typename Typed>
void ReplicatedControlGroup::ProposeTyped(
    const ControlCommand& command,
    std::function<void(Result<Typed>)> callback) {
  m_node->Propose(
      EncodeCommand(command),
      [callback = std::move(callback)](const Result<std::string>& bytes) {
        if (!bytes) {
          callback(tl::unexpected<Error>(bytes.error()));
          return;
        }
        ControlResult result;
        const bool typed = DecodeResult(*bytes, &result) &&
                           std::holds_alternative<Typed>(result);
        if (typed) {
          callback(std::get<Typed>(std::move(result)));
        } else {
          callback(MakeError(ErrorKind::kInternal, "the result is malformed"));
        }
      });
}

void ReplicatedControlGroup::Claim(const ClaimCommand& command,
                                   ClaimCallback callback) {
  ProposeTyped<ClaimResult>(command, std::move(callback));
}

void ReplicatedControlGroup::OnPropose(const Change& change,
                                       ChangeCallback callback) {
  ProposeTyped<ChangeResult>(change, std::move(callback));
}

void ReplicatedControlGroup::OnReadConfig(ConfigCallback callback) {
  m_node->Read(
      [this, callback = std::move(callback)](const Result<LogIndex>& read) {
        if (read) {
          callback(Config());
        } else {
          callback(tl::unexpected<Error>(read.error()));
        }
      });
}

std::uint64_t ReplicatedControlGroup::HighestLoggedVersion() const {
  const auto is_change = [](const std::string& bytes) {
    ControlCommand command;
    return DecodeCommand(bytes, &command) &&
           std::holds_alternative<Change>(command);
  };
  return Config().version + m_node->CountUnapplied(is_change);
}

void ReplicatedControlGroup::OnChangeMember(const Address& remove,
                                            const Address& add,
                                            MemberCallback callback) {
  GroupMemberChange change;
  change.remove = remove;
  change.add = add;
  m_node->ChangeMembers(
      change, [this, callback = std::move(callback)](const Result<void>& done) {
        if (done) {
          callback(Config().version);
        } else {
          callback(tl::unexpected<Error>(done.error()));
        }
      });
}

void ReplicatedControlGroup::OnRefreshNodes(std::function<void()> done) {
  if (!m_refresh) return done();
  m_refresh(std::move(done));
}

ControlStatus ReplicatedControlGroup::OnStatus() const {
  const ReplicaStatus status = m_node->Status();
  ControlStatus answer;
  answer.term = status.term;
  answer.leader = status.leader;
  if (m_nodes) answer.nodes = m_nodes();
  return answer;
}

}  // namespace chicoryvale
