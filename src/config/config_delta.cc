#include "config/config_delta.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "config/cluster_config_codec.h"

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

/// The new routing document, as the text between a prefix and a suffix that it
/// shares with the old one. Lengths are in bytes.
struct RoutingDelta {
  std::uint64_t version = 0;
  std::uint64_t shared_prefix = 0;
  std::uint64_t shared_suffix = 0;
  std::string middle;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(version, shared_prefix, shared_suffix, middle);
  }
};

/// The content of ConfigDelta::bytes. Parts that did not change are absent.
struct DeltaBody {
  std::optional<std::string> schema_text;
  std::vector<std::string> removed_services;
  std::vector<ServiceDelta> services;
  std::optional<RoutingDelta> routing;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(schema_text, removed_services, services, routing);
  }
};

RoutingDelta MakeRoutingDelta(const RoutingDocument& from,
                              const RoutingDocument& to) {
  RoutingDelta delta;
  delta.version = to.version;
  const auto first_difference = std::ranges::mismatch(from.text, to.text);
  delta.shared_prefix =
      static_cast<std::uint64_t>(first_difference.in1 - from.text.begin());
  const std::string_view old_rest =
      std::string_view{from.text}.substr(delta.shared_prefix);
  const std::string_view new_rest =
      std::string_view{to.text}.substr(delta.shared_prefix);
  const auto last_difference = std::mismatch(
      old_rest.rbegin(), old_rest.rend(), new_rest.rbegin(), new_rest.rend());
  delta.shared_suffix =
      static_cast<std::uint64_t>(last_difference.first - old_rest.rbegin());
  delta.middle = new_rest.substr(0, new_rest.size() - delta.shared_suffix);
  return delta;
}

bool ApplyRoutingDelta(const RoutingDelta& delta, RoutingDocument* routing) {
  const std::string& old_text = routing->text;
  const bool is_in_range =
      delta.shared_prefix <= old_text.size() &&
      delta.shared_suffix <= old_text.size() - delta.shared_prefix;
  if (!is_in_range) return false;
  routing->text = old_text.substr(0, delta.shared_prefix) + delta.middle +
                  old_text.substr(old_text.size() - delta.shared_suffix);
  routing->version = delta.version;
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
    body.routing = MakeRoutingDelta(from.routing, to.routing);
  }
  ConfigDelta delta{{from.version, to.version, HashConfig(to)}, Encode(body)};
  ClusterConfig applied = from;
  if (!ApplyDelta(delta, &applied)) return std::nullopt;
  return delta;
}

bool ApplyDelta(const ConfigDelta& delta, ClusterConfig* config) {
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
  config->version = delta.header.to_version;
  return HashConfig(*config) == delta.header.to_hash;
}

}  // namespace chicoryvale
