#include "config/config_delta.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "config/cluster_config_codec.h"

namespace chicoryvale {
namespace {

struct ShardStep {
  std::uint32_t index = 0;
  ShardConfig shard;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(index, shard);
  }
};

/// The new settings of a service, with only those shards that differ.
struct ServiceStep {
  ServiceConfig settings;
  std::uint32_t shard_count = 0;
  std::vector<ShardStep> shards;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(settings, shard_count, shards);
  }
};

/// The new configuration of routes: what stands between a beginning and an end
/// that it shares with the old one.
struct RoutingStep {
  std::uint64_t version = 0;
  std::uint64_t shared_prefix = 0;
  std::uint64_t shared_suffix = 0;
  std::string middle;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(version, shared_prefix, shared_suffix, middle);
  }
};

struct ConfigStep {
  std::optional<std::string> schema_text;
  std::vector<std::string> removed;
  std::vector<ServiceStep> services;
  std::optional<RoutingStep> routing;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(schema_text, removed, services, routing);
  }
};

RoutingStep MakeRoutingStep(const RoutingDocument& from,
                            const RoutingDocument& to) {
  RoutingStep step;
  step.version = to.version;
  const auto shared = std::ranges::mismatch(from.text, to.text);
  step.shared_prefix =
      static_cast<std::uint64_t>(shared.in1 - from.text.begin());
  const std::string_view old_rest =
      std::string_view{from.text}.substr(step.shared_prefix);
  const std::string_view new_rest =
      std::string_view{to.text}.substr(step.shared_prefix);
  const auto end = std::mismatch(old_rest.rbegin(), old_rest.rend(),
                                 new_rest.rbegin(), new_rest.rend());
  step.shared_suffix =
      static_cast<std::uint64_t>(end.first - old_rest.rbegin());
  step.middle = new_rest.substr(0, new_rest.size() - step.shared_suffix);
  return step;
}

bool ApplyRoutingStep(const RoutingStep& step, RoutingDocument* routing) {
  const std::string& old = routing->text;
  const bool fits = step.shared_prefix <= old.size() &&
                    step.shared_suffix <= old.size() - step.shared_prefix;
  if (!fits) return false;
  routing->text = old.substr(0, step.shared_prefix) + step.middle +
                  old.substr(old.size() - step.shared_suffix);
  routing->version = step.version;
  return true;
}

ServiceConfig WithoutShards(const ServiceConfig& service) {
  ServiceConfig settings;
  settings.name = service.name;
  settings.map_epoch = service.map_epoch;
  settings.index_version = service.index_version;
  settings.limits = service.limits;
  settings.quarantined = service.quarantined;
  return settings;
}

ServiceStep MakeServiceStep(const ServiceConfig* from,
                            const ServiceConfig& to) {
  ServiceStep step;
  step.settings = WithoutShards(to);
  step.shard_count = static_cast<std::uint32_t>(to.shards.size());
  for (std::uint32_t i = 0; i < step.shard_count; ++i) {
    if (from != nullptr && i < from->shards.size() &&
        from->shards[i] == to.shards[i]) {
      continue;
    }
    step.shards.push_back({i, to.shards[i]});
  }
  return step;
}

bool ApplyServiceStep(ServiceStep step, ServiceConfig* service) {
  std::vector<ShardConfig> shards = std::move(service->shards);
  // A shard that is new needs its own step, which bounds the growth.
  if (step.shard_count > shards.size() + step.shards.size()) return false;
  shards.resize(step.shard_count);
  for (ShardStep& shard : step.shards) {
    if (shard.index >= step.shard_count) return false;
    shards[shard.index] = std::move(shard.shard);
  }
  *service = std::move(step.settings);
  service->shards = std::move(shards);
  return true;
}

}  // namespace

std::optional<ConfigDelta> MakeDelta(const ClusterConfig& from,
                                     const ClusterConfig& to) {
  ConfigStep step;
  if (from.schema_text != to.schema_text) step.schema_text = to.schema_text;
  for (const ServiceConfig& service : from.services) {
    if (FindService(to, service.name) == nullptr) {
      step.removed.push_back(service.name);
    }
  }
  for (const ServiceConfig& service : to.services) {
    const ServiceConfig* old = FindService(from, service.name);
    if (old != nullptr && *old == service) continue;
    step.services.push_back(MakeServiceStep(old, service));
  }
  if (from.routing != to.routing) {
    step.routing = MakeRoutingStep(from.routing, to.routing);
  }
  ConfigDelta delta{{from.version, to.version, HashConfig(to)}, Encode(step)};
  ClusterConfig check = from;
  if (!ApplyDelta(delta, &check)) return std::nullopt;
  return delta;
}

bool ApplyDelta(const ConfigDelta& delta, ClusterConfig* config) {
  ConfigStep step;
  if (config->version != delta.header.from_version ||
      !Decode(delta.bytes, &step)) {
    return false;
  }
  if (step.schema_text) config->schema_text = std::move(*step.schema_text);
  std::erase_if(config->services, [&step](const ServiceConfig& service) {
    return std::ranges::find(step.removed, service.name) != step.removed.end();
  });
  for (ServiceStep& service : step.services) {
    auto found = std::ranges::find(config->services, service.settings.name,
                                   &ServiceConfig::name);
    if (found == config->services.end()) {
      found = config->services.insert(found, ServiceConfig{});
    }
    if (!ApplyServiceStep(std::move(service), &*found)) return false;
  }
  if (step.routing && !ApplyRoutingStep(*step.routing, &config->routing)) {
    return false;
  }
  config->version = delta.header.to_version;
  return HashConfig(*config) == delta.header.to_hash;
}

}  // namespace chicoryvale
