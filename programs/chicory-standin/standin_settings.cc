#include "chicory-standin/standin_settings.h"

#include <algorithm>
#include <limits>

#include "adapters/command_line.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

constexpr IntegerRange kCountRange = {1, 100'000};
constexpr IntegerRange kAnyCountRange = {0, 100'000};
constexpr IntegerRange kVersionRange = {
    1, std::numeric_limits<std::int64_t>::max()};
constexpr IntegerRange kLagRangeMs = {0, 600'000};
constexpr double kMaxMedianMs = 60'000;
constexpr double kMaxSigma = 3;
constexpr double kMaxStragglerFactor = 10'000;

std::uint32_t Count(SettingsReader& reader, const std::string& key,
                    std::uint32_t fallback, IntegerRange range) {
  return static_cast<std::uint32_t>(reader.Integer(key, fallback, range));
}

LoadReport ReadLoadReport(SettingsReader& reader) {
  const std::string name = reader.String("load_report", "true");
  const auto report = ParseLoadReport(name);
  if (!report) {
    reader.AddError("load_report", "load_report: " + name +
                                       " is not true, lagging, sticky or "
                                       "opposite");
  }
  return report.value_or(LoadReport::kTrue);
}

ServiceBehaviour ReadService(SettingsReader& reader) {
  ServiceBehaviour service;
  service.name = reader.RequiredString("name");
  service.replicas_per_shard = Count(reader, "replicas_per_shard",
                                     service.replicas_per_shard, kCountRange);
  service.availability_zones = reader.Strings("availability_zones");
  if (service.availability_zones.empty()) {
    reader.AddError("availability_zones", "availability_zones is empty");
  }
  service.slots = Count(reader, "slots", service.slots, kCountRange);
  service.connections =
      Count(reader, "connections", service.connections, kCountRange);
  service.queue = Count(reader, "queue", service.queue, kAnyCountRange);
  service.median_ms =
      reader.Number("median_ms", service.median_ms, 0, kMaxMedianMs);
  service.sigma = reader.Number("sigma", service.sigma, 0, kMaxSigma);
  service.straggler_share =
      reader.Number("straggler_share", service.straggler_share, 0, 1);
  service.straggler_factor = reader.Number(
      "straggler_factor", service.straggler_factor, 1, kMaxStragglerFactor);
  service.cold_start_requests =
      Count(reader, "cold_start_requests", service.cold_start_requests,
            kAnyCountRange);
  service.cold_start_factor = reader.Number(
      "cold_start_factor", service.cold_start_factor, 1, kMaxStragglerFactor);
  service.load_report = ReadLoadReport(reader);
  service.load_lag =
      reader.Milliseconds("load_lag_ms", service.load_lag, kLagRangeMs);
  service.crash_marker = reader.String("crash_marker", "");
  service.index_version = static_cast<std::uint64_t>(
      reader.Integer("index_version", 1, kVersionRange));
  service.oldest_index_version = static_cast<std::uint64_t>(reader.Integer(
      "oldest_index_version", static_cast<std::int64_t>(service.index_version),
      kVersionRange));
  service.records_per_shard = Count(reader, "records_per_shard",
                                    service.records_per_shard, kAnyCountRange);
  return service;
}

}  // namespace

std::optional<LoadReport> ParseLoadReport(std::string_view name) {
  const auto* found = std::ranges::find(kLoadReportNames, name);
  if (found == kLoadReportNames.end()) return {};
  return static_cast<LoadReport>(found - kLoadReportNames.begin());
}

StandinSettings ReadStandinSettings(SettingsReader& reader) {
  StandinSettings settings;
  const std::string path = reader.RequiredString("schema");
  if (!path.empty() && !ReadFile(path, &settings.schema_text)) {
    reader.AddError("schema", "schema: " + path + " cannot be read");
  }
  settings.placement_folder = reader.String("placement_folder", ".");
  settings.seed =
      static_cast<std::uint64_t>(reader.Integer("seed", 1, kVersionRange));
  settings.control = {reader.String("control", "127.0.0.1:0")};
  if (!IsHostPort(settings.control.host_port)) {
    reader.AddError("control", "control: not an IP number and port");
  }
  reader.Tables("service", [&settings](SettingsReader& table) {
    settings.services.push_back(ReadService(table));
  });
  return settings;
}

}  // namespace chicoryvale
