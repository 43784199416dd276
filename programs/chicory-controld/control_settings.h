#ifndef CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_

#include <string>

#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// Settings of a control VM's process.
struct ControlSettings {
  /// Its `controls` are the VMs that form the group at first start; empty for
  /// this VM alone.
  PeerStackOptions peers;
  /// Folder on the disk that holds the log.
  std::string data_folder;
  /// Empty for none: then routes are all that operators configure.
  std::string listen_operators;
  /// Where the platform's operators replace and read the configuration of
  /// routes; empty for none.
  std::string listen_routing;
  std::string listen_metrics;
  std::string operator_token;
  /// Whether this VM may form a new group when it has no state.
  bool may_form_group = false;
  /// Whether control VMs join the group by themselves.
  bool keep_members = false;
  Duration linger{};
  LogLevel log_level = LogLevel::kInfo;
  LogTarget log_target = LogTarget::kStandardError;
};

/// Reads all settings; faults go to `reader`.
ControlSettings ReadControlSettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_
