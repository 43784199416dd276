#ifndef CHICORYVALE_SRC_ADAPTERS_COMMON_SETTINGS_H_
#define CHICORYVALE_SRC_ADAPTERS_COMMON_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "adapters/log.h"
#include "base/ids.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// Reads the secret in the file that `key` names, at least `min_bytes` long;
/// faults of the file go to `reader`.
std::string ReadSecretSetting(SettingsReader& reader, const std::string& key,
                              std::size_t min_bytes);

/// Reads "log.level", "info" if absent.
LogLevel ReadLogLevel(SettingsReader& reader);

/// Reads "log.target", "stderr" if absent, or "stdout".
LogTarget ReadLogTarget(SettingsReader& reader);

/// Reads "shutdown.linger_ms": the time between the end of readiness and the
/// refusal of new requests.
Duration ReadLinger(SettingsReader& reader);

/// Returns the addresses that `texts` name, in their order.
std::vector<Address> ToAddresses(const std::vector<std::string>& texts);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_COMMON_SETTINGS_H_
