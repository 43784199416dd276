#ifndef CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// Settings of an entry VM's process.
struct EntrySettings {
  PeerStackOptions peers;
  std::string listen_callers;
  std::string listen_metrics;
  /// URL or file of the platform's list of VMs; empty: none is read.
  std::string platform_list;
  /// Entry VMs that the replicas' connection limits are divided for: no fewer
  /// than there are, and less than twice as many.
  std::uint32_t entry_seats = 0;
  /// Largest body of a caller's request.
  std::uint32_t max_body_bytes = 0;
  /// Connections of callers at a time.
  std::uint32_t max_connections = 0;
  Duration linger{};
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads all settings; faults go to `reader`.
EntrySettings ReadEntrySettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_SETTINGS_H_
