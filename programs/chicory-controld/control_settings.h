#ifndef CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_

#include <string>

#include "adapters/common_settings.h"
#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// Settings of chicory-controld, the process of a control VM.
struct ControlSettings {
  /// `peers.controls` lists the initial members of the control group. If it is
  /// empty, this VM is the only one.
  PeerStackOptions peers;
  /// Folder on disk for the replicated log.
  std::string data_folder;
  /// Address of the operators' RPCs. Empty if `listen_routing` is set:
  /// operators then configure only routes.
  std::string listen_operators;
  /// Address at which the platform's operators read and replace the routing
  /// configuration; empty if it is not served.
  std::string listen_routing;
  std::string listen_metrics;
  std::string operator_token;
  /// Whether this VM may form a new group when it has no state.
  bool may_form_group = false;
  /// Whether control VMs are added to the group automatically.
  bool keep_members = false;
  Duration linger{};
  ResourceLimits resources;
  LogLevel log_level = LogLevel::kInfo;
  LogTarget log_target = LogTarget::kStandardError;
};

/// Reads all settings and reports errors to `reader`.
ControlSettings ReadControlSettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_SETTINGS_H_
