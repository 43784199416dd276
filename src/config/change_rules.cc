#include "config/change_rules.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <charconv>
#include <utility>
#include <variant>

#include "config/schema_rules.h"

namespace chicoryvale {
namespace {

// Returns whether `host_port` is a host, a colon and a port from 1 to 65535.
bool IsReplicaAddress(const std::string& host_port) {
  constexpr std::uint32_t kMaxPort = 65535;
  const std::size_t colon = host_port.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  const char* begin = host_port.data() + colon + 1;
  const char* end = host_port.data() + host_port.size();
  std::uint32_t port = 0;
  const auto [rest, error] = std::from_chars(begin, end, port);
  return error == std::errc{} && rest == end && port >= 1 && port <= kMaxPort;
}

// A description of what makes a change invalid; nullopt if the change is valid.
using Problem = std::optional<std::string>;

bool HasReplica(const ServiceConfig& service, const Address& address) {
  return std::ranges::any_of(service.shards, [&](const ShardConfig& shard) {
    return std::ranges::find(shard.replicas, address,
                             &ReplicaConfig::address) != shard.replicas.end();
  });
}

std::vector<std::string> SortedAddresses(const ShardConfig& shard) {
  std::vector<std::string> addresses;
  std::ranges::transform(
      shard.replicas, std::back_inserter(addresses),
      [](const ReplicaConfig& replica) { return replica.address.host_port; });
  std::ranges::sort(addresses);
  return addresses;
}

/// Returns whether both placements assign the same addresses to each shard.
/// Zones and draining marks are not part of the shard map and are ignored.
bool SameShardMap(const std::vector<ShardConfig>& left,
                  const std::vector<ShardConfig>& right) {
  return std::ranges::equal(left, right, {}, SortedAddresses, SortedAddresses);
}

Problem ValidateLimits(const ReplicaLimits& limits) {
  if (limits.slots == 0) return "limits: slots must be at least 1";
  if (limits.connections == 0) return "limits: connections must be at least 1";
  return std::nullopt;
}

Problem ValidateShard(const ShardConfig& shard, std::size_t shard_index) {
  const std::string prefix = "shard " + std::to_string(shard_index) + ": ";
  if (shard.replicas.empty()) return prefix + "has no replica";
  if (shard.replicas.size() > kMaxReplicasPerShard) {
    return prefix + "has more than " + std::to_string(kMaxReplicasPerShard) +
           " replicas";
  }
  for (const ReplicaConfig& replica : shard.replicas) {
    if (!IsReplicaAddress(replica.address.host_port)) {
      return prefix + "replica address \"" + replica.address.host_port +
             "\" is not host:port";
    }
  }
  const std::vector<std::string> addresses = SortedAddresses(shard);
  const auto duplicate = std::ranges::adjacent_find(addresses);
  if (duplicate == addresses.end()) return std::nullopt;
  return prefix + "replica " + *duplicate + " is listed twice";
}

/// Validates a change, with one overload for each kind of payload. `m_service`
/// is null if the service has no placement yet.
class ChangeValidator {
 public:
  ChangeValidator(const ClusterConfig& config, const Change& change,
                  const SchemaRules* rules)
      : m_config(config),
        m_change(change),
        m_rules(rules),
        m_service(FindService(config, change.service)) {}

  Problem operator()(const ApplySchema& payload) const {
    if (!m_change.service.empty()) return "a schema names no service";
    if (payload.schema_text.empty()) return "the schema is empty";
    if (payload.schema_text.size() > kMaxSchemaBytes) {
      return "the schema has more than " + std::to_string(kMaxSchemaBytes) +
             " bytes";
    }
    if (m_rules == nullptr) return std::nullopt;
    return m_rules->CheckSchema(m_config, payload.schema_text);
  }

  Problem operator()(const SetPlacement& payload) const {
    if (m_change.service.empty() ||
        m_change.service.size() > kMaxServiceNameBytes) {
      return "the service name is empty or longer than " +
             std::to_string(kMaxServiceNameBytes) + " bytes";
    }
    if (m_service == nullptr && m_config.services.size() >= kMaxServices) {
      return "there are " + std::to_string(kMaxServices) + " services already";
    }
    if (payload.limits) {
      if (Problem problem = ValidateLimits(*payload.limits)) return problem;
    }
    if (Problem problem = ValidateShards(payload)) return problem;
    if (Problem problem = ValidatePlacementIndex(payload)) return problem;
    if (m_rules == nullptr) return std::nullopt;
    return m_rules->CheckPlacement(m_config, m_change.service,
                                   payload.shards.size());
  }

  Problem operator()(const ReplaceRouting& payload) const {
    if (payload.document.text.size() > kMaxRoutingDocumentBytes) {
      return "the configuration of routes has more than " +
             std::to_string(kMaxRoutingDocumentBytes) + " bytes";
    }
    return std::nullopt;
  }

  Problem operator()(const SetEvacuation& payload) const {
    if (!IsZoneName(payload.availability_zone)) {
      return "the name of the availability zone is empty, too long or contains "
             "a slash or a control character";
    }
    if (payload.evacuated &&
        m_config.evacuated_zones.size() >= kMaxEvacuatedZones) {
      return std::to_string(kMaxEvacuatedZones) +
             " availability zones are evacuated already";
    }
    return std::nullopt;
  }

  Problem operator()(const DrainReplica& payload) const {
    if (m_service == nullptr) return NoPlacementProblem();
    if (HasReplica(*m_service, payload.address)) return std::nullopt;
    return "service " + m_change.service + " has no replica at " +
           payload.address.host_port;
  }

  Problem operator()(const SetLimits& payload) const {
    if (m_service == nullptr) return NoPlacementProblem();
    return ValidateLimits(payload.limits);
  }

