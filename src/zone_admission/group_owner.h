#ifndef CHICORYVALE_SRC_ZONE_ADMISSION_GROUP_OWNER_H_
#define CHICORYVALE_SRC_ZONE_ADMISSION_GROUP_OWNER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "base/counters.h"
#include "base/ids.h"
#include "ports/scheduler.h"
#include "zone_admission/admission_messages.h"
#include "zone_admission/group_admission.h"

namespace chicoryvale {

/// Answers the calls of the entries of an availability zone about the groups of
/// replicas that this entry owns, or that others believe it to own. Not thread
/// safe.
class GroupOwner {
 public:
  using Respond = std::function<void(const AdmissionReplyMessage& reply)>;

  /// `scheduler` outlives the object.
  GroupOwner(Scheduler* scheduler, std::uint64_t seed)
      : m_scheduler(scheduler), m_random(seed) {}

  /// Handles a call of the entry `from`. Calls `respond` once: at once, or if
  /// the call asks for a request that has to wait, when that is decided.
  void Handle(const Address& from, const AdmissionCallMessage& call,
              const Respond& respond);

  /// Returns whether entries should ask for requests to `group`.
  [[nodiscard]] bool IsSaturated(const std::string& group) const;

  [[nodiscard]] const CounterSet<GroupAdmissionCounter>& Counters() const {
    return m_counters;
  }
  /// Returns the number of groups for which calls came.
  [[nodiscard]] std::size_t GroupCount() const { return m_groups.size(); }

 private:
  /// Groups that are idle are removed once this many are known.
  static constexpr std::size_t kMaxIdleGroups = 64;

  GroupAdmission& GroupOf(const std::string& name);

  Scheduler* m_scheduler;
  std::mt19937_64 m_random;
  CounterSet<GroupAdmissionCounter> m_counters;
  std::unordered_map<std::string, std::unique_ptr<GroupAdmission>> m_groups;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ZONE_ADMISSION_GROUP_OWNER_H_
