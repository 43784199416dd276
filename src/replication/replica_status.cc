#include "replication/replica_status.h"

#include <array>

namespace chicoryvale {

std::string_view ReplicaRoleName(ReplicaRole role) {
  constexpr std::array<std::string_view, 7> kNames = {
      "unformed",  "learner", "follower", "pre_candidate",
      "candidate", "leader",  "failed"};
  return kNames[static_cast<std::size_t>(role)];
}

}  // namespace chicoryvale
