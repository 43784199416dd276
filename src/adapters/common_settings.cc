#include "adapters/common_settings.h"

#include <algorithm>
#include <iterator>

#include "adapters/key_file.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

constexpr Duration kDefaultLinger = milliseconds(500);
constexpr IntegerRange kLingerRangeMs = {0, 600'000};

constexpr QuantityRange kMemoryRangeMb = {0, 16'777'216};
constexpr QuantityRange kMaxFdsRange = {0, 10'000'000};

}  // namespace

std::string ReadSecretSetting(SettingsReader& reader, const std::string& key,
                              std::size_t min_bytes) {
  const std::string path = reader.RequiredString(key);
  if (path.empty()) return {};
  auto secret = ReadSecretFile(path, min_bytes);
  if (secret) return *secret;
  reader.AddError(key, key + ": " + secret.error().message);
  return {};
}

LogLevel ReadLogLevel(SettingsReader& reader) {
  LogLevel level = LogLevel::kInfo;
  const std::string text = reader.String("log.level", "info");
  if (!ParseLogLevel(text, &level)) {
    reader.AddError("log.level", "log.level \"" + text +
                                     "\" is not debug, info, warning or error");
  }
  return level;
}

LogTarget ReadLogTarget(SettingsReader& reader) {
  const std::string text = reader.String("log.target", "stderr");
  if (text == "stdout") return LogTarget::kStandardOutput;
  if (text != "stderr") {
    reader.AddError("log.target",
                    "log.target \"" + text + "\" is not stderr or stdout");
  }
  return LogTarget::kStandardError;
}

Duration ReadLinger(SettingsReader& reader) {
  return reader.Milliseconds("shutdown.linger_ms", kDefaultLinger,
                             kLingerRangeMs);
}

ResourceLimits ReadResourceLimits(SettingsReader& reader) {
  constexpr double kBytesPerMb = 1 << 20;
  ResourceLimits limits;
  limits.memory_bytes = static_cast<std::size_t>(
      reader.Quantity("limits.memory_mb", 0, kMemoryRangeMb) * kBytesPerMb);
  limits.max_fds = static_cast<std::uint32_t>(
      reader.Quantity("limits.max_fds", 0, kMaxFdsRange));
  return limits;
}

std::vector<Address> ToAddresses(const std::vector<std::string>& texts) {
  std::vector<Address> addresses;
  std::ranges::transform(texts, std::back_inserter(addresses),
                         [](const std::string& text) { return Address{text}; });
  return addresses;
}

}  // namespace chicoryvale
