#ifndef CHICORYVALE_TESTS_UPSTREAM_CONNECTION_FAULT_MODEL_H_
#define CHICORYVALE_TESTS_UPSTREAM_CONNECTION_FAULT_MODEL_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_scheduler.h"
#include "fakes/queued_upstream.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale::upstream_test {

/// The fault that occurs at 5 s.
enum class ConnectionFault : std::uint8_t {
  kNone,
  kOneConnection,
  /// All connections to replica 0 die.
  kOneReplica,
  /// All connections to the replicas of zone "b", which are every second
  /// replica, die.
  kOnePath,
  /// Replica 0 takes 10 times as long.
  kSlowReplica,
  /// All replicas of zone "b" take 10 times as long.
  kSlowPath,
};

/// Options of a run of the model.
struct ConnectionFaultOptions {
  ConnectionFault fault = ConnectionFault::kNone;
  /// Whether connections are closed when the gate finds them dead.
  bool monitored = true;
  std::uint64_t seed = 1;
};

/// Result of a run.
struct ConnectionFaultResult {
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;
  /// Number of connections opened, and of attempts sent on a dead connection.
  std::uint64_t connections_opened = 0;
  std::uint64_t dead_connection_attempts = 0;
  /// Number of working connections that were closed because the gate found them
  /// dead.
  std::uint64_t working_connections_closed = 0;
  /// Time from the fault to the last attempt on a dead connection; zero if
  /// there was none.
  Duration last_dead_attempt_delay{};
  Duration p99{};
};

