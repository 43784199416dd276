#ifndef CHICORYVALE_SRC_PORTS_ZONE_ADMISSION_H_
#define CHICORYVALE_SRC_PORTS_ZONE_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/time.h"

namespace chicoryvale {

/// Number of a request in admission control, unique among the requests of this
/// entry that have not ended.
using AdmissionId = std::uint64_t;

/// How an admitted request ended.
enum class AdmittedOutcome : std::uint8_t {
  kServedInTime,
  kNotServedInTime,
  /// The request says nothing about the load, for example because its caller
  /// disconnected.
  kUnknown,
};

/// A request that competes with others for a group of replicas.
struct ZoneAdmissionRequest {
  /// Name of the group, which is the name of its first service.
  std::string group;
  /// Empty if the caller has none.
  std::string workspace;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Time within which an answer has its full value for the caller.
  Duration target_latency{};
  /// Time within which the request ends.
  Duration time_limit{};
};

/// The answer to a ZoneAdmissionRequest.
struct ZoneAdmissionDecision {
  bool is_admitted = false;
  /// If it is not: the time after which the caller should retry.
  Duration retry_after{};
};

/// Interface to the admission of requests to replicas for which all entries of
/// an availability zone compete. Not thread safe.
class ZoneAdmission {
 public:
  using Callback = std::function<void(const ZoneAdmissionDecision& decision)>;
  virtual ~ZoneAdmission() = default;

  /// Asks for the admission of a request. Calls `callback` once, possibly from
  /// within this call, unless the request is cancelled first.
  void Submit(AdmissionId id, const ZoneAdmissionRequest& request,
              Callback callback) {
    OnSubmit(id, request, std::move(callback));
  }

  /// Ends an admitted request. Does nothing if it waits or has ended.
  void Finish(AdmissionId id, AdmittedOutcome outcome) {
    OnFinish(id, outcome);
  }

  /// Removes a waiting request, or ends an admitted one with kUnknown. Does
  /// nothing if the request has ended.
  void Cancel(AdmissionId id) { OnCancel(id); }

 protected:
  virtual void OnSubmit(AdmissionId id, const ZoneAdmissionRequest& request,
                        Callback callback) = 0;
  virtual void OnFinish(AdmissionId id, AdmittedOutcome outcome) = 0;
  virtual void OnCancel(AdmissionId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_ZONE_ADMISSION_H_
