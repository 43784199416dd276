#include "routing/relay_plan.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// Parts for which a message pays.
constexpr std::size_t kLeastParts = 2;

bool CanServe(const RemotePart& part, const std::string& zone) {
  return std::ranges::find(part.zones, zone) != part.zones.end();
}

}  // namespace

std::vector<RelayGroup> PlanRelays(std::vector<RemotePart> parts,
                                   const std::vector<std::string>& zones) {
  std::vector<RelayGroup> groups;
  while (!zones.empty()) {
    const auto count = [&parts](const std::string& zone) {
      return std::ranges::count_if(parts, [&zone](const RemotePart& part) {
        return CanServe(part, zone);
      });
    };
    // The first of equals is taken.
    const std::string& zone = *std::ranges::max_element(zones, {}, count);
    RelayGroup group{zone, {}};
    std::erase_if(parts, [&group](const RemotePart& part) {
      if (!CanServe(part, group.zone)) return false;
      group.parts.push_back(part.index);
      return true;
    });
    if (group.parts.size() < kLeastParts) break;
    groups.push_back(std::move(group));
  }
  return groups;
}

}  // namespace chicoryvale
