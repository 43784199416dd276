#ifndef CHICORYVALE_PROGRAMS_CHICORYCTL_COMMANDS_H_
#define CHICORYVALE_PROGRAMS_CHICORYCTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "adapters/command_line.h"

namespace chicoryvale {

/// A call of chicoryctl, parsed.
struct CtlCall {
  std::vector<std::string> control;
  std::string token_file;
  bool json = false;
  /// Time for the answer of one control VM, in seconds.
  std::uint32_t timeout_seconds = 5;
  /// Empty: a random one is made.
  std::string operation_id;
  /// Absent: the version in force, read first.
  std::optional<std::uint64_t> expected_version;
  /// Command words and their arguments, for example {"schema", "apply", FILE}.
  std::vector<std::string> words;
};

/// Runs one command, with its result on `out` and faults on `err`.
ExitCode RunCommand(const CtlCall& call, std::ostream& out, std::ostream& err);

/// Returns the list of commands for --help.
std::string CommandHelp();

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORYCTL_COMMANDS_H_