/// One entry, 10 shards of 2 replicas in zones "a" and "b", kept connections
/// that die without being closed, and one hedge at the other replica after 20
/// ms.
class ConnectionFaultModel {
 public:
  explicit ConnectionFaultModel(const ConnectionFaultOptions& options)
      : m_options(options), m_random(options.seed) {
    ServiceConfig service;
    service.name = "s";
    service.limits = {8, 50};
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      service.shards.emplace_back();
      for (const char* zone : {"a", "b"}) {
        const std::string address = std::to_string(m_replicas.size());
        service.shards.back().replicas.push_back({{address}, zone, false});
        QueuedUpstreamOptions upstream;
        upstream.slots = service.limits.slots;
        upstream.seed = m_random();
        m_replicas.emplace_back();
        m_replicas.back().upstream =
            std::make_unique<QueuedUpstream>(&m_scheduler, upstream);
      }
    }
    ClusterConfig config;
    config.services = {service};
    UpstreamGateOptions gate;
    gate.scheduler = &m_scheduler;
    gate.seed = m_random();
    gate.availability_zone = "a";
    gate.picker.other_zone_factor = 1.0;
    m_gate = UpstreamGate::Make(gate);
    m_gate->ApplyConfig(config);
    if (!options.monitored) return;
    m_gate->SetDeadConnectionListener([this](const Address& replica) {
      for (Connection& kept : m_replicas[Index(replica)].idle) {
        m_result.working_connections_closed += kept.dead ? 0 : 1;
      }
      m_replicas[Index(replica)].idle.clear();
    });
  }

  ConnectionFaultResult Run() {
    ScheduleArrival();
    m_scheduler.Schedule(kFaultTime, [this] { InjectFault(); });
    m_scheduler.RunFor(seconds(30));
    std::ranges::sort(m_latencies);
    m_result.p99 = m_latencies[m_latencies.size() * 99 / 100];
    return m_result;
  }

 private:
  struct Connection {
    bool dead = false;
  };
  struct TargetReplica {
    std::unique_ptr<QueuedUpstream> upstream;
    std::vector<Connection> idle;
    /// Number of faults so far. Connections in use when it increases are dead
    /// afterwards.
    std::uint32_t faults = 0;
  };
  struct Request {
    TimePoint started{};
    ShardId shard = 0;
    bool done = false;
    /// Attempts in flight.
    std::vector<std::pair<GateTicket, TimePoint>> open;
  };
  using RequestPointer = std::shared_ptr<Request>;

  static constexpr std::size_t kShards = 10;
  static constexpr double kRequestsPerSecond = 2000.0;
  static constexpr Duration kFaultTime = seconds(5);
  static constexpr Duration kHedgeDelay = milliseconds(20);
  static constexpr Duration kDeadline = milliseconds(400);
  static constexpr Duration kOneWayDelay = milliseconds(1);
  static constexpr Duration kConnectDelay = milliseconds(6);

  static std::size_t Index(const Address& replica) {
    return std::stoul(replica.host_port);
  }

  void InjectFault() {
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
      TargetReplica& target = m_replicas[i];
      switch (m_options.fault) {
        case ConnectionFault::kNone:
          break;
        case ConnectionFault::kOneConnection:
          if (i == 0 && !target.idle.empty()) target.idle.back().dead = true;
          break;
        case ConnectionFault::kOneReplica:
          if (i == 0) KillConnections(&target);
          break;
        case ConnectionFault::kOnePath:
          if (i % 2 == 1) KillConnections(&target);
          break;
        case ConnectionFault::kSlowReplica:
          if (i == 0) target.upstream->SetSlowness(10.0);
          break;
        case ConnectionFault::kSlowPath:
          if (i % 2 == 1) target.upstream->SetSlowness(10.0);
          break;
      }
    }
  }

  static void KillConnections(TargetReplica* target) {
    ++target->faults;
    for (Connection& kept : target->idle) kept.dead = true;
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    const Duration wait(static_cast<std::int64_t>(gap(m_random) * 1e6));
    m_scheduler.Schedule(wait, [this] {
      auto request = std::make_shared<Request>();
      request->started = m_scheduler.Now();
      request->shard = m_random() % kShards;
      ++m_result.requests;
      Attempt(request, {});
      m_scheduler.Schedule(kDeadline, [this, request] {
        if (request->done) return;
        ++m_result.failed;
        End(request);
      });
      ScheduleArrival();
    });
  }

  void Attempt(const RequestPointer& request,
               const std::vector<Address>& avoid) {
    AttemptSpec spec;
    spec.service = "s";
    spec.shard = request->shard;
    spec.deadline = request->started + kDeadline;
    spec.avoid = avoid;
    if (!avoid.empty()) spec.purpose = AttemptPurpose::kHedge;
    const GateTicket ticket = m_gate->NewTicket();
    m_gate->Request(spec, ticket,
                    [=, this](const Result<ReplicaChoice>& choice) {
                      if (!choice) return;
                      request->open.emplace_back(ticket, m_scheduler.Now());
                      Send(request, ticket, *choice);
                      if (avoid.empty()) Hedge(request, choice->replica);
                    });
  }

  void Hedge(const RequestPointer& request, const Address& first) {
    m_scheduler.Schedule(kHedgeDelay, [=, this] {
      if (!request->done) Attempt(request, {first});
    });
  }

  void Send(const RequestPointer& request, GateTicket ticket,
            const ReplicaChoice& choice) {
    ++m_result.attempts;
    const std::size_t index = Index(choice.replica);
    TargetReplica& target = m_replicas[index];
    Duration delay = kOneWayDelay;
    Connection connection;
    if (choice.fresh_connection || target.idle.empty()) {
      ++m_result.connections_opened;
      delay += kConnectDelay;
    } else {
      connection = target.idle.back();
      target.idle.pop_back();
    }
    if (connection.dead) {
      ++m_result.dead_connection_attempts;
      m_result.last_dead_attempt_delay =
          m_scheduler.Now() - TimePoint{} - kFaultTime;
      return;
    }
    const TimePoint sent = m_scheduler.Now();
    const std::uint32_t faults = target.faults;
    const auto on_outcome = [=, this](const SubOutcome& outcome) {
      m_scheduler.Schedule(kOneWayDelay, [=, this] {
        // The connection of an abandoned attempt is closed, and a dead
        // connection delivers no answer.
        if (request->done || m_replicas[index].faults != faults) return;
        m_replicas[index].idle.push_back({});
        std::erase(request->open, std::pair(ticket, sent));
        m_gate->Finish(ticket, outcome, m_scheduler.Now() - sent);
        m_latencies.push_back(m_scheduler.Now() - request->started);
        End(request);
      });
    };
    m_scheduler.Schedule(delay, [=, this] {
      if (request->done) return;
      m_replicas[index].upstream->Submit(on_outcome);
    });
  }

  void End(const RequestPointer& request) {
    request->done = true;
    for (const auto& [ticket, sent] : request->open) {
      m_gate->Abandon(ticket, m_scheduler.Now() - sent);
    }
  }

  ConnectionFaultOptions m_options;
  std::mt19937_64 m_random;
  FakeScheduler m_scheduler;
  std::vector<TargetReplica> m_replicas;
  std::unique_ptr<UpstreamGate> m_gate;
  std::vector<Duration> m_latencies;
  ConnectionFaultResult m_result;
};

}  // namespace chicoryvale::upstream_test

#endif  // CHICORYVALE_TESTS_UPSTREAM_CONNECTION_FAULT_MODEL_H_
