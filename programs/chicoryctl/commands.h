#ifndef CHICORYVALE_PROGRAMS_CHICORYCTL_COMMANDS_H_
#define CHICORYVALE_PROGRAMS_CHICORYCTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "adapters/command_line.h"

namespace chicoryvale {

/// Parsed command line of chicoryctl.
struct CtlInvocation {
  std::vector<std::string> control;
  std::string token_file;
  bool json = false;
  /// Timeout of each request to a control VM, in seconds.
  std::uint32_t timeout_seconds = 5;
  /// If empty, a random id is generated.
  std::string operation_id;
  /// If absent, the version in force is read first and expected.
  std::optional<std::uint64_t> expected_version;
  /// Words of the command and its arguments, such as {"schema", "apply", FILE}.
  std::vector<std::string> words;
};

/// Runs one command. Prints its result to `out` and errors to `err`.
ExitCode RunCommand(const CtlInvocation& invocation, std::ostream& out,
                    std::ostream& err);

/// Returns the text of --help that lists the commands.
std::string CommandHelp();

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORYCTL_COMMANDS_H_
