#ifndef CHICORYVALE_TESTS_UPSTREAM_LOAD_MODEL_H_
#define CHICORYVALE_TESTS_UPSTREAM_LOAD_MODEL_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
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

/// How entries choose replicas.
enum class ChoiceKind : std::uint8_t { kGate, kRoundRobin, kLeastReportedLoad };

/// The fault of the replicas or of their load reports.
enum class LoadFault : std::uint8_t {
  kNone,
  /// Load reports are 10 s old.
  kReportsLag,
  /// Load reports never change.
  kReportsStuck,
  /// Load reports are inverted: the higher the load, the lower the report.
  kReportsInverted,
  /// Replica 0 takes 5 times as long.
  kSlowReplica,
  /// As kSlowReplica, and replica 0 reports that it is idle.
  kSlowAndReportsIdle,
  /// Replica 0 joins after a third of the run and is slow for 5 s.
  kColdStart,
};

/// Options of a run of the model.
struct LoadModelOptions {
  ChoiceKind choice = ChoiceKind::kGate;
  LoadFault fault = LoadFault::kNone;
  /// Offered load as a multiple of the capacity.
  double load = 0.6;
  std::size_t entries = 4;
  std::size_t replicas = 7;
  std::uint32_t slots = 3;
  Duration deadline = milliseconds(400);
  Duration length = seconds(60);
  std::uint64_t seed = 1;
};

/// Result of a run.
struct LoadModelResult {
  std::uint64_t requests = 0;
  /// Requests answered within the deadline.
  std::uint64_t answered_in_time = 0;
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  std::uint64_t attempts = 0;
  /// Quantiles of the latency of all requests; a request without answer counts
  /// with its deadline.
  Duration p50{};
  Duration p99{};
};

/// Entries that send requests to the replicas of one shard. A request that is
/// shed is retried once. Answers after the deadline are discarded.
class LoadModel {
 public:
  explicit LoadModel(const LoadModelOptions& options)
      : m_options(options), m_random(options.seed) {
    for (std::size_t i = 0; i < options.replicas; ++i) {
      QueuedUpstreamOptions upstream;
      upstream.slots = options.slots;
      upstream.seed = m_random();
      upstream.queue_capacity = 32;
      m_replicas.push_back(
          std::make_unique<QueuedUpstream>(&m_scheduler, upstream));
      ConfigureLoadReport(i);
    }
    m_reported.assign(options.entries * options.replicas, 0);
    m_next_indexes.resize(options.entries);
    for (std::size_t i = 0; i < options.entries; ++i) {
      UpstreamGateOptions gate;
      gate.scheduler = &m_scheduler;
      gate.seed = m_random();
      gate.availability_zone = "a";
      m_gates.push_back(UpstreamGate::Make(gate));
    }
    m_first_used = options.fault == LoadFault::kColdStart ? 1 : 0;
    Configure();
    const double mean_s = 0.005 * std::exp(0.25 * 0.25 / 2) * 1.19;
    m_requests_per_second = options.load *
                            static_cast<double>(options.replicas) *
                            options.slots / mean_s;
  }

  LoadModelResult Run() {
    const bool slow = m_options.fault == LoadFault::kSlowReplica ||
                      m_options.fault == LoadFault::kSlowAndReportsIdle;
    if (slow) m_replicas[0]->SetSlowness(5.0);
    if (m_options.fault == LoadFault::kColdStart) {
      m_scheduler.Schedule(m_options.length / 3, [this] {
        m_first_used = 0;
        Configure();
        m_replicas[0]->SetSlowness(10.0);
        m_scheduler.Schedule(seconds(5),
                             [this] { m_replicas[0]->SetSlowness(1.0); });
      });
    }
    ScheduleArrival();
    m_scheduler.RunFor(m_options.length);
    std::ranges::sort(m_latencies);
    m_result.p50 = m_latencies[m_latencies.size() / 2];
    m_result.p99 = m_latencies[m_latencies.size() * 99 / 100];
    return m_result;
  }

 private:
  struct Request {
    TimePoint started{};
    std::size_t entry = 0;
    bool done = false;
    std::size_t attempts = 0;
  };
  using RequestPointer = std::shared_ptr<Request>;

  static constexpr Duration kOneWayDelay = milliseconds(1);
  static constexpr std::size_t kMaxAttempts = 2;

  void Configure() {
    ServiceConfig service;
    service.name = "s";
    service.limits = {m_options.slots, 190};
    service.shards.emplace_back();
    for (std::size_t i = m_first_used; i < m_options.replicas; ++i) {
      service.shards[0].replicas.push_back({{std::to_string(i)}, "a", false});
    }
    ClusterConfig config;
    config.services = {service};
    for (const auto& gate : m_gates) gate->ApplyConfig(config);
  }

  void ConfigureLoadReport(std::size_t replica) {
    switch (m_options.fault) {
      case LoadFault::kReportsLag:
        m_replicas[replica]->SetLoadReport([this, replica](std::uint32_t load) {
          return DelayedReport(replica, load);
        });
        break;
      case LoadFault::kReportsStuck:
        m_replicas[replica]->SetLoadReport(
            [replica](std::uint32_t /*load*/) { return replica == 0 ? 0 : 9; });
        break;
      case LoadFault::kReportsInverted:
        m_replicas[replica]->SetLoadReport(
            [](std::uint32_t load) { return load > 20 ? 0 : 20 - load; });
        break;
      case LoadFault::kSlowAndReportsIdle:
        if (replica == 0) {
          m_replicas[0]->SetLoadReport([](std::uint32_t) { return 0; });
        }
        break;
      default:
        break;
    }
  }

