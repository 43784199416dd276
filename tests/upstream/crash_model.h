#ifndef CHICORYVALE_TESTS_UPSTREAM_CRASH_MODEL_H_
#define CHICORYVALE_TESTS_UPSTREAM_CRASH_MODEL_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_scheduler.h"
#include "fakes/queued_upstream.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale::upstream_test {

/// Behaviour of the caller whose request crashes upstreams.
enum class CallerKind : std::uint8_t {
  /// There is no such caller.
  kNone,
  /// Resends the same request after each failure, through a random entry.
  kResends,
  /// Sends the request through all entries at once, then resends it after each
  /// failure.
  kRaces,
  /// As kResends, with a different body each time.
  kVaries,
};

/// Options of a run of the model.
struct CrashModelOptions {
  CrashSettings crash;
  CallerKind caller = CallerKind::kResends;
  /// Crashes of single upstreams for other causes, per second.
  double other_crashes_per_second = 0.0;
  /// Number of upstreams that crash together at 5 s.
  std::size_t mass_crash = 0;
  Duration gossip_delay = milliseconds(2);
  std::size_t entries = 16;
  std::size_t shards = 20;
  std::size_t replicas = 2;
  /// Healthy queries per second, over all entries together.
  double healthy_per_second = 100.0;
  /// Fraction of the healthy queries that come from the workspace with the
  /// crashing request.
  double same_origin_ratio = 0.2;
  std::size_t resends = 30;
  Duration length = seconds(20);
  std::uint64_t seed = 1;
};

/// Result of a run.
struct CrashModelResult {
  /// Number of upstreams lost to crashing requests, and the maximum lost to one
  /// request.
  std::uint64_t lost = 0;
  std::uint64_t max_lost_per_request = 0;
  std::uint64_t healthy = 0;
  /// Number of healthy queries with a shard that was refused as quarantined,
  /// refused temporarily, or missing for another reason.
  std::uint64_t healthy_quarantined = 0;
  std::uint64_t healthy_refused_temporarily = 0;
  std::uint64_t healthy_incomplete = 0;
  std::vector<Duration> healthy_latencies;
};

/// Entries with one gate each, replicas that crash, and callers that resend. A
/// query runs at all shards; an attempt that loses its connection is retried
/// once. Crash marks reach the other entries after a delay.
class CrashModel {
 public:
  explicit CrashModel(const CrashModelOptions& options)
      : m_options(options), m_random(options.seed) {
    ServiceConfig service;
    service.name = "s";
    for (std::size_t shard = 0; shard < options.shards; ++shard) {
      service.shards.emplace_back();
      for (std::size_t i = 0; i < options.replicas; ++i) {
        QueuedUpstreamOptions upstream;
        upstream.seed = m_random();
        const std::string address = std::to_string(m_upstreams.size());
        service.shards.back().replicas.push_back({{address}, "a", false});
        m_upstreams.push_back(
            std::make_unique<QueuedUpstream>(&m_scheduler, upstream));
      }
    }
    ClusterConfig config;
    config.services = {service};
    for (std::size_t i = 0; i < options.entries; ++i) {
      UpstreamGateOptions gate;
      gate.scheduler = &m_scheduler;
      gate.seed = m_random();
      gate.availability_zone = "a";
      gate.crash = options.crash;
      m_gates.push_back(UpstreamGate::Make(gate));
      m_gates.back()->ApplyConfig(config);
    }
  }

  CrashModelResult Run() {
    StartHealthyQuery();
    ScheduleOtherCrash();
    m_scheduler.Schedule(seconds(2), [this] { StartCrashingCaller(); });
    m_scheduler.Schedule(seconds(5), [this] {
      for (std::size_t i = 0; i < m_options.mass_crash; ++i) {
        m_upstreams[i * m_upstreams.size() / m_options.mass_crash]->Crash();
      }
    });
    m_scheduler.RunFor(m_options.length);
    for (const auto& [fingerprint, lost] : m_lost_by_fingerprint) {
      m_result.lost += lost;
      m_result.max_lost_per_request =
          std::max(m_result.max_lost_per_request, lost);
    }
    return m_result;
  }

