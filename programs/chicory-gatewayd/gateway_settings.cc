#include "chicory-gatewayd/gateway_settings.h"

#include "adapters/common_settings.h"
#include "adapters/peer_settings.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

constexpr Duration kDefaultReplicaListPeriod = seconds(1);
constexpr IntegerRange kReplicaListPeriodRangeMs = {50, 60'000};
constexpr Duration kDefaultDrainTime = seconds(3);
constexpr IntegerRange kDrainTimeRangeMs = {2'000, 600'000};
constexpr Duration kDefaultGrace = seconds(6);
constexpr IntegerRange kGraceRangeMs = {0, 600'000};
constexpr Duration kDefaultRetryBudgetWindow = seconds(10);
constexpr IntegerRange kRetryBudgetWindowRangeMs = {100, 600'000};
constexpr IntegerRange kFixedRetriesRange = {0, 1'000'000};
constexpr double kMaxQuotaSlack = 1'000'000;
constexpr std::int64_t kDefaultCrossZonePriceUs = 5'000;
constexpr IntegerRange kCrossZonePriceRangeUs = {0, 10'000'000};
constexpr std::int64_t kDefaultMaxConnections = 2000;
constexpr IntegerRange kMaxConnectionsRange = {1, 1'000'000};

RetryBudgetOptions ReadRetryBudget(SettingsReader& reader) {
  RetryBudgetOptions budget;
  budget.ratio = reader.Number("repeats.ratio", budget.ratio, 0, 1);
  budget.window =
      reader.Milliseconds("repeats.window_ms", kDefaultRetryBudgetWindow,
                          kRetryBudgetWindowRangeMs);
  budget.fixed_retries = static_cast<std::uint32_t>(
      reader.Integer("repeats.fixed", 0, kFixedRetriesRange));
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
  settings.replica_list.drain_time = reader.Milliseconds(
      "platform.drain_time_ms", kDefaultDrainTime, kDrainTimeRangeMs);
  settings.retry_budget = ReadRetryBudget(reader);
  settings.retry_budget.first_start = settings.replica_list.first_start;
  settings.quota.slack = reader.Number("quota.slack", 0, 0, kMaxQuotaSlack);
  settings.quota.overshoot = reader.Number("quota.overshoot", 0, 0, 1);
  settings.quota.first_start = settings.replica_list.first_start;
  settings.zone_overflow = ReadZoneOverflow(reader);
  settings.admits_by_zone = reader.Bool("admission.by_zone", false);
  settings.max_connections = static_cast<std::uint32_t>(reader.Integer(
      "callers.max_connections", kDefaultMaxConnections, kMaxConnectionsRange));
  settings.linger = ReadLinger(reader);
  settings.grace =
      reader.Milliseconds("shutdown.grace_ms", kDefaultGrace, kGraceRangeMs);
  settings.resources = ReadResourceLimits(reader);
  settings.log_level = ReadLogLevel(reader);
  settings.log_target = ReadLogTarget(reader);
  return settings;
}

}  // namespace chicoryvale
