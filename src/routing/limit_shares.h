#ifndef CHICORYVALE_SRC_ROUTING_LIMIT_SHARES_H_
#define CHICORYVALE_SRC_ROUTING_LIMIT_SHARES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ports/member_view.h"

namespace chicoryvale {

/// Returns the number of entries among which limits are divided that apply to
/// all of them together: all that may be running. A member that has left does
/// not count, but this process always does, since it finishes its requests in
/// flight after it has left. At least 1. Thread safe.
std::uint32_t CountLimitSharers(const MemberView& members);

/// Returns the number of connections that each of `entry_count` entries may
/// open to a replica that accepts `max_connections` from all of them. At least
/// 1, even if a replica accepts fewer connections than there are entries.
/// Precondition: `entry_count` is not 0. Thread safe.
std::uint32_t ReplicaConnectionShare(std::uint32_t max_connections,
                                     std::uint32_t entry_count);

/// An entry that may be sending to replicas.
struct LimitSharer {
  Address address;
  std::string availability_zone;
};

/// The entries among which a rate is divided that a replica states for all of
/// them together.
struct RateSharers {
  LimitSharer self;
  std::vector<LimitSharer> others;
};

/// Returns the entries that may be running, as CountLimitSharers counts them.
/// Thread safe.
RateSharers ListRateSharers(const MemberView& members);

/// Identifies a replica in the division of its rate.
struct RateOwner {
  std::string replica_id;
  std::string availability_zone;
};

/// Returns the part of `rate_per_s` that this entry may use; positive if
/// `rate_per_s` is. The parts of all entries add up to the rate if they know
/// the same entries. Entries in the zone of the replica get more than others,
/// because they also relay the sub-requests of those. Each entry may send one
/// request at any time, so if there are too many of them, a few get nearly all
/// of the rate, and the rest only what it needs to learn of a change. Thread
/// safe.
double ShareOfRate(double rate_per_s, const RateOwner& replica,
                   const RateSharers& sharers);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_LIMIT_SHARES_H_
