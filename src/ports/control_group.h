#ifndef CHICORYVALE_SRC_PORTS_CONTROL_GROUP_H_
#define CHICORYVALE_SRC_PORTS_CONTROL_GROUP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "chicoryvale/error.h"
#include "config/change.h"
#include "config/cluster_config.h"

namespace chicoryvale {

/// Configuration version of another process, as last reported to this one.
struct NodeConfigStatus {
  Address address;
  std::string role;
  std::string availability_zone;
  std::uint64_t version = 0;
  bool reachable = false;
  Duration age{};
};

/// State of the control group and of the configuration rollout, as known to
/// one control VM.
struct ControlStatus {
  std::uint64_t term = 0;
  Address leader;
  std::vector<NodeConfigStatus> nodes;
};

/// Interface to the replicated control group for operators' RPCs. Not thread
/// safe.
class ControlGroup {
 public:
  using ChangeCallback = std::function<void(Result<ChangeResult>)>;
  using ConfigCallback = std::function<void(Result<ClusterConfig>)>;
  using MemberCallback = std::function<void(Result<std::uint64_t>)>;
  using VersionCallback = std::function<void(Result<std::uint64_t>)>;
  virtual ~ControlGroup() = default;

  /// Proposes `change`. Calls `callback` once: with the result when the change
  /// is committed and applied, or with kNotLeader, kNoQuorum or kStorageFailed.
  void Propose(const Change& change, ChangeCallback callback) {
    OnPropose(change, std::move(callback));
  }

  /// Calls `callback` once with the newest committed configuration, confirmed
  /// by a quorum after this call, or with kNotLeader or kNoQuorum.
  void ReadConfig(ConfigCallback callback) {
    OnReadConfig(std::move(callback));
  }

  /// Like ReadConfig, with the version of the configuration only.
  void ReadVersion(VersionCallback callback) {
    OnReadVersion(std::move(callback));
  }

  /// Removes and adds one member of the group; either address may be empty.
  /// Calls `callback` once: with the configuration version in force when the
  /// change is committed, or with kNotLeader, kInvalidChange, kOverloaded,
  /// kUpstreamUnavailable, kNoQuorum or kStorageFailed.
  void ChangeMember(const Address& remove, const Address& add,
                    MemberCallback callback) {
    OnChangeMember(remove, add, std::move(callback));
  }

  /// Requests the configuration version of each live member whose last report
  /// is not recent. Calls `done` once, when each has answered or failed.
  void RefreshNodes(std::function<void()> done) {
    OnRefreshNodes(std::move(done));
  }

  /// Returns the state that this VM knows now; it may be out of date.
  [[nodiscard]] ControlStatus Status() const { return OnStatus(); }

 protected:
  virtual void OnPropose(const Change& change, ChangeCallback callback) = 0;
  virtual void OnReadConfig(ConfigCallback callback) = 0;
  virtual void OnReadVersion(VersionCallback callback) {
    OnReadConfig(
        [callback = std::move(callback)](Result<ClusterConfig> config) {
          if (!config) return callback(tl::unexpected<Error>(config.error()));
          callback(config->version);
        });
  }
  virtual void OnChangeMember(const Address& remove, const Address& add,
                              MemberCallback callback) = 0;
  virtual void OnRefreshNodes(std::function<void()> done) = 0;
  [[nodiscard]] virtual ControlStatus OnStatus() const = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_CONTROL_GROUP_H_
