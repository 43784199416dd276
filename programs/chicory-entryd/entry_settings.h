#ifndef CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "adapters/common_settings.h"
#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// Settings of chicory-entryd, the process of an entry VM.
struct EntrySettings {
  PeerStackOptions peers;
  std::string listen_callers;
  std::string listen_metrics;
  /// URL or file of the platform's list of VMs; empty if none is read.
  std::string platform_list;
  /// Number of entry VMs among which the connection limit of each replica is
  /// divided. At least the number of existing entry VMs, and less than twice
  /// that number.
  std::uint32_t entry_seats = 0;
  /// Maximum size of the body of a caller's request, in bytes.
  std::uint32_t max_body_bytes = 0;
  /// Maximum number of open connections of callers.
  std::uint32_t max_connections = 0;
  ResourceLimits resources;
  Duration linger{};
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads all settings and reports errors to `reader`.
EntrySettings ReadEntrySettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_SETTINGS_H_
