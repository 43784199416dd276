#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_FEED_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_FEED_H_

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "base/time.h"
#include "ports/event_log.h"
#include "ports/replica_directory.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Reads the platform's list of replicas again and again. Not thread safe.
class ReplicaFeed {
 public:
  using Listener = std::function<void(const std::vector<ListedReplica>&)>;

  /// What the feed works with; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    ReplicaDirectory* directory = nullptr;
    EventLog* log = nullptr;
  };

  ReplicaFeed(const Ports& ports, Duration period, std::uint64_t seed)
      : m_ports(ports), m_period(period), m_random(seed) {}
  ~ReplicaFeed();
  ReplicaFeed(const ReplicaFeed&) = delete;
  ReplicaFeed& operator=(const ReplicaFeed&) = delete;

  /// Sets the function called with each list read.
  void SetListener(Listener listener) { m_listener = std::move(listener); }

  /// Reads at once and from then on.
  void Start();

 private:
  void ReadNow();
  void OnRead(const Result<std::vector<ListedReplica>>& replicas);

  Ports m_ports;
  Duration m_period;
  std::mt19937_64 m_random;
  Listener m_listener;
  TimerId m_timer = 0;
  bool m_failing = false;
  std::vector<ListedReplica> m_last;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_FEED_H_
