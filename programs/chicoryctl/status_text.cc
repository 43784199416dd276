#include "chicoryctl/status_text.h"

#include <algorithm>
#include <iomanip>
#include <string>

namespace chicoryvale {
namespace {

constexpr int kAddressWidth = 24;
constexpr int kRoleWidth = 9;
constexpr int kZoneWidth = 18;

std::string VersionText(const v1::NodeStatus& node) {
  if (!node.reachable() && node.version() == 0) return "unknown";
  if (!node.reachable()) {
    return "unknown, last seen at " + std::to_string(node.version()) + " " +
           std::to_string(node.age_ms()) + " ms ago";
  }
  return std::to_string(node.version());
}

void PrintNodes(const v1::ClusterStatus& status, std::ostream& out) {
  for (const v1::NodeStatus& node : status.nodes()) {
    out << "  " << std::left << std::setw(kAddressWidth) << node.address()
        << std::setw(kRoleWidth) << node.role() << std::setw(kZoneWidth)
        << node.availability_zone() << "version " << VersionText(node) << "\n";
  }
}

}  // namespace

void PrintClusterStatus(const v1::ClusterStatus& status, std::ostream& out) {
  out << "version " << status.version() << ", term " << status.term()
      << ", leader " << status.leader() << "\n";
  PrintNodes(status, out);
}

void PrintRollout(const v1::ClusterStatus& status, std::ostream& out) {
  const auto& nodes = status.nodes();
  const auto current =
      std::ranges::count_if(nodes, [&status](const v1::NodeStatus& node) {
        return node.reachable() && node.version() >= status.version();
      });
  const auto unknown = std::ranges::count_if(
      nodes, [](const v1::NodeStatus& node) { return !node.reachable(); });
  out << "version " << status.version() << " is in force on " << current
      << " of " << nodes.size() << " nodes; " << unknown << " unknown\n";
  PrintNodes(status, out);
}

void PrintServiceStatus(const v1::ServiceStatus& status, std::ostream& out) {
  out << "version " << status.version() << ", map epoch " << status.map_epoch()
      << ", index version " << status.index_version() << ", "
      << status.limits().slots() << " slots and "
      << status.limits().connections() << " connections a replica\n";
  for (int shard = 0; shard < status.shards_size(); ++shard) {
    out << "  shard " << shard << ":";
    for (const v1::Replica& replica : status.shards(shard).replicas()) {
      out << " " << replica.address() << " (" << replica.availability_zone()
          << (replica.draining() ? ", draining)" : ")");
    }
    out << "\n";
  }
}

}  // namespace chicoryvale
