#include "routing/relay_plan.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// Minimum number of sub-requests for which a relay message is cheaper than
/// direct sends.
constexpr std::size_t kMinSubRequestsPerMessage = 2;

/// Maximum number of sub-requests in one message. Sending a message costs this
/// process about as much as sending one sub-request directly, so with more
/// sub-requests per message the relay would be the slower of the two.
constexpr std::size_t kMaxSubRequestsPerMessage = 10;

bool CanServe(const RemoteSubRequest& sub_request, const std::string& zone) {
  return std::ranges::find(sub_request.zones, zone) != sub_request.zones.end();
}

}  // namespace

std::vector<RelayGroup> PlanRelays(std::vector<RemoteSubRequest> sub_requests,
                                   const std::vector<std::string>& zones) {
  std::vector<RelayGroup> groups;
  while (!zones.empty()) {
    const auto count = [&sub_requests](const std::string& zone) {
      return std::ranges::count_if(
          sub_requests, [&zone](const RemoteSubRequest& sub_request) {
            return CanServe(sub_request, zone);
          });
    };
    // The first of several zones with the same count is chosen.
    const std::string& zone = *std::ranges::max_element(zones, {}, count);
    RelayGroup group{zone, {}};
    std::erase_if(sub_requests, [&group](const RemoteSubRequest& sub_request) {
      if (!CanServe(sub_request, group.zone)) return false;
      group.indices.push_back(sub_request.index);
      return true;
    });
    if (group.indices.size() < kMinSubRequestsPerMessage) break;
    groups.push_back(std::move(group));
  }
  return groups;
}

std::vector<RelayGroup> SplitRelayGroup(const RelayGroup& group) {
  const std::size_t size = group.indices.size();
  const std::size_t count =
      (size + kMaxSubRequestsPerMessage - 1) / kMaxSubRequestsPerMessage;
  std::vector<RelayGroup> groups;
  for (std::size_t i = 0; i < count; ++i) {
    const auto from =
        group.indices.begin() + static_cast<std::ptrdiff_t>(i * size / count);
    const auto to = group.indices.begin() +
                    static_cast<std::ptrdiff_t>((i + 1) * size / count);
    groups.push_back({group.zone, {from, to}});
  }
  return groups;
}

}  // namespace chicoryvale
