#ifndef CHICORYVALE_SRC_REPLICATION_REPLICATED_CONTROL_GROUP_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICATED_CONTROL_GROUP_H_

#include <functional>
#include <memory>
#include <vector>

#include "claims/claim_command.h"
#include "ports/control_group.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"
#include "ports/storage.h"
#include "replication/control_state_machine.h"
#include "replication/peer_replication_transport.h"
#include "replication/replica_node.h"

namespace chicoryvale {

/// The control group of this VM's replica: changes, reads and claims through
/// the replicated log. Not thread safe: used only on the event loop.
class ReplicatedControlGroup : public ControlGroup {
 public:
  using ClaimCallback = std::function<void(Result<ClaimResult> result)>;
  using NodesProvider = std::function<std::vector<NodeKnowledge>()>;
  using RefreshCallback = std::function<void(std::function<void()> done)>;

  /// What the group works with; all must outlive it. `rules` may be null.
  struct Ports {
    Scheduler* scheduler = nullptr;
    Storage* storage = nullptr;
    PeerTransport* peers = nullptr;
    const SchemaRules* rules = nullptr;
  };

  /// Opens the replica in the data folder of `ports.storage` and starts it.
  /// kStorageFailed if that fails.
  static Result<std::unique_ptr<ReplicatedControlGroup>> Make(
      const ReplicaOptions& options, const Ports& ports);

  /// The configuration applied on this VM; it may be out of date.
  [[nodiscard]] const ClusterConfig& Config() const {
    return m_machine.Config().Config();
  }

  /// Returns a version that is no lower than any whose change is in this VM's
  /// log, committed or not. Each accepted change is in the logs of a quorum.
  [[nodiscard]] std::uint64_t HighestLoggedVersion() const;

  /// Proposes `command`, whose time the caller has set from the wall clock.
  /// Calls `callback` once, as ReplicaNode::Propose does.
  void Claim(const ClaimCommand& command, ClaimCallback callback);

  /// Sets what is called after each committed change of the configuration.
  void SetConfigCallback(ControlStateMachine::ConfigCallback callback) {
    m_machine.SetConfigCallback(std::move(callback));
  }

  /// Sets what tells the knowledge of other processes for Status().
  void SetNodesProvider(NodesProvider callback) {
    m_nodes = std::move(callback);
  }

  /// Sets what asks other processes for their versions and then calls `done`.
  void SetRefreshCallback(RefreshCallback callback) {
    m_refresh = std::move(callback);
  }

  /// Sets what is called once when the storage has failed; the process must
  /// end.
  void SetFailureCallback(ReplicaNode::FailureCallback callback) {
    m_node->SetFailureCallback(std::move(callback));
  }

  [[nodiscard]] const ReplicaNode& Node() const { return *m_node; }

 protected:
  void OnPropose(const Change& change, ChangeCallback callback) override;
  void OnReadConfig(ConfigCallback callback) override;
  void OnChangeMember(const Address& remove, const Address& add,
                      MemberCallback callback) override;
  void OnRefreshNodes(std::function<void()> done) override;
  [[nodiscard]] ControlStatus OnStatus() const override;

 private:
  explicit ReplicatedControlGroup(const ReplicaOptions& options,
                                  const Ports& ports);

  template <typename Typed>
  void ProposeTyped(const ControlCommand& command,
                    std::function<void(Result<Typed>)> callback);

  ControlStateMachine m_machine;
  PeerReplicationTransport m_transport;
  std::unique_ptr<ReplicaNode> m_node;
  NodesProvider m_nodes;
  RefreshCallback m_refresh;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICATED_CONTROL_GROUP_H_
