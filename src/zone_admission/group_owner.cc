#include "zone_admission/group_owner.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// Upper bound of the times in a message, so that a wrong one does not
/// overflow.
constexpr std::uint64_t kMaxTimeUs = 600'000'000;

Duration TimeOf(std::uint64_t us) {
  return Duration(static_cast<Duration::rep>(std::min(us, kMaxTimeUs)));
}

AdmittedOutcome OutcomeOf(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(AdmittedOutcome::kUnknown)
             ? static_cast<AdmittedOutcome>(value)
             : AdmittedOutcome::kUnknown;
}

}  // namespace

GroupAdmission& GroupOwner::GroupOf(const std::string& name) {
  const auto known = m_groups.find(name);
  if (known != m_groups.end()) return *known->second;
  if (m_groups.size() >= kMaxIdleGroups) {
    std::erase_if(m_groups,
                  [](const auto& entry) { return entry.second->IsIdle(); });
  }
  return *m_groups
              .emplace(name, std::make_unique<GroupAdmission>(
                                 m_scheduler, &m_counters, m_random()))
              .first->second;
}

bool GroupOwner::IsSaturated(const std::string& group) const {
  const auto known = m_groups.find(group);
  return known != m_groups.end() && known->second->IsSaturated();
}

void GroupOwner::Handle(const Address& from, const AdmissionCallMessage& call,
                        const Respond& respond) {
  GroupAdmission& group = GroupOf(call.group);
  for (const AdmissionEndMessage& ended : call.ended) {
    const AdmittedOutcome outcome = OutcomeOf(ended.outcome);
    if (ended.ticket != 0) {
      group.Finish(ended.ticket, outcome);
    } else {
      group.RecordEnd({TimeOf(ended.target_latency_us),
                       TimeOf(ended.time_in_flight_us), outcome});
    }
  }
  group.RecordInFlight(from.host_port, call.in_flight);
  if (!call.ask) return respond({.is_saturated = group.IsSaturated()});
  const ZoneAdmissionRequest request{
      call.group, call.ask->workspace, call.ask->priority,
      TimeOf(call.ask->target_latency_us), TimeOf(call.ask->time_limit_us)};
  // The ticket is known only after Submit, which may decide at once.
  const auto ticket = std::make_shared<AdmissionTicket>(0);
  const auto decided = std::make_shared<std::optional<ZoneAdmissionDecision>>();
  const auto reply = [this, name = call.group, ticket,
                      respond](const ZoneAdmissionDecision& decision) {
    respond({IsSaturated(name), decision.is_admitted, *ticket,
             static_cast<std::uint64_t>(decision.retry_after.count())});
  };
  *ticket = group.Submit(
      request, [ticket, decided, reply](const ZoneAdmissionDecision& decision) {
        if (*ticket != 0) return reply(decision);
        *decided = decision;
      });
  if (*decided) reply(**decided);
}

}  // namespace chicoryvale