  std::uint32_t DelayedReport(std::size_t replica, std::uint32_t load) {
    m_report_history.resize(m_options.replicas);
    auto& history = m_report_history[replica];
    const TimePoint now = m_scheduler.Now();
    history.emplace_back(now, load);
    while (history.size() > 1 && history[1].first <= now - seconds(10)) {
      history.pop_front();
    }
    return history.front().second;
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(m_requests_per_second);
    const Duration wait(static_cast<std::int64_t>(gap(m_random) * 1e6));
    m_scheduler.Schedule(wait, [this] {
      auto request = std::make_shared<Request>();
      request->started = m_scheduler.Now();
      request->entry = m_random() % m_options.entries;
      ++m_result.requests;
      Attempt(request, {});
      m_scheduler.Schedule(m_options.deadline, [this, request] {
        if (request->done) return;
        ++m_result.late;
        End(request);
      });
      ScheduleArrival();
    });
  }

  void End(const RequestPointer& request) {
    request->done = true;
    const Duration latency = m_scheduler.Now() - request->started;
    m_latencies.push_back(latency);
  }

  void Refuse(const RequestPointer& request) {
    if (request->done) return;
    ++m_result.refused;
    request->done = true;
    m_latencies.push_back(m_options.deadline);
  }

  void Attempt(const RequestPointer& request,
               const std::vector<Address>& avoid) {
    ++request->attempts;
    if (m_options.choice != ChoiceKind::kGate) {
      Send(request, ChooseBaseline(request->entry), 0);
      return;
    }
    AttemptSpec spec;
    spec.service = "s";
    spec.deadline = request->started + m_options.deadline;
    spec.avoid = avoid;
    if (!avoid.empty()) spec.purpose = AttemptPurpose::kRetry;
    UpstreamGate* gate = m_gates[request->entry].get();
    const GateTicket ticket = gate->NewTicket();
    gate->Request(spec, ticket, [=, this](const Result<ReplicaChoice>& choice) {
      if (!choice) {
        Refuse(request);
        return;
      }
      Send(request, std::stoul(choice->replica.host_port), ticket);
    });
  }

  std::size_t ChooseBaseline(std::size_t entry) {
    const std::size_t count = m_options.replicas - m_first_used;
    const std::size_t turn = m_next_indexes[entry]++ % count;
    if (m_options.choice == ChoiceKind::kRoundRobin) return m_first_used + turn;
    const auto begin = m_reported.begin() +
                       static_cast<std::ptrdiff_t>(entry * m_options.replicas);
    // Starts at a rotating index, so that replicas with equal reports are used
    // in turn.
    std::size_t best = m_first_used + turn;
    for (std::size_t i = 1; i < count; ++i) {
      const std::size_t index = m_first_used + (turn + i) % count;
      if (begin[static_cast<std::ptrdiff_t>(index)] <
          begin[static_cast<std::ptrdiff_t>(best)]) {
        best = index;
      }
    }
    return best;
  }

  void Send(const RequestPointer& request, std::size_t replica,
            GateTicket ticket) {
    ++m_result.attempts;
    const TimePoint sent = m_scheduler.Now();
    const auto on_outcome = [=, this](const SubOutcome& outcome) {
      m_scheduler.Schedule(kOneWayDelay, [=, this] {
        OnOutcome(request, replica, ticket, sent, outcome);
      });
    };
    m_scheduler.Schedule(kOneWayDelay, [=, this] {
      const auto job = m_replicas[replica]->Submit(on_outcome);
      // The upstream observes the deadline that it receives with the request.
      const Duration left = request->started + m_options.deadline -
                            m_scheduler.Now() + kOneWayDelay;
      m_scheduler.Schedule(left, [=, this] {
        if (!m_replicas[replica]->Cancel(job)) return;
        SubOutcome timed_out;
        timed_out.kind = SubOutcomeKind::kTimedOut;
        OnOutcome(request, replica, ticket, sent, timed_out);
      });
    });
  }

  void OnOutcome(const RequestPointer& request, std::size_t replica,
                 GateTicket ticket, TimePoint sent, const SubOutcome& outcome) {
    if (ticket != 0) {
      m_gates[request->entry]->Finish(ticket, outcome,
                                      m_scheduler.Now() - sent);
    }
    if (outcome.report.load) {
      m_reported[request->entry * m_options.replicas + replica] =
          *outcome.report.load;
    }
    if (request->done) return;
    if (outcome.kind == SubOutcomeKind::kAnswered) {
      ++m_result.answered_in_time;
      End(request);
    } else if (outcome.kind == SubOutcomeKind::kNotStarted) {
      if (request->attempts < kMaxAttempts) {
        Attempt(request, {{std::to_string(replica)}});
      } else {
        Refuse(request);
      }
    }
  }

  LoadModelOptions m_options;
  std::mt19937_64 m_random;
  FakeScheduler m_scheduler;
  std::vector<std::unique_ptr<QueuedUpstream>> m_replicas;
  std::vector<std::unique_ptr<UpstreamGate>> m_gates;
  std::vector<std::uint32_t> m_reported;
  std::vector<std::size_t> m_next_indexes;
  std::vector<std::deque<std::pair<TimePoint, std::uint32_t>>> m_report_history;
  std::size_t m_first_used = 0;
  double m_requests_per_second = 0.0;
  std::vector<Duration> m_latencies;
  LoadModelResult m_result;
};

}  // namespace chicoryvale::upstream_test

#endif  // CHICORYVALE_TESTS_UPSTREAM_LOAD_MODEL_H_