 private:
  struct Query {
    std::size_t entry = 0;
    std::uint64_t fingerprint = 0;
    bool crashes = false;
    std::string workspace;
    TimePoint started{};
    std::size_t open_shards = 0;
    bool complete = true;
    bool quarantined = false;
    bool refused_temporarily = false;
    std::function<void(const Query&)> done;
  };
  using QueryPointer = std::shared_ptr<Query>;

  static constexpr Duration kDeadline = milliseconds(400);
  static constexpr Duration kOneWayDelay = milliseconds(1);
  static constexpr std::size_t kMaxAttempts = 2;

  void StartQuery(Query query) {
    auto shared = std::make_shared<Query>(std::move(query));
    shared->started = m_scheduler.Now();
    shared->open_shards = m_options.shards;
    // Each entry begins at the same shard, so that copies sent through several
    // entries are sent to the same upstream.
    const std::uint64_t first = shared->fingerprint % m_options.shards;
    for (std::uint64_t i = 0; i < m_options.shards; ++i) {
      StartAttempt(shared, (first + i) % m_options.shards, {});
    }
  }

  void StartAttempt(const QueryPointer& query, ShardId shard,
                    const std::vector<Address>& avoid) {
    AttemptSpec spec;
    spec.service = "s";
    spec.shard = shard;
    spec.workspace = query->workspace;
    spec.purpose =
        avoid.empty() ? AttemptPurpose::kFirst : AttemptPurpose::kRetry;
    spec.avoid = avoid;
    spec.deadline = query->started + kDeadline;
    spec.fingerprint = query->fingerprint;
    UpstreamGate* gate = m_gates[query->entry].get();
    const GateTicket ticket = gate->NewTicket();
    gate->Request(spec, ticket, [=, this](const Result<ReplicaChoice>& choice) {
      if (choice) {
        Send(query, shard, avoid, ticket, choice->replica);
      } else {
        OnRefused(query, choice.error().kind);
      }
    });
  }

  void OnRefused(const QueryPointer& query, ErrorKind kind) {
    query->complete = false;
    query->quarantined |= kind == ErrorKind::kQuarantined;
    query->refused_temporarily |= kind == ErrorKind::kOverloaded;
    EndShard(query);
  }

  void Send(const QueryPointer& query, ShardId shard,
            const std::vector<Address>& avoid, GateTicket ticket,
            const Address& replica) {
    const TimePoint sent = m_scheduler.Now();
    const auto on_outcome = [=, this](const SubOutcome& outcome) {
      m_scheduler.Schedule(kOneWayDelay, [=, this] {
        m_gates[query->entry]->Finish(ticket, outcome,
                                      m_scheduler.Now() - sent);
        PublishMarks(query->entry);
        OnOutcome(query, shard, avoid, replica, outcome);
      });
    };
    std::function<void()> on_crash;
    if (query->crashes) {
      on_crash = [this, fingerprint = query->fingerprint] {
        ++m_lost_by_fingerprint[fingerprint];
      };
    }
    m_scheduler.Schedule(kOneWayDelay, [=, this] {
      m_upstreams[std::stoul(replica.host_port)]->Submit(on_outcome, on_crash);
    });
  }

  void OnOutcome(const QueryPointer& query, ShardId shard,
                 std::vector<Address> avoid, const Address& replica,
                 const SubOutcome& outcome) {
    if (outcome.kind == SubOutcomeKind::kAnswered) {
      EndShard(query);
      return;
    }
    avoid.push_back(replica);
    if (avoid.size() < kMaxAttempts) {
      StartAttempt(query, shard, avoid);
      return;
    }
    query->complete = false;
    EndShard(query);
  }

