#ifndef CHICORYVALE_SRC_ROUTING_RELAY_PLAN_H_
#define CHICORYVALE_SRC_ROUTING_RELAY_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

namespace chicoryvale {

/// A part of a scattered request that no replica of the own zone would serve.
struct RemotePart {
  /// Its place among the parts of the request.
  std::size_t index = 0;
  /// Zones with a replica that could serve it.
  std::vector<std::string> zones;
};

/// Parts that one entry of a zone is asked for together.
struct RelayGroup {
  std::string zone;
  std::vector<std::size_t> parts;
  bool operator==(const RelayGroup&) const = default;
};

/// Groups `parts` into few messages: bytes between zones are what a request
/// over many shards costs most of, and a message for each zone carries the
/// request once and the merged records only. A zone is taken for as many parts
/// as it can serve, those of `zones` being asked in that order where they tie;
/// the caller changes the order from request to request. A part that would go
/// alone is left out: it is cheaper sent directly. Thread safe.
std::vector<RelayGroup> PlanRelays(std::vector<RemotePart> parts,
                                   const std::vector<std::string>& zones);

/// Parts that an entry sends itself; more of them are shared among entries of
/// its zone. Answers the load in which one request is so much work that an
/// entry with a small part of a core would be late with it alone, while its
/// neighbors are idle.
inline constexpr std::size_t kMostDirectParts = 32;

/// Splits a group into messages of about equal size that one entry can work on
/// in time. Parts keep their order, so that a message for the same place in the
/// group holds about the same parts in each request. Thread safe.
std::vector<RelayGroup> SplitGroup(const RelayGroup& group);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RELAY_PLAN_H_
