#ifndef CHICORYVALE_SRC_ADAPTERS_COMMAND_LINE_H_
#define CHICORYVALE_SRC_ADAPTERS_COMMAND_LINE_H_

#include <functional>
#include <string>
#include <string_view>

namespace chicoryvale {

/// Exit codes of all programs.
enum class ExitCode : int { kOk = 0, kRunFailed = 1, kBadSettings = 2 };

class SettingsReader;

/// What a daemon does with its settings file.
struct DaemonProgram {
  std::string_view name;
  std::string_view summary;
  /// Reads every setting; faults go to the reader.
  std::function<void(SettingsReader&)> read_settings;
  /// Runs the daemon after its settings were read without a fault.
  std::function<ExitCode()> run;
  /// Set to the path of the settings file; null if it is of no interest.
  std::string* config_path = nullptr;
  /// Set by `--json`; null if the program has no such option.
  bool* json = nullptr;
};

/// Implements `--help`, `--version`, `--config FILE` and `--check` for a
/// daemon. With `--check` the settings are read and nothing is started. Bad
/// arguments and bad settings give kBadSettings, with every fault on standard
/// error.
ExitCode RunDaemon(int argc, const char* const* argv,
                   const DaemonProgram& commands);

/// Reads a whole file; false if it cannot be read.
bool ReadFile(const std::string& path, std::string* content);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_COMMAND_LINE_H_
