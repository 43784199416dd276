#ifndef CHICORYVALE_TESTS_UPSTREAM_TESTS_SUPPORT_H_
#define CHICORYVALE_TESTS_UPSTREAM_TESTS_SUPPORT_H_

#include <string>
#include <vector>

#include "config/cluster_config.h"
#include "fakes/fake_scheduler.h"
#include "ports/upstream_transport.h"

namespace chicoryvale::upstream_test {

/// Address and availability zone of a replica.
struct ReplicaSpec {
  std::string address;
  std::string zone;
};

/// Returns a configuration of service "s" with one shard of two-slot replicas.
inline ClusterConfig MakeServiceConfig(
    const std::vector<ReplicaSpec>& replicas) {
  ServiceConfig service;
  service.name = "s";
  service.shards.emplace_back();
  for (const ReplicaSpec& replica : replicas) {
    service.shards[0].replicas.push_back(
        {{replica.address}, replica.zone, false});
  }
  ClusterConfig config;
  config.services = {service};
  return config;
}

inline SubOutcome MakeOutcome(SubOutcomeKind kind) {
  SubOutcome outcome;
  outcome.kind = kind;
  return outcome;
}

inline SubOutcome MakeAnswered() {
  return MakeOutcome(SubOutcomeKind::kAnswered);
}

}  // namespace chicoryvale::upstream_test

#endif  // CHICORYVALE_TESTS_UPSTREAM_TESTS_SUPPORT_H_
