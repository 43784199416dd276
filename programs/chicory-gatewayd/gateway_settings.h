#ifndef CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_SETTINGS_H_

#include <string>

#include "adapters/common_settings.h"
#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "base/time.h"
#include "placement/zone_overflow.h"
#include "quota/quota_owner.h"
#include "routing/replica_list_sync.h"
#include "routing/retry_budget.h"

namespace chicoryvale {

class SettingsReader;

/// Settings of the process that routes opaque requests on an entry VM.
struct GatewaySettings {
  /// The control VMs in `controls` are asked for the configuration at the
  /// start.
  PeerStackOptions peers;
  std::string listen_callers;
  /// Address at which the platform's load balancer asks whether this VM is
  /// ready.
  std::string listen_ready;
  std::string listen_metrics;
  /// Address of the platform's replica list.
  std::string replica_list_address;
  ReplicaListOptions replica_list;
  RetryBudgetOptions retry_budget;
  QuotaOptions quota;
  ZoneOverflowOptions zone_overflow;
  /// Whether the entries of a zone admit requests together if the configuration
  /// has workspaces.
  bool admits_by_zone = false;
  /// Maximum number of open connections of callers.
  std::uint32_t max_connections = 0;
  /// Time between the report that this VM is not ready and the refusal of new
  /// connections.
  Duration linger{};
  /// Maximum time from a termination signal to the exit of the process; zero
  /// for no limit.
  Duration grace{};
  ResourceLimits resources;
  LogLevel log_level = LogLevel::kInfo;
  LogTarget log_target = LogTarget::kStandardError;
};

/// Reads all settings. Errors are reported to `reader`.
GatewaySettings ReadGatewaySettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_SETTINGS_H_
