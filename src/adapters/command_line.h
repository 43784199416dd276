#ifndef CHICORYVALE_SRC_ADAPTERS_COMMAND_LINE_H_
#define CHICORYVALE_SRC_ADAPTERS_COMMAND_LINE_H_

#include <functional>
#include <string>
#include <string_view>

namespace chicoryvale {

/// Exit codes of all programs. kBadSettings stands for invalid arguments,
/// settings or input files.
enum class ExitCode : int { kOk = 0, kRunFailed = 1, kBadSettings = 2 };

class SettingsReader;

/// Name, description and callbacks of a daemon program.
struct DaemonProgram {
  std::string_view name;
  std::string_view summary;
  /// Reads every setting and adds errors to the reader.
  std::function<void(SettingsReader&)> read_settings;
  /// Runs the daemon. Called only if its settings have no errors.
  std::function<ExitCode()> run;
  /// If not null, receives the path of the settings file.
  std::string* config_path = nullptr;
  /// If not null, the program has a `--json` option, which sets this flag.
  bool* json = nullptr;
};

/// Implements `--help`, `--version`, `--config FILE` and `--check` for a
/// daemon. With `--check` the settings are read and the daemon is not started.
/// Returns kBadSettings for invalid arguments or settings, and writes every
/// error to standard error.
ExitCode RunDaemon(int argc, const char* const* argv,
                   const DaemonProgram& program);

/// Reads a whole file into `content`. Returns false if it cannot be read.
bool ReadFile(const std::string& path, std::string* content);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_COMMAND_LINE_H_
