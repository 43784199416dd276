#include "routing/limit_shares.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

#include "base/hash.h"
#include "base/rendezvous.h"

namespace chicoryvale {
namespace {

/// Percentage of a replica's maximum number of connections that the entries
/// use. The rest allows for closed connections that the replica still counts.
constexpr std::uint32_t kUsableConnectionsPercent = 90;
constexpr std::uint32_t kPercent = 100;

/// Minimum number of entries of a large group.
constexpr std::uint32_t kLargeGroupEntryCount = 40;

/// Minimum number of connections that each entry of a large group may open to a
/// replica, even if an equal share is smaller. In a large group, a replica is
/// mostly used by the few entries that own its sub-requests (see RelayClient).
constexpr std::uint32_t kLargeGroupMinConnections = 4;

/// Weight of an entry in the division of what a replica in another zone
/// accepts, relative to an entry in the replica's zone.
constexpr double kOtherZoneWeight = 0.25;

/// Number of entries that may share a rate, for each request a second. If all
/// of them have been idle and then send at once, the replica gets the requests
/// of this many seconds more.
constexpr double kMaxSharersPerRate = 2.0;

/// Part of a rate that is left to the entries beyond this number.
constexpr double kRestOfRate = 0.1;

double ZoneWeight(const LimitSharer& sharer, const RateOwner& replica) {
  return sharer.availability_zone == replica.availability_zone
             ? 1
             : kOtherZoneWeight;
}

/// Order in which entries get a part of a rate: those of the replica's zone
/// first, and within a zone another one for each replica.
std::pair<bool, std::uint64_t> RateRank(const LimitSharer& sharer,
                                        const RateOwner& replica) {
  return {sharer.availability_zone == replica.availability_zone,
          RendezvousWeight(sharer.address.host_port,
                           HashBytes(replica.replica_id))};
}

}  // namespace

std::uint32_t CountLimitSharers(const MemberView& members) {
  return static_cast<std::uint32_t>(ListRateSharers(members).others.size()) + 1;
}

RateSharers ListRateSharers(const MemberView& members) {
  const MemberInfo& self = members.Self();
  RateSharers sharers;
  sharers.self = {self.address, self.availability_zone};
  for (const Member& member : members.Members()) {
    const bool shares = member.info.role == MemberRole::kEntry &&
                        member.state != MemberState::kLeft &&
                        member.info.address != self.address;
    if (!shares) continue;
    sharers.others.push_back(
        {member.info.address, member.info.availability_zone});
  }
  return sharers;
}

double ShareOfRate(double rate_per_s, const RateOwner& replica,
                   const RateSharers& sharers) {
  const std::size_t count = sharers.others.size() + 1;
  const std::size_t max_sharers =
      static_cast<std::size_t>(std::max(1.0, kMaxSharersPerRate * rate_per_s));
  const double own_weight = ZoneWeight(sharers.self, replica);
  if (count <= max_sharers) {
    const double weights = std::accumulate(
        sharers.others.begin(), sharers.others.end(), own_weight,
        [&replica](double sum, const LimitSharer& sharer) {
          return sum + ZoneWeight(sharer, replica);
        });
    return rate_per_s * own_weight / weights;
  }
  const auto own_rank = RateRank(sharers.self, replica);
  const auto before = static_cast<std::size_t>(std::ranges::count_if(
      sharers.others, [&replica, &own_rank](const LimitSharer& sharer) {
        return RateRank(sharer, replica) > own_rank;
      }));
  if (before < max_sharers) {
    return rate_per_s * (1 - kRestOfRate) / static_cast<double>(max_sharers);
  }
  return rate_per_s * kRestOfRate / static_cast<double>(count - max_sharers);
}

std::uint32_t ReplicaConnectionShare(std::uint32_t max_connections,
                                     std::uint32_t entry_count) {
  assert(entry_count != 0);
  const std::uint32_t min_connections =
      entry_count < kLargeGroupEntryCount ? 1 : kLargeGroupMinConnections;
  const std::uint32_t usable =
      max_connections * kUsableConnectionsPercent / kPercent;
  return std::max(usable / entry_count, min_connections);
}

}  // namespace chicoryvale
