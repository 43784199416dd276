#include "adapters/peer_settings.h"

#include <string>
#include <vector>

#include "adapters/common_settings.h"
#include "adapters/key_file.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {

namespace {

// Reads the key from the setting, or from a file if the setting is absent.
std::string ReadPeerKey(SettingsReader& reader) {
  std::string key = reader.String("keys.peer_key", "");
  if (key.empty()) {
    return ReadSecretSetting(reader, "keys.peer_key_file", kMinKeyBytes);
  }
  if (key.size() < kMinKeyBytes) {
    reader.AddError("keys.peer_key", "keys.peer_key has less than " +
                                         std::to_string(kMinKeyBytes) +
                                         " bytes");
  }
  return key;
}

// Replaces the port of all `addresses` by the port of `listen`.
void ReplacePorts(const std::string& listen, std::vector<Address>* addresses) {
  const std::string port = listen.substr(listen.rfind(':') + 1);
  for (Address& address : *addresses) {
    std::string& text = address.host_port;
    text.replace(text.rfind(':') + 1, std::string::npos, port);
  }
}

}  // namespace

PeerStackOptions ReadPeerOptions(SettingsReader& reader, MemberRole role,
                                 const std::string& controls_key) {
  PeerStackOptions options;
  options.role = role;
  options.availability_zone = reader.RequiredString("availability_zone");
  options.listen = reader.RequiredAddress("listen.peers");
  options.key = ReadPeerKey(reader);
  options.controls = ToAddresses(reader.Addresses(controls_key));
  options.seeds = ToAddresses(reader.Addresses("membership.seeds"));
  options.seeds.insert(options.seeds.end(), options.controls.begin(),
                       options.controls.end());
  // If all VMs use the same ports, the lists may name any port of a VM. It is
  // replaced by the peer port, on which this process listens as well.
  if (reader.Bool("membership.peers_share_port", false)) {
    ReplacePorts(options.listen, &options.controls);
    ReplacePorts(options.listen, &options.seeds);
  }
  const std::vector<Address> refused_peers =
      ToAddresses(reader.Addresses("testing.refused_peers"));
  options.refused_peers.insert(refused_peers.begin(), refused_peers.end());
  return options;
}

}  // namespace chicoryvale
