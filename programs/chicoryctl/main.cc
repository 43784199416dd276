// Command line of the operators' RPCs.

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

po::options_description CtlOptions(CtlCall* call) {
  po::options_description options("Options");
  options.add_options()("help,h", "print this help")("version",
                                                     "print the version")(
      "config,c", po::value<std::string>()->value_name("FILE"),
      "settings file (TOML); options given here come first")(
      "check", "check the settings file and exit")(
      "control", po::value(&call->control)->composing()->value_name("ADDRESS"),
      "operator address of a control VM; may be given several times")(
      "token-file", po::value(&call->token_file)->value_name("FILE"),
      "file with the operators' token")(
      "operation-id", po::value(&call->operation_id)->value_name("ID"),
      "makes a resend of the same change safe")(
      "expected-version", po::value<std::uint64_t>()->value_name("N"),
      "refuse the change if another version is in force")(
      "timeout",
      po::value(&call->timeout_seconds)
          ->default_value(call->timeout_seconds)
          ->value_name("SECONDS"),
      "time for the answer of one control VM")(
      "json", po::bool_switch(&call->json), "print answers as JSON");
  return options;
}

// Fills what the command line left out of `call` from a settings file.
ExitCode ReadCtlSettings(const std::string& path, CtlCall* call) {
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
  std::cerr << FormatSettingsErrors(path, faults);
  if (!faults.empty()) return ExitCode::kBadSettings;
  if (call->control.empty()) call->control = control;
  if (call->token_file.empty()) call->token_file = token_file;
  return ExitCode::kOk;
}

ExitCode RunCtl(int argc, const char* const* argv) {
  CtlCall call;
  const po::options_description visible = CtlOptions(&call);
  po::options_description all;
  all.add(visible).add_options()("words", po::value(&call.words));
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
        ReadCtlSettings(arguments["config"].as<std::string>(), &call);
    if (read != ExitCode::kOk || arguments.contains("check")) return read;
  } else if (arguments.contains("check")) {
    std::cerr << "--check needs --config FILE\n";
    return ExitCode::kBadSettings;
  }
  if (arguments.contains("expected-version")) {
    call.expected_version = arguments["expected-version"].as<std::uint64_t>();
  }
  return RunCommand(call, std::cout, std::cerr);
}

}  // namespace
}  // namespace chicoryvale

int main(int argc, char** argv) {
  return static_cast<int>(chicoryvale::RunCtl(argc, argv));
}
