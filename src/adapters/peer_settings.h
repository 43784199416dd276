#ifndef CHICORYVALE_SRC_ADAPTERS_PEER_SETTINGS_H_
#define CHICORYVALE_SRC_ADAPTERS_PEER_SETTINGS_H_

#include <string>

#include "adapters/peer_stack.h"

namespace chicoryvale {

class SettingsReader;

/// Reads the settings that a process of `role` needs for communication with its
/// peers, and adds errors to `reader`. `controls_key` is the key of the list of
/// peer addresses of the control VMs, which are also seeds of the membership.
/// Does not set the scheduler.
PeerStackOptions ReadPeerOptions(SettingsReader& reader, MemberRole role,
                                 const std::string& controls_key);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PEER_SETTINGS_H_
