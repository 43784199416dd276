#include "adapters/peer_settings.h"

#include <vector>

#include "adapters/common_settings.h"
#include "adapters/key_file.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {

PeerStackOptions ReadPeerOptions(SettingsReader& reader, MemberRole role,
                                 const std::string& controls_key) {
  PeerStackOptions options;
  options.role = role;
  options.availability_zone = reader.RequiredString("availability_zone");
  options.listen = reader.RequiredAddress("listen.peers");
  options.key = ReadSecretSetting(reader, "keys.peer_key_file", kMinKeyBytes);
  options.controls = ToAddresses(reader.Addresses(controls_key));
  options.seeds = ToAddresses(reader.Addresses("membership.seeds"));
  options.seeds.insert(options.seeds.end(), options.controls.begin(),
                       options.controls.end());
  const std::vector<Address> refused =
      ToAddresses(reader.Addresses("testing.refused_peers"));
  options.refused_peers.insert(refused.begin(), refused.end());
  return options;
}

}  // namespace chicoryvale
