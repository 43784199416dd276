#ifndef CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_

#include <string>
#include <vector>

#include "adapters/log.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// Settings of a control VM's process.
struct ControlSettings {
  std::string availability_zone;
  /// Folder on the disk that holds the log.
  std::string data_folder;
  std::string listen_operators;
  std::string listen_peers;
  std::string listen_metrics;
  std::string operator_token;
  std::string peer_key;
  /// Peer addresses of the control VMs that form the group at first start.
  std::vector<std::string> group;
  /// Whether this VM may form a new group when it has no state.
  bool may_form_group = false;
  /// Peer addresses of entry VMs or control VMs, to join the membership.
  std::vector<std::string> seeds;
  /// Peers that are neither talked nor listened to; cuts links in tests.
  std::vector<std::string> refused_peers;
  Duration linger{};
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads all settings; faults go to `reader`.
ControlSettings ReadControlSettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_
