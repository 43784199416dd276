// The process that routes callers' opaque requests on an entry VM.

#include <string>
#include <utility>

#include "adapters/command_line.h"
#include "chicory-gatewayd/gateway_daemon.h"
#include "chicory-gatewayd/gateway_settings.h"

int main(int argc, char** argv) {
  chicoryvale::GatewaySettings settings;
  std::string config_path;
  chicoryvale::DaemonProgram commands;
  commands.name = "chicory-gatewayd";
  commands.summary = "Routes callers' opaque requests on an entry VM.";
  commands.read_settings = [&settings](chicoryvale::SettingsReader& reader) {
    settings = chicoryvale::ReadGatewaySettings(reader);
  };
  commands.config_path = &config_path;
  commands.run = [&settings, &config_path] {
    return chicoryvale::GatewayDaemon(std::move(settings), config_path).Run();
  };
  return static_cast<int>(chicoryvale::RunDaemon(argc, argv, commands));
}
