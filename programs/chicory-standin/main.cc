// Emulator of upstreams, for tests and experiments.

#include <utility>

#include "adapters/command_line.h"
#include "chicory-standin/standin_daemon.h"
#include "chicory-standin/standin_settings.h"

int main(int argc, char** argv) {
  chicoryvale::StandinSettings settings;
  chicoryvale::DaemonProgram commands;
  commands.name = "chicory-standin";
  commands.summary = "Emulates the upstreams of some services.";
  commands.read_settings = [&settings](chicoryvale::SettingsReader& reader) {
    settings = chicoryvale::ReadStandinSettings(reader);
  };
  commands.run = [&settings] {
    return chicoryvale::StandinDaemon(std::move(settings)).Run();
  };
  return static_cast<int>(chicoryvale::RunDaemon(argc, argv, commands));
}
