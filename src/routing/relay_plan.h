#ifndef CHICORYVALE_SRC_ROUTING_RELAY_PLAN_H_
#define CHICORYVALE_SRC_ROUTING_RELAY_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

namespace chicoryvale {

/// A sub-request for which the best replica is in another availability zone.
struct RemoteSubRequest {
  /// Index among the sub-requests of the request.
  std::size_t index = 0;
  /// Availability zones with a replica that could serve it.
  std::vector<std::string> zones;
};

/// Sub-requests that are sent to one zone together, by index.
struct RelayGroup {
  std::string zone;
  std::vector<std::size_t> indices;
  bool operator==(const RelayGroup&) const = default;
};

/// Groups `sub_requests` by zone into few messages. The bytes sent between
/// zones are the largest cost of a request over many shards; one message per
/// zone carries the request only once and returns only the merged records. Each
/// step picks the zone that can serve the most remaining sub-requests; among
/// equals, the first one in `zones`, whose order the caller changes from
/// request to request. A sub-request that would be alone in its message is left
/// out, because sending it directly is cheaper. Thread safe.
std::vector<RelayGroup> PlanRelays(std::vector<RemoteSubRequest> sub_requests,
                                   const std::vector<std::string>& zones);

/// Maximum number of sub-requests that an entry sends itself. More of them are
/// shared among the entries of its zone: one request can be so much work that
/// an entry with a small share of a core would be late with it, while its
/// neighbors are idle.
inline constexpr std::size_t kMaxDirectSubRequests = 32;

/// Splits a group into messages of about equal size that one entry can process
/// in time. The order is kept, so the message at a given position contains
/// about the same shards in each request. Thread safe.
std::vector<RelayGroup> SplitRelayGroup(const RelayGroup& group);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RELAY_PLAN_H_
