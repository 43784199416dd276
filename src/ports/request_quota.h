#ifndef CHICORYVALE_SRC_PORTS_REQUEST_QUOTA_H_
#define CHICORYVALE_SRC_PORTS_REQUEST_QUOTA_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/time.h"

namespace chicoryvale {

/// The quota of a workspace, which holds for all entries together.
struct WorkspaceQuota {
  std::string workspace;
  double max_requests_per_s = 0;
  /// Requests that may be sent at once beyond that rate.
  double burst = 0;
  /// Version of the configuration that states the quota.
  std::uint64_t config_version = 0;
};

/// Whether a request is within the quota of its workspace.
enum class QuotaVerdict : std::uint8_t {
  kWithinQuota,
  kOverQuota,
  /// No entry that knows the use of the quota answered.
  kUnknown,
};

/// The answer to RequestQuota::Acquire.
struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kUnknown;
  /// Unless the request is within the quota: the time after which it is worth
  /// trying again.
  Duration retry_after{};
};

/// Interface to the quotas of workspaces. Not thread safe.
class RequestQuota {
 public:
  using Callback = std::function<void(const QuotaDecision& decision)>;
  virtual ~RequestQuota() = default;

  /// Takes a token for one request. Calls `callback` once, possibly from within
  /// this call. Precondition: the rate is positive.
  void Acquire(const WorkspaceQuota& quota, Callback callback) {
    OnAcquire(quota, std::move(callback));
  }

  /// Returns the token of a request that was not sent to any replica.
  void GiveBack(const std::string& workspace) { OnGiveBack(workspace); }

 protected:
  virtual void OnAcquire(const WorkspaceQuota& quota, Callback callback) = 0;
  virtual void OnGiveBack(const std::string& workspace) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_REQUEST_QUOTA_H_
