// Process of a control VM: operators' RPCs and the control group.

#include <utility>

#include "adapters/command_line.h"
#include "chicory-controld/control_daemon.h"
#include "chicory-controld/control_settings.h"

int main(int argc, char** argv) {
  chicoryvale::ControlSettings settings;
  chicoryvale::DaemonProgram commands;
  commands.name = "chicory-controld";
  commands.summary = "Keeps the accepted configuration on a control VM.";
  commands.read_settings = [&settings](chicoryvale::SettingsReader& reader) {
    settings = chicoryvale::ReadControlSettings(reader);
  };
  commands.run = [&settings] {
    return chicoryvale::ControlDaemon(std::move(settings)).Run();
  };
  return static_cast<int>(chicoryvale::RunDaemon(argc, argv, commands));
}
