#ifndef CHICORYVALE_SRC_PORTS_REPLICA_DIRECTORY_H_
#define CHICORYVALE_SRC_PORTS_REPLICA_DIRECTORY_H_

#include <functional>
#include <utility>
#include <vector>

#include "chicoryvale/error.h"
#include "routing/replica_pool.h"

namespace chicoryvale {

/// Interface to the platform's list of replicas. Not thread safe.
class ReplicaDirectory {
 public:
  using Callback = std::function<void(Result<std::vector<ListedReplica>>)>;
  virtual ~ReplicaDirectory() = default;

  /// Reads the complete list. Calls `callback` once, never from within this
  /// call: with every entry that could be parsed, or with kOverloaded (the
  /// platform reports too many calls) or kUpstreamUnavailable.
  void Read(Callback callback) { OnRead(std::move(callback)); }

 protected:
  virtual void OnRead(Callback callback) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_REPLICA_DIRECTORY_H_
