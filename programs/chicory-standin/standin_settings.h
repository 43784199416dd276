#ifndef CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_SETTINGS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_SETTINGS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace chicoryvale {

class SettingsReader;

/// What a replica tells as its load.
enum class LoadReport : std::uint8_t {
  kTrue,
  /// The load of `load_lag_ms` ago at the least.
  kLagging,
  /// The first load told, for good.
  kSticky,
  /// Full when idle, idle when full.
  kOpposite,
};

/// Names of LoadReport values, in their order.
inline constexpr std::array<std::string_view, 4> kLoadReportNames = {
    "true", "lagging", "sticky", "opposite"};

/// Returns the LoadReport called `name`, or nothing.
std::optional<LoadReport> ParseLoadReport(std::string_view name);

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
  /// The first `cold_start_requests` take `cold_start_factor` times as long.
  std::uint32_t cold_start_requests = 0;
  double cold_start_factor = 5;
  LoadReport load_report = LoadReport::kTrue;
  Duration load_lag = seconds(10);
  /// A request whose body contains this text crashes the replica; empty: none.
  std::string crash_marker;
  /// Newest and oldest index version served.
  std::uint64_t index_version = 1;
  std::uint64_t oldest_index_version = 1;
  bool draining = false;
  std::uint32_t records_per_shard = 3;
};

/// Settings of the emulator of upstreams.
struct StandinSettings {
  std::string schema_text;
  std::uint64_t seed = 1;
  /// Folder for the placement files.
  std::string placement_folder;
  /// Address of the control endpoint.
  Address control;
  std::vector<ServiceBehaviour> services;
};

/// Reads all settings; faults go to `reader`.
StandinSettings ReadStandinSettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_SETTINGS_H_
