#include "chicory-controld/control_settings.h"

#include "adapters/common_settings.h"
#include "adapters/key_file.h"
#include "adapters/peer_settings.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {

ControlSettings ReadControlSettings(SettingsReader& reader) {
  ControlSettings settings;
  settings.peers =
      ReadPeerOptions(reader, MemberRole::kControl, "group.members");
  settings.data_folder = reader.RequiredString("data_folder");
  settings.listen_routing = reader.String("listen.routing", "");
  if (settings.listen_routing.empty()) {
    settings.listen_operators = reader.RequiredAddress("listen.operators");
    settings.operator_token =
        ReadSecretSetting(reader, "keys.operator_token_file", kMinTokenBytes);
  }
  settings.listen_metrics = reader.RequiredAddress("listen.metrics");
  settings.may_form_group = reader.Bool("group.may_form", false);
  settings.keep_members = reader.Bool("group.keep_members", false);
  settings.linger = ReadLinger(reader);
  settings.resources = ReadResourceLimits(reader);
  settings.log_level = ReadLogLevel(reader);
  settings.log_target = ReadLogTarget(reader);
  return settings;
}

}  // namespace chicoryvale
