#include "upstream/replica_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryvale {

ReplicaTable::ReplicaTable(const ReplicaTableSettings& settings,
                           AvailabilityTracker* availability)
    : m_settings(settings), m_availability(availability) {
  assert(availability != nullptr);
}

std::vector<std::shared_ptr<ReplicaSet>> ReplicaTable::Apply(
    const ClusterConfig& config, TimePoint now) {
  for (auto& [host_port, replica] : m_replicas) {
    replica->in_config = false;
    replica->state.Availability()->operator_draining = false;
  }
  auto old_services = std::exchange(m_services, {});
  std::vector<std::shared_ptr<ReplicaSet>> removed_sets;
  for (const ServiceConfig& service : config.services) {
    Shards shards = std::move(old_services[service.name]);
    old_services.erase(service.name);
    while (shards.size() > service.shards.size()) {
      removed_sets.push_back(std::move(shards.back()));
      shards.pop_back();
    }
    while (shards.size() < service.shards.size()) {
      shards.push_back(std::make_shared<ReplicaSet>(m_settings.queue_capacity));
    }
    for (std::size_t i = 0; i < shards.size(); ++i) {
      UpdateShard(service.shards[i], service.limits, shards[i].get(), now);
    }
    m_services[service.name] = std::move(shards);
  }
  for (auto& [name, shards] : old_services) {
    std::ranges::move(shards, std::back_inserter(removed_sets));
  }
  for (auto& [host_port, replica] : m_replicas) {
    if (replica->in_config) ApplyShare(replica.get());
  }
  m_configured = true;
  ReleaseRemoved();
  return removed_sets;
}

void ReplicaTable::SetShare(const ConnectionShare& share) {
  m_share = share;
  for (auto& [host_port, replica] : m_replicas) ApplyShare(replica.get());
}

void ReplicaTable::ApplyShare(Replica* replica) const {
  const std::uint32_t limit = replica->limits.connections;
  replica->budget =
      m_share ? m_share->BudgetFor(limit) : ConnectionBudget{limit, limit};
  replica->state.SetConnectionShare(replica->budget.usable);
}

const std::shared_ptr<ReplicaSet>* ReplicaTable::Find(
    const std::string& service, ShardId shard) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return nullptr;
  if (shard >= found->second.size()) return nullptr;
  return &found->second[shard];
}

Replica* ReplicaTable::FindReplica(const Address& address) {
  const auto found = m_replicas.find(address.host_port);
  return found == m_replicas.end() ? nullptr : found->second.get();
}

void ReplicaTable::Release(Replica* replica) {
  if (replica->in_config || replica->state.InFlight() > 0) return;
  const Address address = replica->state.GetAddress();
  m_replicas.erase(address.host_port);
  m_availability->Remove(address);
}

void ReplicaTable::UpdateShard(const ShardConfig& shard,
                               const ReplicaLimits& limits, ReplicaSet* set,
                               TimePoint now) {
  set->members.clear();
  set->replicas.clear();
  for (const ReplicaConfig& config : shard.replicas) {
    Replica* replica = AddReplica(config, limits, now);
    const bool own_zone =
        config.availability_zone == m_settings.availability_zone;
    set->members.push_back({&replica->state, own_zone});
    set->replicas.push_back(replica);
  }
}

Replica* ReplicaTable::AddReplica(const ReplicaConfig& config,
                                  const ReplicaLimits& limits, TimePoint now) {
  std::unique_ptr<Replica>& replica = m_replicas[config.address.host_port];
  if (replica == nullptr) {
    ConcurrencyLimitSettings limit = m_settings.limit;
    limit.initial = limits.slots;
    replica = std::make_unique<Replica>(
        ReplicaState(config.address, m_settings.replica, limit,
                     m_availability->FindOrCreateRecord(config.address),
                     m_configured, now),
        ConnectionMonitor(m_settings.monitor,
                          &m_paths[config.availability_zone]));
  }
  if (replica->in_config) {
    replica->limits.slots = std::min(replica->limits.slots, limits.slots);
    replica->limits.connections =
        std::min(replica->limits.connections, limits.connections);
  } else {
    replica->limits = limits;
  }
  replica->in_config = true;
  if (config.draining) replica->state.Availability()->operator_draining = true;
  return replica.get();
}

void ReplicaTable::ReleaseRemoved() {
  std::vector<Replica*> removed;
  for (auto& [host_port, replica] : m_replicas) {
    if (!replica->in_config) removed.push_back(replica.get());
  }
  std::ranges::for_each(removed, [this](Replica* r) { Release(r); });
}

}  // namespace chicoryvale
