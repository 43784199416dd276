#include "upstream/connection_share.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace chicoryvale {

ConnectionBudget ConnectionShare::Compute(
    const ConnectionShareSettings& settings, std::uint32_t limit,
    std::uint32_t holders, bool lease_held) {
  assert(settings.seats > 0 && holders > 0);
  ConnectionBudget budget;
  // The seats permanently own half of the limit, with at least one connection
  // each if the limit allows it.
  const std::uint32_t per_seat_limit = limit / settings.seats;
  const std::uint32_t floor =
      std::max(std::min<std::uint32_t>(per_seat_limit, 1), per_seat_limit / 2);
  budget.total = floor;
  const bool majority = 2 * holders > settings.seats;
  if (lease_held && majority) {
    budget.total += (limit - floor * settings.seats) / holders;
  }
  const auto reserved = static_cast<std::uint32_t>(
      std::ceil(settings.reserve_ratio * static_cast<double>(budget.total)));
  budget.usable = budget.total < 2 ? budget.total : budget.total - reserved;
  return budget;
}

void ConnectionShare::Update(const MemberView& view) {
  const std::vector<Member> members = view.Members();
  const auto holders = std::ranges::count_if(members, [](const Member& member) {
    return member.info.role == MemberRole::kEntry &&
           OwnsConnectionShare(member.state);
  });
  m_holders = std::max<std::uint32_t>(1, holders);
  m_lease_held = view.OwnLeaseHeld();
}

}  // namespace chicoryvale
