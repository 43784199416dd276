#ifndef CHICORYVALE_SRC_ADAPTERS_COMMON_SETTINGS_H_
#define CHICORYVALE_SRC_ADAPTERS_COMMON_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "adapters/log.h"
#include "base/ids.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// Reads the secret of at least `min_bytes` bytes from the file whose path is
/// the setting `key`. Adds errors to `reader` and then returns an empty string.
std::string ReadSecretSetting(SettingsReader& reader, const std::string& key,
                              std::size_t min_bytes);

/// Reads "log.level". Returns kInfo if the key is absent or invalid.
LogLevel ReadLogLevel(SettingsReader& reader);

/// Reads "log.target", which is "stderr" or "stdout". Returns kStandardError if
/// the key is absent or invalid.
LogTarget ReadLogTarget(SettingsReader& reader);

/// Reads "shutdown.linger_ms": the time during a shutdown from reporting
/// unready until new requests are refused.
Duration ReadLinger(SettingsReader& reader);

/// Limits of the VM on this process. 0: not set.
struct ResourceLimits {
  std::size_t memory_bytes = 0;
  std::uint32_t max_fds = 0;
};

/// Reads the optional settings "limits.memory_mb" and "limits.max_fds".
ResourceLimits ReadResourceLimits(SettingsReader& reader);

/// Converts each text to an address and keeps the order.
std::vector<Address> ToAddresses(const std::vector<std::string>& texts);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_COMMON_SETTINGS_H_
