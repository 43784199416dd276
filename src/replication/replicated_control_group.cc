#include "replication/replicated_control_group.h"

#include <utility>
#include <variant>

namespace chicoryvale {

Result<std::unique_ptr<ReplicatedControlGroup>> ReplicatedControlGroup::Make(
    const ReplicaOptions& options, const Dependencies& dependencies) {
  std::unique_ptr<ReplicatedControlGroup> group(
      new ReplicatedControlGroup(options, dependencies));
  auto node = ReplicaNode::Make(options,
                                {dependencies.scheduler, dependencies.storage,
                                 &group->m_transport, &group->m_state_machine});
  if (!node) return tl::unexpected<Error>(node.error());
  group->m_node = std::move(*node);
  return group;
}

// The timeout of a message is the minimum election timeout, because a newer
// message replaces it by the time an election starts at the latest.
ReplicatedControlGroup::ReplicatedControlGroup(const ReplicaOptions& options,
                                               const Dependencies& dependencies)
    : m_state_machine(dependencies.rules),
      m_transport(dependencies.peers, options.min_election_timeout) {}

template <typename Typed>
void ReplicatedControlGroup::ProposeTyped(
    const ControlCommand& command, ProposalEnd end,
    std::function<void(Result<Typed>)> callback) {
  m_node->Propose(
      EncodeCommand(command), end,
      [callback = std::move(callback)](const Result<std::string>& bytes) {
        if (!bytes) {
          callback(tl::unexpected<Error>(bytes.error()));
          return;
        }
        ControlResult result;
        const bool is_valid = DecodeResult(*bytes, &result) &&
                              std::holds_alternative<Typed>(result);
        if (is_valid) {
          callback(std::get<Typed>(std::move(result)));
        } else {
          callback(MakeError(ErrorKind::kInternal,
                             "the state machine returned a malformed result"));
        }
      });
}

void ReplicatedControlGroup::Claim(const ClaimCommand& command,
                                   ClaimCallback callback) {
  ProposeTyped<ClaimResult>(command, ProposalEnd::kApplied,
                            std::move(callback));
}

void ReplicatedControlGroup::OnPropose(const Change& change,
                                       ChangeCallback callback) {
  ProposeTyped<ChangeResult>(change, ProposalEnd::kKnownToQuorum,
                             std::move(callback));
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

void ReplicatedControlGroup::OnReadVersion(VersionCallback callback) {
  m_node->Read(
      [this, callback = std::move(callback)](const Result<LogIndex>& read) {
        if (!read) return callback(tl::unexpected<Error>(read.error()));
        callback(Config().version);
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

ControlGroupView ReplicatedControlGroup::GroupView() const {
  const ReplicaStatus status = m_node->Status();
  ControlGroupView view;
  view.index = status.membership_index;
  for (const GroupMember& member : status.membership.members) {
    if (!member.voter) continue;
    view.voters.push_back(member.address);
    if (member.node_id == status.identity.node_id) view.voter = member.address;
  }
  return view;
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
  ControlStatus control_status;
  control_status.term = status.term;
  control_status.leader = status.leader;
  if (m_nodes_provider) control_status.nodes = m_nodes_provider();
  return control_status;
}

}  // namespace chicoryvale
