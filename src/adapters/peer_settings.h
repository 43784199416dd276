#ifndef CHICORYVALE_SRC_ADAPTERS_PEER_SETTINGS_H_
#define CHICORYVALE_SRC_ADAPTERS_PEER_SETTINGS_H_

#include <string>

#include "adapters/peer_stack.h"

namespace chicoryvale {

class SettingsReader;

/// Reads what a process of `role` needs to talk to the others; faults go to
/// `reader`. `controls_key` names the list of the control VMs' peer addresses,
/// which are seeds of the membership as well. The scheduler is left unset.
PeerStackOptions ReadPeerOptions(SettingsReader& reader, MemberRole role,
                                 const std::string& controls_key);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PEER_SETTINGS_H_
