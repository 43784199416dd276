#include "chicory-gatewayd/gateway_settings.h"

#include "adapters/common_settings.h"
#include "adapters/peer_settings.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

constexpr Duration kDefaultReplicaListPeriod = seconds(1);
constexpr IntegerRange kReplicaListPeriodRangeMs = {50, 60'000};
constexpr Duration kDefaultDrainTime = seconds(3);
constexpr DurationRange kDrainTimeRange = {Duration::zero(), hours(24)};
constexpr Duration kDefaultGrace = seconds(6);
constexpr DurationRange kGraceRange = {Duration::zero(), hours(24)};
constexpr DurationRange kRetryBudgetWindowRange = {milliseconds(100),
                                                   hours(24)};
constexpr QuantityRange kRatioRange = {0, 1'000'000};
constexpr QuantityRange kRequestCountRange = {0, 1'000'000'000};
constexpr std::int64_t kDefaultCrossZonePriceUs = 5'000;
constexpr IntegerRange kCrossZonePriceRangeUs = {0, 10'000'000};
constexpr std::int64_t kDefaultMaxConnections = 2000;
constexpr IntegerRange kMaxConnectionsRange = {1, 1'000'000};

RetryBudgetOptions ReadRetryBudget(SettingsReader& reader) {
  RetryBudgetOptions budget;
  budget.ratio = reader.Quantity("repeats.ratio", budget.ratio, kRatioRange);
  budget.window =
      reader.Period("repeats.window", budget.window, kRetryBudgetWindowRange);
  budget.fixed_retries = reader.Quantity("repeats.fixed", budget.fixed_retries,
                                         kRequestCountRange);
  return budget;
}

ZoneOverflowOptions ReadZoneOverflow(SettingsReader& reader) {
  ZoneOverflowOptions overflow;
  overflow.enabled = reader.Bool("placement.zone_overflow", false);
  overflow.cross_zone_price = microseconds(
      reader.Integer("placement.cross_zone_price_us", kDefaultCrossZonePriceUs,
                     kCrossZonePriceRangeUs));
  return overflow;
}

}  // namespace

GatewaySettings ReadGatewaySettings(SettingsReader& reader) {
  GatewaySettings settings;
  settings.peers =
      ReadPeerOptions(reader, MemberRole::kEntry, "control.addresses");
  settings.listen_callers = reader.RequiredAddress("listen.callers");
  settings.listen_ready = reader.RequiredAddress("listen.ready");
  settings.listen_metrics = reader.RequiredAddress("listen.metrics");
  settings.replica_list_address =
      reader.RequiredAddress("platform.replica_list");
  settings.replica_list.first_start =
      reader.Bool("platform.first_start", false);
  settings.replica_list.period =
      reader.Milliseconds("platform.replica_list_period_ms",
                          kDefaultReplicaListPeriod, kReplicaListPeriodRangeMs);
  settings.replica_list.drain_time =
      reader.Period("platform.drain_time", kDefaultDrainTime, kDrainTimeRange);
  settings.retry_budget = ReadRetryBudget(reader);
  settings.retry_budget.first_start = settings.replica_list.first_start;
  settings.quota.slack = reader.Quantity("quota.slack", 0, kRequestCountRange);
  settings.quota.overshoot = reader.Quantity("quota.overshoot", 0, kRatioRange);
  settings.quota.first_start = settings.replica_list.first_start;
  settings.zone_overflow = ReadZoneOverflow(reader);
  settings.admits_by_zone = reader.Bool("admission.by_zone", false);
  settings.max_connections = static_cast<std::uint32_t>(reader.Integer(
      "callers.max_connections", kDefaultMaxConnections, kMaxConnectionsRange));
  settings.linger = ReadLinger(reader);
  settings.grace = reader.Period("shutdown.grace", kDefaultGrace, kGraceRange);
  settings.resources = ReadResourceLimits(reader);
  settings.log_level = ReadLogLevel(reader);
  settings.log_target = ReadLogTarget(reader);
  return settings;
}

}  // namespace chicoryvale
