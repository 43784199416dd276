#include "routing/relay_plan.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// Parts for which a message pays.
constexpr std::size_t kLeastParts = 2;

/// Parts of one message. Asking an entry costs this process about what sending
/// one part does; more parts a message make the asked entry the slower of both.
constexpr std::size_t kMostParts = 10;

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

std::vector<RelayGroup> SplitGroup(const RelayGroup& group) {
  const std::size_t size = group.parts.size();
  const std::size_t count = (size + kMostParts - 1) / kMostParts;
  std::vector<RelayGroup> groups;
  for (std::size_t i = 0; i < count; ++i) {
    const auto from =
        group.parts.begin() + static_cast<std::ptrdiff_t>(i * size / count);
    const auto to = group.parts.begin() +
                    static_cast<std::ptrdiff_t>((i + 1) * size / count);
    groups.push_back({group.zone, {from, to}});
  }
  return groups;
}

}  // namespace chicoryvale
