#ifndef CHICORYVALE_SRC_REPLICATION_REPLICATED_CONTROL_GROUP_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICATED_CONTROL_GROUP_H_

#include <functional>
#include <memory>
#include <vector>

#include "claims/claim_command.h"
#include "config/distribution_message.h"
#include "ports/control_group.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"
#include "ports/storage.h"
#include "replication/control_state_machine.h"
#include "replication/peer_replication_transport.h"
#include "replication/replica_node.h"

namespace chicoryvale {

/// The control group as seen from the replica on this VM. Changes, reads and
/// claims go through the replicated log. Not thread safe: used only on the
/// event loop.
class ReplicatedControlGroup : public ControlGroup {
 public:
  using ClaimCallback = std::function<void(Result<ClaimResult> result)>;
  using NodesProvider = std::function<std::vector<NodeConfigStatus>()>;
  using RefreshCallback = std::function<void(std::function<void()> done)>;

  /// Collaborators of the group. All must outlive it. `rules` may be null.
  struct Dependencies {
    Scheduler* scheduler = nullptr;
    Storage* storage = nullptr;
    PeerTransport* peers = nullptr;
    const SchemaRules* rules = nullptr;
  };

  /// Opens the replica in the data folder of `dependencies.storage` and starts
  /// it. kStorageFailed if the stored state cannot be opened.
  static Result<std::unique_ptr<ReplicatedControlGroup>> Make(
      const ReplicaOptions& options, const Dependencies& dependencies);

  /// Returns the configuration applied on this VM. It may be out of date.
  [[nodiscard]] const ClusterConfig& Config() const {
    return m_state_machine.Config().Config();
  }

  /// Returns an upper bound of the configuration versions whose changes are in
  /// this VM's log, committed or not. Each accepted change is in the logs of a
  /// quorum.
  [[nodiscard]] std::uint64_t HighestLoggedVersion() const;

  /// Returns the newest membership in the log of this VM, committed or not.
  [[nodiscard]] ControlGroupView GroupView() const;

  /// Proposes `command`, in which the caller has set the time from the wall
  /// clock. Calls `callback` once, as ReplicaNode::Propose does.
  void Claim(const ClaimCommand& command, ClaimCallback callback);

  /// Sets the function that is called after each committed change of the
  /// configuration.
  void SetConfigCallback(ControlStateMachine::ConfigCallback callback) {
    m_state_machine.SetConfigCallback(std::move(callback));
  }

  /// Sets the function that returns what this process knows of the other
  /// processes, for Status().
  void SetNodesProvider(NodesProvider provider) {
    m_nodes_provider = std::move(provider);
  }

  /// Sets the function that asks the other processes for their versions and
  /// then calls `done`.
  void SetRefreshCallback(RefreshCallback callback) {
    m_refresh = std::move(callback);
  }

  /// Sets the function that is called once when the storage has failed. The
  /// process must then end.
  void SetFailureCallback(ReplicaNode::FailureCallback callback) {
    m_node->SetFailureCallback(std::move(callback));
  }

  [[nodiscard]] const ReplicaNode& Node() const { return *m_node; }

 protected:
  void OnPropose(const Change& change, ChangeCallback callback) override;
  void OnReadConfig(ConfigCallback callback) override;
  void OnReadVersion(VersionCallback callback) override;
  void OnChangeMember(const Address& remove, const Address& add,
                      MemberCallback callback) override;
  void OnRefreshNodes(std::function<void()> done) override;
  [[nodiscard]] ControlStatus OnStatus() const override;

 private:
  explicit ReplicatedControlGroup(const ReplicaOptions& options,
                                  const Dependencies& dependencies);

  template <typename Typed>
  void ProposeTyped(const ControlCommand& command, ProposalEnd end,
                    std::function<void(Result<Typed>)> callback);

  ControlStateMachine m_state_machine;
  PeerReplicationTransport m_transport;
  std::unique_ptr<ReplicaNode> m_node;
  NodesProvider m_nodes_provider;
  RefreshCallback m_refresh;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICATED_CONTROL_GROUP_H_
