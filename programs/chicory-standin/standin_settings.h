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

/// How a replica reports its load.
enum class LoadReportMode : std::uint8_t {
  /// The current load.
  kTrue,
  /// A load that is refreshed at most once per `load_lag_ms`.
  kLagging,
  /// The load at the first report, never refreshed.
  kSticky,
  /// The inverse of the load: full capacity when idle, zero when full.
  kOpposite,
};

/// Names of LoadReportMode values, in their order.
inline constexpr std::array<std::string_view, 4> kLoadReportModeNames = {
    "true", "lagging", "sticky", "opposite"};

/// Returns the LoadReportMode called `name`, or nullopt.
std::optional<LoadReportMode> ParseLoadReportMode(std::string_view name);

/// How the replicas of one emulated service behave.
struct ServiceBehaviour {
  std::string name;
  std::uint32_t replicas_per_shard = 2;
  std::vector<std::string> availability_zones;
  std::uint32_t slots = 2;
  std::uint32_t connections = 50;
  /// Maximum number of requests that wait for a slot; further ones are shed.
  std::uint32_t queue = 32;
  /// Parameters of the log-normal distribution of the service time.
  double median_ms = 3;
  double sigma = 0.2;
  /// Share of requests that take `straggler_factor` times as long.
  double straggler_share = 0;
  double straggler_factor = 20;
  /// The first `cold_start_requests` take `cold_start_factor` times as long.
  std::uint32_t cold_start_requests = 0;
  double cold_start_factor = 5;
  LoadReportMode load_report = LoadReportMode::kTrue;
  Duration load_lag = seconds(10);
  /// A request whose body contains this text crashes the replica; no request
  /// does if it is empty.
  std::string crash_marker;
  /// Newest and oldest index versions that are served.
  std::uint64_t index_version = 1;
  std::uint64_t oldest_index_version = 1;
  bool draining = false;
  std::uint32_t records_per_shard = 3;
};

/// Settings of chicory-standin, the emulator of upstreams.
struct StandinSettings {
  std::string schema_text;
  std::uint64_t seed = 1;
  /// Folder for the placement files.
  std::string placement_folder;
  /// Address of the control endpoint.
  Address control;
  std::vector<ServiceBehaviour> services;
};

/// Reads all settings and reports errors to `reader`.
StandinSettings ReadStandinSettings(SettingsReader& reader);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_SETTINGS_H_
