#include "adapters/command_line.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

namespace po = boost::program_options;

po::options_description DaemonOptions(const DaemonProgram& program) {
  po::options_description options("Options");
  options.add_options()("help,h", "print this help")("version",
                                                     "print the version")(
      "config,c", po::value<std::string>()->value_name("FILE"),
      "settings file (TOML)")("check", "check the settings and exit");
  if (program.json != nullptr) {
    options.add_options()("json", po::bool_switch(program.json),
                          "print JSON instead of a table");
  }
  return options;
}

bool ParseArguments(int argc, const char* const* argv,
                    const po::options_description& options,
                    po::variables_map* arguments) {
  try {
    po::store(po::parse_command_line(argc, argv, options), *arguments);
    po::notify(*arguments);
    return true;
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return false;
  }
}

ExitCode ReadSettings(const std::string& path, const DaemonProgram& program) {
  std::string text;
  if (!ReadFile(path, &text)) {
    std::cerr << path << ": the settings file cannot be read\n";
    return ExitCode::kBadSettings;
  }
  SettingsReader reader(text);
  program.read_settings(reader);
  const std::vector<SettingsError> errors = reader.Finish();
  std::cerr << FormatSettingsMessages(path, errors)
            << FormatSettingsMessages(path, reader.Notices());
  return errors.empty() ? ExitCode::kOk : ExitCode::kBadSettings;
}

}  // namespace

ExitCode RunDaemon(int argc, const char* const* argv,
                   const DaemonProgram& program) {
  const po::options_description options = DaemonOptions(program);
  po::variables_map arguments;
  if (!ParseArguments(argc, argv, options, &arguments)) {
    return ExitCode::kBadSettings;
  }
  if (arguments.contains("help")) {
    std::cout << "Usage: " << program.name << " --config FILE [--check]\n"
              << program.summary << "\n"
              << options;
    return ExitCode::kOk;
  }
  if (arguments.contains("version")) {
    std::cout << program.name << " " << CHICORYVALE_VERSION << "\n";
    return ExitCode::kOk;
  }
  if (!arguments.contains("config")) {
    std::cerr << "--config FILE is missing\n";
    return ExitCode::kBadSettings;
  }
  const auto path = arguments["config"].as<std::string>();
  if (program.config_path != nullptr) *program.config_path = path;
  const ExitCode read = ReadSettings(path, program);
  if (read != ExitCode::kOk) return read;
  if (arguments.contains("check")) {
    std::cout << path << ": settings are valid\n";
    return ExitCode::kOk;
  }
  return program.run();
}

bool ReadFile(const std::string& path, std::string* content) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return false;
  content->assign(std::istreambuf_iterator<char>(file), {});
  return !file.bad();
}

}  // namespace chicoryvale
