#include "chicory-controld/control_settings.h"

#include "adapters/common_settings.h"
#include "adapters/key_file.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {

ControlSettings ReadControlSettings(SettingsReader& reader) {
  ControlSettings settings;
  settings.availability_zone = reader.RequiredString("availability_zone");
  settings.data_folder = reader.RequiredString("data_folder");
  settings.listen_operators = reader.RequiredAddress("listen.operators");
  settings.listen_peers = reader.RequiredAddress("listen.peers");
  settings.listen_metrics = reader.RequiredAddress("listen.metrics");
  settings.operator_token =
      ReadSecretSetting(reader, "keys.operator_token_file", kMinTokenBytes);
  settings.peer_key =
      ReadSecretSetting(reader, "keys.peer_key_file", kMinKeyBytes);
  settings.group = reader.Addresses("group.members");
  settings.may_form_group = reader.Bool("group.may_form", false);
  settings.seeds = reader.Addresses("membership.seeds");
  settings.refused_peers = reader.Addresses("testing.refused_peers");
  settings.linger = ReadLinger(reader);
  settings.log_level = ReadLogLevel(reader);
  return settings;
}

}  // namespace chicoryvale
