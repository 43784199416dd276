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

/// What goes wrong at 5 s.
enum class ConnectionFault : std::uint8_t {
  kNone,
  kOneConnection,
  /// All connections of replica 0.
  kOneReplica,
  /// All connections to the replicas of zone "b", every second one.
  kOnePath,
  /// Replica 0 takes 10 times as long.
  kSlowReplica,
  /// All replicas of zone "b" take 10 times as long.
  kSlowPath,
};

/// Setting of a run of the model.
struct ConnectionFaultOptions {
  ConnectionFault fault = ConnectionFault::kNone;
  /// Whether the gate's findings are heeded.
  bool monitored = true;
  std::uint64_t seed = 1;
};

/// What a run showed.
struct ConnectionFaultResult {
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;
  /// Connections opened, and attempts given to a silent connection.
  std::uint64_t opened = 0;
  std::uint64_t stalled = 0;
  /// Connections closed on the gate's finding that worked.
  std::uint64_t working_closed = 0;
  /// From the fault to the last attempt on a silent connection; zero if none.
  Duration last_stall_delay{};
  Duration p99{};
};

/// One entry, 10 shards of 2 replicas in zones "a" and "b", kept connections
/// that go silent, and one hedge at the other replica after 20 ms.
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
        m_result.working_closed += kept.silent ? 0 : 1;
      }
      m_replicas[Index(replica)].idle.clear();
    });
  }

  ConnectionFaultResult Run() {
    Arrive();
    m_scheduler.Schedule(kFaultAt, [this] { Break(); });
    m_scheduler.RunFor(seconds(30));
    std::ranges::sort(m_latencies);
    m_result.p99 = m_latencies[m_latencies.size() * 99 / 100];
    return m_result;
  }

 private:
  struct Connection {
    bool silent = false;
  };
  struct Target {
    std::unique_ptr<QueuedUpstream> upstream;
    std::vector<Connection> idle;
    /// Counts faults: connections in use when it rises are silent after.
    std::uint32_t faults = 0;
  };
  struct Request {
    TimePoint started{};
    ShardId shard = 0;
    bool done = false;
    /// Open attempts.
    std::vector<std::pair<GateTicket, TimePoint>> open;
  };
  using RequestPointer = std::shared_ptr<Request>;

  static constexpr std::size_t kShards = 10;
  static constexpr double kRequestsPerSecond = 2000.0;
  static constexpr Duration kFaultAt = seconds(5);
  static constexpr Duration kHedgeDelay = milliseconds(20);
  static constexpr Duration kDeadline = milliseconds(400);
  static constexpr Duration kOneWay = milliseconds(1);
  static constexpr Duration kOpen = milliseconds(6);

  static std::size_t Index(const Address& replica) {
    return std::stoul(replica.host_port);
  }

  void Break() {
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
      Target& target = m_replicas[i];
      switch (m_options.fault) {
        case ConnectionFault::kNone:
          break;
        case ConnectionFault::kOneConnection:
          if (i == 0 && !target.idle.empty()) target.idle.back().silent = true;
          break;
        case ConnectionFault::kOneReplica:
          if (i == 0) Silence(&target);
          break;
        case ConnectionFault::kOnePath:
          if (i % 2 == 1) Silence(&target);
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

  static void Silence(Target* target) {
    ++target->faults;
    for (Connection& kept : target->idle) kept.silent = true;
  }

  void Arrive() {
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
      Arrive();
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
    Target& target = m_replicas[index];
    Duration delay = kOneWay;
    Connection connection;
    if (choice.fresh_connection || target.idle.empty()) {
      ++m_result.opened;
      delay += kOpen;
    } else {
      connection = target.idle.back();
      target.idle.pop_back();
    }
    if (connection.silent) {
      ++m_result.stalled;
      m_result.last_stall_delay = m_scheduler.Now() - TimePoint{} - kFaultAt;
      return;
    }
    const TimePoint sent = m_scheduler.Now();
    const std::uint32_t faults = target.faults;
    const auto on_outcome = [=, this](const SubOutcome& outcome) {
      m_scheduler.Schedule(kOneWay, [=, this] {
        // An abandoned attempt's connection is closed; a silent one is mute.
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
  std::vector<Target> m_replicas;
  std::unique_ptr<UpstreamGate> m_gate;
  std::vector<Duration> m_latencies;
  ConnectionFaultResult m_result;
};

}  // namespace chicoryvale::upstream_test

#endif  // CHICORYVALE_TESTS_UPSTREAM_CONNECTION_FAULT_MODEL_H_
