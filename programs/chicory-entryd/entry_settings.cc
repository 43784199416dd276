#include "chicory-entryd/entry_settings.h"

#include "adapters/common_settings.h"
#include "adapters/peer_settings.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

constexpr std::int64_t kDefaultMaxBodyBytes = 1 << 20;
constexpr IntegerRange kMaxBodyBytesRange = {1, 64 << 20};
constexpr std::int64_t kDefaultEntrySeats = 20;
constexpr IntegerRange kEntrySeatsRange = {1, 100'000};
constexpr std::int64_t kDefaultMaxConnections = 10'000;
constexpr IntegerRange kMaxConnectionsRange = {1, 1'000'000};

}  // namespace

EntrySettings ReadEntrySettings(SettingsReader& reader) {
  EntrySettings settings;
  settings.peers =
      ReadPeerOptions(reader, MemberRole::kEntry, "control.addresses");
  if (settings.peers.controls.empty()) {
    reader.AddError("control.addresses", "control.addresses lists no VM");
  }
  settings.listen_callers = reader.RequiredAddress("listen.callers");
  settings.listen_metrics = reader.RequiredAddress("listen.metrics");
  settings.platform_list = reader.String("platform.list", "");
  settings.entry_seats = static_cast<std::uint32_t>(reader.Integer(
      "upstreams.entry_seats", kDefaultEntrySeats, kEntrySeatsRange));
  settings.max_body_bytes = static_cast<std::uint32_t>(reader.Integer(
      "callers.max_body_bytes", kDefaultMaxBodyBytes, kMaxBodyBytesRange));
  settings.max_connections = static_cast<std::uint32_t>(reader.Integer(
      "callers.max_connections", kDefaultMaxConnections, kMaxConnectionsRange));
  settings.resources = ReadResourceLimits(reader);
  settings.linger = ReadLinger(reader);
  settings.log_level = ReadLogLevel(reader);
  return settings;
}

}  // namespace chicoryvale
