#include "chicory-load/load_plan.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

constexpr IntegerRange kSeedRange = {0,
                                     std::numeric_limits<std::int64_t>::max()};
constexpr IntegerRange kDurationRangeMs = {1, 3'600'000};
constexpr IntegerRange kRequestRange = {1, 10'000'000};
constexpr IntegerRange kInFlightRange = {1, 15'000};
constexpr IntegerRange kConnectionRange = {1, 10'000};
constexpr IntegerRange kDeadlineRangeMs = {1, 600'000};
constexpr double kMinRate = 0.001;
constexpr double kMaxRate = 100'000;

std::vector<Address> ReadAddresses(SettingsReader& reader,
                                   const std::string& key) {
  std::vector<Address> addresses;
  std::ranges::transform(
      reader.Addresses(key), std::back_inserter(addresses),
      [](const std::string& host_port) { return Address{host_port}; });
  return addresses;
}

CallStream ReadStream(SettingsReader& reader) {
  CallStream stream;
  stream.path = reader.RequiredString("path");
  if (!stream.path.starts_with('/')) {
    reader.AddError("path", "path does not begin with /");
  }
  stream.workspace = reader.RequiredString("workspace");
  stream.body = reader.String("body", "{}");
  stream.rate = reader.Number("rate", 1, kMinRate, kMaxRate);
  stream.deadline =
      reader.Milliseconds("deadline_ms", seconds(1), kDeadlineRangeMs);
  stream.request_ids = reader.Bool("request_ids", false);
  return stream;
}

}  // namespace

LoadPlan ReadLoadPlan(SettingsReader& reader) {
  constexpr std::int64_t kDefaultRequests = 1'000'000;
  constexpr std::int64_t kDefaultInFlight = 5'000;
  constexpr std::int64_t kDefaultConnections = 512;
  LoadPlan plan;
  plan.seed = static_cast<std::uint64_t>(reader.Integer("seed", 1, kSeedRange));
  plan.duration =
      reader.Milliseconds("duration_ms", seconds(10), kDurationRangeMs);
  plan.max_requests = static_cast<std::uint64_t>(
      reader.Integer("max_requests", kDefaultRequests, kRequestRange));
  plan.max_in_flight = static_cast<std::uint32_t>(
      reader.Integer("max_in_flight", kDefaultInFlight, kInFlightRange));
  plan.connections_per_entry = static_cast<std::uint32_t>(reader.Integer(
      "connections_per_entry", kDefaultConnections, kConnectionRange));
  plan.entries = ReadAddresses(reader, "entries");
  if (plan.entries.empty()) reader.AddError("entries", "entries is empty");
  plan.metrics = ReadAddresses(reader, "metrics");
  plan.standins = ReadAddresses(reader, "standins");
  reader.Tables("call", [&plan](SettingsReader& table) {
    plan.streams.push_back(ReadStream(table));
  });
  if (plan.streams.empty()) reader.AddError("call", "there is no [[call]]");
  return plan;
}

}  // namespace chicoryvale
