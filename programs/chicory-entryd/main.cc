// Process of an entry VM: serves callers' queries.

#include <memory>
#include <utility>

#include "adapters/command_line.h"
#include "chicory-entryd/entry_daemon.h"
#include "chicory-entryd/entry_settings.h"

int main(int argc, char** argv) {
  chicoryvale::EntrySettings settings;
  chicoryvale::DaemonProgram commands;
  commands.name = "chicory-entryd";
  commands.summary = "Serves callers' queries on an entry VM.";
  commands.read_settings = [&settings](chicoryvale::SettingsReader& reader) {
    settings = chicoryvale::ReadEntrySettings(reader);
  };
  commands.run = [&settings] {
    return chicoryvale::EntryDaemon(std::move(settings)).Run();
  };
  return static_cast<int>(chicoryvale::RunDaemon(argc, argv, commands));
}
