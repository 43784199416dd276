#ifndef CHICORYVALE_SRC_CONTROL_REPLICATED_CONTROL_GROUP_H_
#define CHICORYVALE_SRC_CONTROL_REPLICATED_CONTROL_GROUP_H_

#include <functional>
#include <vector>

#include "ports/control_group.h"

namespace chicoryvale {

class ControlStateMachine;
class ReplicaNode;

/// The control group over a replicated log. Not thread safe.
class ReplicatedControlGroup : public ControlGroup {
 public:
  /// Tells what is known of the other processes of the system.
  using NodeSource = std::function<std::vector<NodeKnowledge>()>;

  /// The pointees must outlive the group.
  ReplicatedControlGroup(ReplicaNode* node, const ControlStateMachine* state);

  /// Sets the source of ControlStatus::nodes.
  void SetNodeSource(NodeSource source) { m_nodes = std::move(source); }

 protected:
  void OnPropose(const Change& change, ChangeCallback callback) override;
  void OnReadConfig(ConfigCallback callback) override;
  void OnChangeMember(const Address& remove, const Address& add,
                      MemberCallback callback) override;
  [[nodiscard]] ControlStatus OnStatus() const override;

 private:
  ReplicaNode* m_node;
  const ControlStateMachine* m_state;
  NodeSource m_nodes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_REPLICATED_CONTROL_GROUP_H_
