#include "control/replicated_control_group.h"

#include <utility>

#include "replication/control_state_machine.h"
#include "replication/replica_node.h"

namespace chicoryvale {

ReplicatedControlGroup::ReplicatedControlGroup(ReplicaNode* node,
                                               const ControlStateMachine* state)
    : m_node(node), m_state(state) {}

void ReplicatedControlGroup::OnPropose(const Change& change,
                                       ChangeCallback callback) {
  m_node->Propose(EncodeCommand(change), [callback = std::move(callback)](
                                             const Result<std::string>& bytes) {
    if (!bytes) return callback(tl::unexpected(bytes.error()));
    ControlResult result;
    if (!DecodeResult(*bytes, &result) ||
        !std::holds_alternative<ChangeResult>(result)) {
      return callback(MakeError(ErrorKind::kInternal,
                                "the log answered a change with bytes "
                                "that are no change result"));
    }
    callback(std::get<ChangeResult>(result));
  });
}

void ReplicatedControlGroup::OnReadConfig(ConfigCallback callback) {
  m_node->Read([this, callback = std::move(callback)](const auto& current) {
    if (!current) return callback(tl::unexpected(current.error()));
    callback(m_state->Config().Config());
  });
}

void ReplicatedControlGroup::OnChangeMember(const Address& remove,
                                            const Address& add,
                                            MemberCallback callback) {
  const MemberChange change{.expected_index = m_node->Status().membership_index,
                            .add = add,
                            .remove = remove};
  m_node->ChangeMembers(
      change, [this, callback = std::move(callback)](const auto& changed) {
        if (!changed) return callback(tl::unexpected(changed.error()));
        callback(m_state->Config().Config().version);
      });
}

ControlStatus ReplicatedControlGroup::OnStatus() const {
  const ReplicaStatus status = m_node->Status();
  ControlStatus control;
  control.term = status.term;
  control.leader = status.leader;
  if (m_nodes) control.nodes = m_nodes();
  return control;
}

}  // namespace chicoryvale
