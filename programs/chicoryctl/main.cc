// Command line client of the operators' RPCs.

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "adapters/command_line.h"
#include "adapters/settings_reader.h"
#include "chicoryctl/commands.h"

namespace chicoryvale {
namespace {

namespace po = boost::program_options;

po::options_description CtlOptions(CtlInvocation* invocation) {
  po::options_description options("Options");
  options.add_options()("help,h", "print this help")("version",
                                                     "print the version")(
      "config,c", po::value<std::string>()->value_name("FILE"),
      "settings file (TOML); options given here come first")(
      "check", "check the settings file and exit")(
      "control",
      po::value(&invocation->control)->composing()->value_name("ADDRESS"),
      "operator address of a control VM; may be given several times")(
      "token-file", po::value(&invocation->token_file)->value_name("FILE"),
      "file with the operators' token")(
      "operation-id", po::value(&invocation->operation_id)->value_name("ID"),
      "makes a resend of the same change safe")(
      "expected-version", po::value<std::uint64_t>()->value_name("N"),
      "refuse the change if another version is in force")(
      "timeout",
      po::value(&invocation->timeout_seconds)
          ->default_value(invocation->timeout_seconds)
          ->value_name("SECONDS"),
      "time for the answer of one control VM")(
      "json", po::bool_switch(&invocation->json), "print answers as JSON");
  return options;
}

// Reads a settings file. Options of the command line take precedence over it.
ExitCode ReadCtlSettings(const std::string& path, CtlInvocation* invocation) {
  std::string text;
  if (!ReadFile(path, &text)) {
    std::cerr << path << ": the settings file cannot be read\n";
    return ExitCode::kBadSettings;
  }
  SettingsReader reader(text);
  const std::vector<std::string> control =
      reader.Addresses("control.addresses");
  const std::string token_file = reader.String("keys.operator_token_file", "");
  const std::vector<SettingsError> faults = reader.Finish();
  std::cerr << FormatSettingsMessages(path, faults);
  if (!faults.empty()) return ExitCode::kBadSettings;
  if (invocation->control.empty()) invocation->control = control;
  if (invocation->token_file.empty()) invocation->token_file = token_file;
  return ExitCode::kOk;
}

ExitCode RunCtl(int argc, const char* const* argv) {
  CtlInvocation invocation;
  const po::options_description visible = CtlOptions(&invocation);
  po::options_description all;
  all.add(visible).add_options()("words", po::value(&invocation.words));
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map arguments;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              arguments);
    po::notify(arguments);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return ExitCode::kBadSettings;
  }
  if (arguments.contains("help")) {
    std::cout << "Usage: chicoryctl [OPTIONS] COMMAND\nCommands:\n"
              << CommandHelp() << visible;
    return ExitCode::kOk;
  }
  if (arguments.contains("version")) {
    std::cout << "chicoryctl " << CHICORYVALE_VERSION << "\n";
    return ExitCode::kOk;
  }
  if (arguments.contains("config")) {
    const ExitCode read =
        ReadCtlSettings(arguments["config"].as<std::string>(), &invocation);
    if (read != ExitCode::kOk || arguments.contains("check")) return read;
  } else if (arguments.contains("check")) {
    std::cerr << "--check needs --config FILE\n";
    return ExitCode::kBadSettings;
  }
  if (arguments.contains("expected-version")) {
    invocation.expected_version =
        arguments["expected-version"].as<std::uint64_t>();
  }
  return RunCommand(invocation, std::cout, std::cerr);
}

}  // namespace
}  // namespace chicoryvale

int main(int argc, char** argv) {
  return static_cast<int>(chicoryvale::RunCtl(argc, argv));
}
