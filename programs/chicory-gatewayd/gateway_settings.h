#ifndef CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_SETTINGS_H_

#include <string>

#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "base/time.h"
#include "routing/replica_list_sync.h"
#include "routing/retry_budget.h"

namespace chicoryvale {

class SettingsReader;

/// Settings of an entry VM's process that routes opaque requests.
struct GatewaySettings {
  /// Its `controls` are asked for the configuration at the start.
  PeerStackOptions peers;
  std::string listen_callers;
  /// Where the platform's balancer asks whether this VM is ready.
  std::string listen_ready;
  std::string listen_metrics;
  /// The platform's list of replicas.
  std::string replica_list_address;
  ReplicaListOptions replica_list;
  RetryBudgetOptions budget;
  std::uint32_t max_connections = 0;
  /// Time between the end of readiness and the refusal of new connections.
  Duration linger{};
  /// Time in which the process ends after a signal.
  Duration grace{};
  LogLevel log_level = LogLevel::kInfo;
  LogTarget log_target = LogTarget::kStandardError;
};

/// Reads all settings; faults go to `reader`.
GatewaySettings ReadGatewaySettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_SETTINGS_H_
