#include "config/config_delta.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "config/change_rules.h"
#include "config/cluster_config_codec.h"
#include "config/text_patch.h"

namespace chicoryvale {
namespace {

/// The new replicas of one shard.
struct ShardDelta {
  std::uint32_t index = 0;
  ShardConfig shard;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(index, shard);
  }
};

/// The new settings of a service and the shards that differ from the old ones.
struct ServiceDelta {
  ServiceConfig settings;
  std::uint32_t shard_count = 0;
  std::vector<ShardDelta> shards;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(settings, shard_count, shards);
  }
};

/// The new routing document, as a patch of the text of the old one.
struct RoutingDelta {
  std::uint64_t version = 0;
  TextPatch patch;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(version, patch);
  }
};

/// The content of ConfigDelta::bytes. Parts that did not change are absent.
struct DeltaBody {
  std::optional<std::string> schema_text;
  std::vector<std::string> removed_services;
  std::vector<ServiceDelta> services;
  std::optional<RoutingDelta> routing;
  /// Encoded only if present, so that deltas without it keep their bytes.
  std::optional<std::vector<std::string>> evacuated_zones;

  // NOLINTBEGIN(readability-identifier-naming)
  template <class Archive>
  void save(Archive& archive) const {
    archive(schema_text, removed_services, services, routing);
    if (evacuated_zones) archive(*evacuated_zones);
  }
  template <class Archive>
  void load(Archive& archive) {
    archive(schema_text, removed_services, services, routing);
    if (archive.Remaining() == 0) return;
    std::vector<std::string> zones;
    archive(zones);
    evacuated_zones = std::move(zones);
  }
  // NOLINTEND(readability-identifier-naming)
};

bool ApplyRoutingDelta(const RoutingDelta& delta, RoutingDocument* routing) {
  auto text =
      ApplyTextPatch(delta.patch, routing->text, kMaxRoutingDocumentBytes);
  if (!text) return false;
  *routing = {delta.version, std::move(*text)};
  return true;
}

ServiceConfig CopyWithoutShards(const ServiceConfig& service) {
  ServiceConfig settings;
  settings.name = service.name;
  settings.map_epoch = service.map_epoch;
  settings.index_version = service.index_version;
  settings.limits = service.limits;
  settings.quarantined = service.quarantined;
  return settings;
}

ServiceDelta MakeServiceDelta(const ServiceConfig* from,
                              const ServiceConfig& to) {
  ServiceDelta delta;
  delta.settings = CopyWithoutShards(to);
  delta.shard_count = static_cast<std::uint32_t>(to.shards.size());
  for (std::uint32_t i = 0; i < delta.shard_count; ++i) {
    if (from != nullptr && i < from->shards.size() &&
        from->shards[i] == to.shards[i]) {
      continue;
    }
    delta.shards.push_back({i, to.shards[i]});
  }
  return delta;
}

bool ApplyServiceDelta(ServiceDelta delta, ServiceConfig* service) {
  std::vector<ShardConfig> shards = std::move(service->shards);
  // Each new shard needs its own ShardDelta, so a damaged shard_count cannot
  // make the resize large.
  if (delta.shard_count > shards.size() + delta.shards.size()) return false;
  shards.resize(delta.shard_count);
  for (ShardDelta& shard : delta.shards) {
    if (shard.index >= delta.shard_count) return false;
    shards[shard.index] = std::move(shard.shard);
  }
  *service = std::move(delta.settings);
  service->shards = std::move(shards);
  return true;
}

// Applies `delta` without checking the hash of the result.
bool ApplyBody(const ConfigDelta& delta, ClusterConfig* config) {
  DeltaBody body;
  if (config->version != delta.header.from_version ||
      !Decode(delta.bytes, &body)) {
    return false;
  }
  if (body.schema_text) config->schema_text = std::move(*body.schema_text);
  std::erase_if(config->services, [&body](const ServiceConfig& service) {
    return std::ranges::find(body.removed_services, service.name) !=
           body.removed_services.end();
  });
  for (ServiceDelta& service : body.services) {
    auto found = std::ranges::find(config->services, service.settings.name,
                                   &ServiceConfig::name);
    if (found == config->services.end()) {
      found = config->services.insert(found, ServiceConfig{});
    }
    if (!ApplyServiceDelta(std::move(service), &*found)) return false;
  }
  if (body.routing && !ApplyRoutingDelta(*body.routing, &config->routing)) {
    return false;
  }
  if (body.evacuated_zones) {
    config->evacuated_zones = std::move(*body.evacuated_zones);
  }
  config->version = delta.header.to_version;
  return true;
}

}  // namespace

std::optional<ConfigDelta> MakeDelta(const ClusterConfig& from,
                                     const ClusterConfig& to) {
  DeltaBody body;
  if (from.schema_text != to.schema_text) body.schema_text = to.schema_text;
  for (const ServiceConfig& service : from.services) {
    if (FindService(to, service.name) == nullptr) {
      body.removed_services.push_back(service.name);
    }
  }
  for (const ServiceConfig& service : to.services) {
    const ServiceConfig* old_service = FindService(from, service.name);
    if (old_service != nullptr && *old_service == service) continue;
    body.services.push_back(MakeServiceDelta(old_service, service));
  }
  if (from.routing != to.routing) {
    body.routing = {to.routing.version,
                    MakeTextPatch(from.routing.text, to.routing.text)};
  }
  if (from.evacuated_zones != to.evacuated_zones) {
    body.evacuated_zones = to.evacuated_zones;
  }
  ConfigDelta delta{{from.version, to.version, HashConfig(to)}, Encode(body)};
  ClusterConfig applied = from;
  if (!ApplyBody(delta, &applied) || applied != to) return std::nullopt;
  return delta;
}

bool ApplyDeltas(const std::vector<ConfigDelta>& deltas,
                 ClusterConfig* config) {
  if (deltas.empty()) return true;
  const bool applied = std::ranges::all_of(
      deltas,
      [config](const ConfigDelta& delta) { return ApplyBody(delta, config); });
  return applied && HashConfig(*config) == deltas.back().header.to_hash;
}

bool ApplyDelta(const ConfigDelta& delta, ClusterConfig* config) {
  return ApplyBody(delta, config) &&
         HashConfig(*config) == delta.header.to_hash;
}

}  // namespace chicoryvale
