#ifndef CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryvale {

class SettingsReader;

/// How the replicas of one emulated service behave.
struct ServiceBehaviour {
  std::string name;
  std::uint32_t replicas_per_shard = 2;
  std::vector<std::string> availability_zones;
  std::uint32_t slots = 2;
  std::uint32_t connections = 50;
  /// Requests that may wait for a slot; more are shed.
  std::uint32_t queue = 32;
  /// Log-normal distribution of the service time.
  double median_ms = 3;
  double sigma = 0.2;
  /// Share of requests that take `straggler_factor` times as long.
  double straggler_share = 0;
  double straggler_factor = 20;
  std::uint64_t index_version = 1;
  std::uint32_t records_per_shard = 3;
};

/// Settings of the emulator of upstreams.
struct StandinSettings {
  std::string schema_text;
  std::uint64_t seed = 1;
  /// Folder for the placement files.
  std::string placement_folder;
  std::vector<ServiceBehaviour> services;
};

/// Reads all settings; faults go to `reader`.
StandinSettings ReadStandinSettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_SETTINGS_H_