  Problem operator()(const PublishIndex& payload) const {
    if (m_service == nullptr) return NoPlacementProblem();
    return ValidateIndexVersion(payload.index_version);
  }

  Problem operator()(const Quarantine& payload) const {
    if (m_service == nullptr) return NoPlacementProblem();
    const auto& fingerprints = m_service->quarantined;
    const bool is_quarantined =
        std::ranges::find(fingerprints, payload.fingerprint) !=
        fingerprints.end();
    if (payload.release && !is_quarantined) {
      return "fingerprint " + std::to_string(payload.fingerprint) +
             " is not quarantined";
    }
    if (!payload.release && !is_quarantined &&
        fingerprints.size() >= kMaxQuarantinedPerService) {
      return "service " + m_change.service + " has " +
             std::to_string(kMaxQuarantinedPerService) +
             " quarantined fingerprints";
    }
    return std::nullopt;
  }

 private:
  [[nodiscard]] std::string NoPlacementProblem() const {
    return "service \"" + m_change.service + "\" has no placement";
  }

  [[nodiscard]] static Problem ValidateShards(const SetPlacement& payload) {
    if (payload.shards.empty()) return "the placement has no shard";
    if (payload.shards.size() > kMaxShardsPerService) {
      return "the placement has more than " +
             std::to_string(kMaxShardsPerService) + " shards";
    }
    for (std::size_t i = 0; i < payload.shards.size(); ++i) {
      if (Problem problem = ValidateShard(payload.shards[i], i)) return problem;
    }
    return std::nullopt;
  }

  [[nodiscard]] Problem ValidatePlacementIndex(
      const SetPlacement& payload) const {
    if (payload.index_version == 0 || m_service == nullptr) return std::nullopt;
    if (!SameShardMap(payload.shards, m_service->shards)) return std::nullopt;
    return ValidateIndexVersion(payload.index_version);
  }

  [[nodiscard]] Problem ValidateIndexVersion(std::uint64_t version) const {
    if (version >= m_service->index_version) return std::nullopt;
    return "index version " + std::to_string(version) +
           " is below the published " +
           std::to_string(m_service->index_version);
  }

  const ClusterConfig& m_config;
  const Change& m_change;
  const SchemaRules* m_rules;
  const ServiceConfig* m_service;
};

/// Applies a change, with one overload for each kind of payload.
class PayloadApplier {
 public:
  PayloadApplier(const Change& change, ClusterConfig* config)
      : m_change(change), m_config(config) {}

  void operator()(const ApplySchema& payload) const {
    m_config->schema_text = payload.schema_text;
  }

  void operator()(const SetPlacement& payload) const {
    ServiceConfig& service = FindOrAddService();
    if (!SameShardMap(payload.shards, service.shards)) ++service.map_epoch;
    service.shards = payload.shards;
    if (payload.limits) service.limits = *payload.limits;
    if (payload.index_version != 0) {
      service.index_version = payload.index_version;
    }
  }

  void operator()(const ReplaceRouting& payload) const {
    m_config->routing = payload.document;
  }

  void operator()(const SetEvacuation& payload) const {
    auto& zones = m_config->evacuated_zones;
    std::erase(zones, payload.availability_zone);
    if (!payload.evacuated) return;
    zones.insert(std::ranges::lower_bound(zones, payload.availability_zone),
                 payload.availability_zone);
  }

  void operator()(const DrainReplica& payload) const {
    for (ShardConfig& shard : FindOrAddService().shards) {
      const auto replica = std::ranges::find(shard.replicas, payload.address,
                                             &ReplicaConfig::address);
      if (replica != shard.replicas.end()) replica->draining = payload.draining;
    }
  }

  void operator()(const SetLimits& payload) const {
    FindOrAddService().limits = payload.limits;
  }

  void operator()(const PublishIndex& payload) const {
    FindOrAddService().index_version = payload.index_version;
  }

  void operator()(const Quarantine& payload) const {
    auto& fingerprints = FindOrAddService().quarantined;
    std::erase(fingerprints, payload.fingerprint);
    if (!payload.release) fingerprints.push_back(payload.fingerprint);
  }

 private:
  [[nodiscard]] ServiceConfig& FindOrAddService() const {
    auto& services = m_config->services;
    const auto found =
        std::ranges::find(services, m_change.service, &ServiceConfig::name);
    if (found != services.end()) return *found;
    ServiceConfig& added = services.emplace_back();
    added.name = m_change.service;
    return added;
  }

  const Change& m_change;
  ClusterConfig* m_config;
};

}  // namespace

bool IsZoneName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxZoneNameBytes &&
         std::ranges::none_of(name, [](unsigned char character) {
           return character == '/' || std::iscntrl(character) != 0;
         });
}

bool IsUnchangedBy(const ClusterConfig& config, const Change& change) {
  if (const auto* routing = std::get_if<ReplaceRouting>(&change.payload)) {
    return routing->document.version <= config.routing.version;
  }
  if (const auto* evacuation = std::get_if<SetEvacuation>(&change.payload)) {
    return std::ranges::binary_search(config.evacuated_zones,
                                      evacuation->availability_zone) ==
           evacuation->evacuated;
  }
  return false;
}

bool IgnoresExpectedVersion(const Change& change) {
  return std::holds_alternative<ReplaceRouting>(change.payload) ||
         std::holds_alternative<SetEvacuation>(change.payload);
}

std::optional<std::string> ValidateChange(const ClusterConfig& config,
                                          const Change& change,
                                          const SchemaRules* rules) {
  return std::visit(ChangeValidator(config, change, rules), change.payload);
}

void ApplyPayload(const Change& change, ClusterConfig* config) {
  assert(config != nullptr);
  std::visit(PayloadApplier(change, config), change.payload);
}

}  // namespace chicoryvale