  void EndShard(const QueryPointer& query) {
    if (--query->open_shards == 0) query->done(*query);
  }

  void StartHealthyQuery() {
    std::bernoulli_distribution same_origin(m_options.same_origin_ratio);
    Query query;
    query.entry = RandomEntry();
    query.fingerprint = ++m_last_fingerprint;
    query.workspace = same_origin(m_random) ? "guilty" : "other";
    query.done = [this](const Query& done) {
      ++m_result.healthy;
      if (done.complete) {
        m_result.healthy_latencies.push_back(m_scheduler.Now() - done.started);
      } else if (done.quarantined) {
        ++m_result.healthy_quarantined;
      } else if (done.refused_temporarily) {
        ++m_result.healthy_refused_temporarily;
      } else {
        ++m_result.healthy_incomplete;
      }
    };
    StartQuery(std::move(query));
    m_scheduler.Schedule(RandomInterval(m_options.healthy_per_second),
                         [this] { StartHealthyQuery(); });
  }

  void StartCrashingCaller() {
    if (m_options.caller == CallerKind::kNone) return;
    const std::uint64_t fingerprint = ++m_last_fingerprint;
    const std::size_t copies =
        m_options.caller == CallerKind::kRaces ? m_gates.size() : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      ResendCrashingRequest(copies == 1 ? RandomEntry() : i, fingerprint,
                            m_options.resends);
    }
  }

  void ResendCrashingRequest(std::size_t entry, std::uint64_t fingerprint,
                             std::size_t remaining) {
    if (remaining == 0) return;
    Query query;
    query.entry = entry;
    query.fingerprint = fingerprint;
    query.crashes = true;
    query.workspace = "guilty";
    query.done = [this, remaining](const Query& done) {
      // An entry publishes its marks before it answers.
      const Duration delay = m_options.gossip_delay + 2 * kOneWayDelay;
      const bool varies = m_options.caller == CallerKind::kVaries;
      const std::uint64_t next =
          varies ? ++m_last_fingerprint : done.fingerprint;
      m_scheduler.Schedule(delay, [this, next, remaining] {
        ResendCrashingRequest(RandomEntry(), next, remaining - 1);
      });
    };
    StartQuery(std::move(query));
  }

  void ScheduleOtherCrash() {
    if (m_options.other_crashes_per_second <= 0.0) return;
    m_scheduler.Schedule(
        RandomInterval(m_options.other_crashes_per_second), [this] {
          m_upstreams[m_random() % m_upstreams.size()]->Crash();
          ScheduleOtherCrash();
        });
  }

  void PublishMarks(std::size_t from) {
    for (const CrashMark& mark : m_gates[from]->Quarantine()->PopChanges()) {
      m_scheduler.Schedule(m_options.gossip_delay, [this, from, mark] {
        for (std::size_t to = 0; to < m_gates.size(); ++to) {
          if (to == from) continue;
          m_gates[to]->MergeCrashMark(mark);
          m_gates[to]->Quarantine()->PopChanges();
        }
      });
    }
  }

  Duration RandomInterval(double per_second) {
    std::exponential_distribution<double> gap(per_second);
    return Duration(static_cast<std::int64_t>(gap(m_random) * 1e6));
  }

  std::size_t RandomEntry() { return m_random() % m_gates.size(); }

  CrashModelOptions m_options;
  std::mt19937_64 m_random;
  FakeScheduler m_scheduler;
  std::vector<std::unique_ptr<QueuedUpstream>> m_upstreams;
  std::vector<std::unique_ptr<UpstreamGate>> m_gates;
  std::uint64_t m_last_fingerprint = 1000;
  std::map<std::uint64_t, std::uint64_t> m_lost_by_fingerprint;
  CrashModelResult m_result;
};

}  // namespace chicoryvale::upstream_test

#endif  // CHICORYVALE_TESTS_UPSTREAM_CRASH_MODEL_H_
