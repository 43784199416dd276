#ifndef CHICORYVALE_TESTS_ROUTING_LOAD_MODEL_H_
#define CHICORYVALE_TESTS_ROUTING_LOAD_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_scheduler.h"
#include "fakes/recording_log.h"
#include "routing/router.h"

namespace chicoryvale {

/// A kind of request of the load model: all shards, with the given work at each
/// of them.
struct LoadKind {
  std::string name;
  double per_second = 0;
  Duration mean_work{};
  Duration target_latency{};
  Duration timeout{};
  std::uint32_t priority = 1;
  double min_coverage = 0.9;
};

/// What callers of one kind got since the last reset.
struct LoadOutcome {
  std::uint32_t requests = 0;
  std::uint32_t in_time = 0;
  std::uint32_t late = 0;
  std::uint32_t failed = 0;
  [[nodiscard]] double InTimeRatio() const {
    return requests == 0 ? 0 : static_cast<double>(in_time) / requests;
  }
  [[nodiscard]] double ServedRatio() const {
    return requests == 0 ? 0 : static_cast<double>(in_time + late) / requests;
  }
  LoadOutcome& operator+=(const LoadOutcome& other) {
    requests += other.requests;
    in_time += other.in_time;
    late += other.late;
    failed += other.failed;
    return *this;
  }
};

/// Replicas on virtual time that all entries share. Each has a few slots and a
/// bounded queue, drops a request that is cancelled or whose deadline passes,
/// and refuses one that finds its queue full.
class ModelReplicas {
 public:
  static constexpr std::uint32_t kSlots = 2;
  static constexpr std::size_t kMaxWaiting = 12;
  /// One-way delay between an entry and a replica.
  static constexpr Duration kDelay = milliseconds(1);

  using Callback = ReplicaTransport::Callback;

  ModelReplicas(FakeScheduler* scheduler, std::uint64_t seed)
      : m_scheduler(scheduler), m_random(seed) {}

  /// Makes the replica `id` slower by `factor`.
  void SetSlowness(const std::string& id, double factor) {
    m_replicas[id].slowness = factor;
  }

  /// Sends a request with the given mean work.
  std::uint64_t Send(const std::string& id, Duration mean_work,
                     Duration time_left, Callback callback) {
    const std::uint64_t job = ++m_last_job;
    std::gamma_distribution<double> variation(kWorkShape, 1 / kWorkShape);
    m_jobs[job] = {id, ToSeconds(mean_work) * variation(m_random),
                   m_scheduler->Now() + time_left, std::move(callback), 0};
    m_scheduler->Schedule(kDelay, [this, job] { Arrive(job); });
    return job;
  }

  /// Cancels a request; its replica stops the work.
  void Cancel(std::uint64_t job) { Remove(job); }

 private:
  /// Shape of the gamma distribution of the work, for a variation of 0.35.
  static constexpr double kWorkShape = 8;

  struct Replica {
    double slowness = 1;
    std::uint32_t running = 0;
    std::deque<std::uint64_t> waiting;
  };

  struct Job {
    std::string replica;
    double work_s = 0;
    TimePoint deadline{};
    Callback callback;
    TimerId timer = 0;
    bool running = false;
  };

  void Arrive(std::uint64_t id) {
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end()) return;
    Replica& replica = m_replicas[job->second.replica];
    if (replica.running < kSlots) return Run(id);
    if (replica.waiting.size() >= kMaxWaiting) {
      return Answer(id, SendEnd::kNotRun, 0);
    }
    replica.waiting.push_back(id);
    job->second.timer =
        m_scheduler->Schedule(job->second.deadline - m_scheduler->Now(),
                              [this, id] { Answer(id, SendEnd::kNotRun, 0); });
  }

  void Run(std::uint64_t id) {
    Job& job = m_jobs.at(id);
    Replica& replica = m_replicas[job.replica];
    m_scheduler->Cancel(job.timer);
    ++replica.running;
    job.running = true;
    const Duration left = job.deadline - m_scheduler->Now();
    const auto work = Duration(static_cast<Duration::rep>(
        job.work_s * replica.slowness * std::micro::den));
    const bool in_time = work <= left;
    job.timer = m_scheduler->Schedule(
        std::max(std::min(work, left), Duration::zero()), [this, id, in_time] {
          Answer(id, SendEnd::kAnswered, in_time ? 200 : 504);
        });
  }

  void Answer(std::uint64_t id, SendEnd end, int status) {
    Job& job = m_jobs.at(id);
    ReplicaAnswer answer;
    answer.end = end;
    answer.status = status;
    if (status == 200) answer.signature = "mac-" + job.replica;
    const std::string replica_id = job.replica;
    Callback callback = std::move(job.callback);
    Remove(id);
    const Replica& replica = m_replicas[replica_id];
    answer.load =
        ReplicaLoad{replica.running,
                    static_cast<std::uint32_t>(replica.waiting.size()), kSlots};
    m_scheduler->Schedule(
        kDelay, [callback = std::move(callback), answer] { callback(answer); });
  }

  void Remove(std::uint64_t id) {
    const auto node = m_jobs.extract(id);
    if (node.empty()) return;
    const Job& job = node.mapped();
    m_scheduler->Cancel(job.timer);
    Replica& replica = m_replicas[job.replica];
    std::erase(replica.waiting, id);
    if (!job.running) return;
    --replica.running;
    if (replica.waiting.empty()) return;
    const std::uint64_t next = replica.waiting.front();
    replica.waiting.pop_front();
    Run(next);
  }

  FakeScheduler* m_scheduler;
  std::mt19937_64 m_random;
  std::uint64_t m_last_job = 0;
  std::map<std::uint64_t, Job> m_jobs;
  std::map<std::string, Replica> m_replicas;
};

/// ReplicaTransport of one entry to ModelReplicas. The target of a request is
/// "/" and the name of its kind.
class ModelTransport : public ReplicaTransport {
 public:
  ModelTransport(ModelReplicas* replicas, const std::vector<LoadKind>* kinds)
      : m_replicas(replicas), m_kinds(kinds) {}

 protected:
  SendId OnSend(const ReplicaSend& send, Callback callback) override {
    const auto kind =
        std::ranges::find_if(*m_kinds, [&send](const LoadKind& candidate) {
          return send.request->target == "/" + candidate.name + "/";
        });
    const SendId id = ++m_last_id;
    m_jobs[id] = m_replicas->Send(
        send.replica_id, kind->mean_work, send.time_left,
        [this, id, callback = std::move(callback)](ReplicaAnswer answer) {
          if (m_jobs.erase(id) != 0) callback(std::move(answer));
        });
    return id;
  }
  void OnCancel(SendId id) override {
    const auto job = m_jobs.extract(id);
    if (!job.empty()) m_replicas->Cancel(job.mapped());
  }

 private:
  ModelReplicas* m_replicas;
  const std::vector<LoadKind>* m_kinds;
  SendId m_last_id = 0;
  std::map<SendId, std::uint64_t> m_jobs;
};

/// Entries, replicas and callers on virtual time. Callers arrive at random
/// times at random entries. A caller whose request is not answered sends it
/// once more, to another entry, at once or after the time that it was told.
class LoadModel {
 public:
  static constexpr std::size_t kEntries = 12;
  static constexpr std::size_t kShards = 20;

  LoadModel(std::vector<LoadKind> kinds, std::uint64_t seed)
      : m_random(seed),
        m_kinds(std::move(kinds)),
        m_replicas(&m_scheduler, seed) {
    // Passes the first window of the retry budget.
    m_scheduler.RunFor(seconds(100));
    const auto config = MakeConfig();
    const std::vector<ListedReplica> listed = MakeReplicas();
    for (std::size_t i = 0; i < kEntries; ++i) {
      m_entries.push_back(std::make_unique<Entry>(this, seed * kEntries + i));
      m_entries.back()->pool.SetReplicas(listed, m_scheduler.Now());
      m_entries.back()->budget.SetEntryCount(kEntries);
      m_entries.back()->router.SetConfig(config);
    }
    for (std::size_t i = 0; i < m_kinds.size(); ++i) ScheduleArrival(i);
  }

  static std::string ReplicaId(std::size_t shard, std::size_t number) {
    return "s" + std::to_string(shard) + "-" + std::to_string(number);
  }

  ModelReplicas& Replicas() { return m_replicas; }

  /// Runs for `time` and returns what the callers got whose requests ended in
  /// it, by kind.
  std::vector<LoadOutcome> RunFor(Duration time) {
    m_outcomes.assign(m_kinds.size(), {});
    m_scheduler.RunFor(time);
    return m_outcomes;
  }

 private:
  struct Entry {
    Entry(LoadModel* model, std::uint64_t seed)
        : transport(&model->m_replicas, &model->m_kinds),
          pool("z", seed),
          sends(&model->m_scheduler, &transport, &pool, &model->m_log),
          budget({.ratio = 0.2, .window = seconds(10), .fixed_retries = 104},
                 {}),
          router({.scheduler = &model->m_scheduler,
                  .sends = &sends,
                  .pool = &pool,
                  .budget = &budget,
                  .log = &model->m_log,
                  .counters = &counters,
                  .latencies = nullptr,
                  .relay = nullptr},
                 seed) {}
    ModelTransport transport;
    ReplicaPool pool;
    SendTracker sends;
    RetryBudget budget;
    CounterSet<RoutingCounter> counters;
    Router router;
  };

  std::shared_ptr<RoutingConfig> MakeConfig() const {
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    for (const LoadKind& kind : m_kinds) {
      Route route;
      route.name = kind.name;
      route.host = "h";
      route.path_prefix = "/" + kind.name + "/";
      route.idempotent = true;
      route.timeout = kind.timeout;
      route.target_latency = kind.target_latency;
      route.priority = kind.priority;
      route.max_attempts = 2;
      route.scatter.rank_limit = 3;
      route.scatter.min_coverage = kind.min_coverage;
      for (std::size_t i = 0; i < kShards; ++i) {
        route.scatter.shards.push_back("s" + std::to_string(i));
      }
      config->routes.push_back(std::move(route));
    }
    return config;
  }

  static std::vector<ListedReplica> MakeReplicas() {
    std::vector<ListedReplica> replicas;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      for (std::size_t number = 0; number < 2; ++number) {
        ListedReplica replica;
        replica.id = ReplicaId(shard, number);
        replica.service = "s" + std::to_string(shard);
        replica.address = {replica.id};
        replica.availability_zone = "z";
        replica.slots = ModelReplicas::kSlots;
        replicas.push_back(replica);
      }
    }
    return replicas;
  }

  void ScheduleArrival(std::size_t kind) {
    std::exponential_distribution<double> gap_s(m_kinds[kind].per_second);
    const auto gap =
        Duration(static_cast<Duration::rep>(gap_s(m_random) * std::micro::den));
    m_scheduler.Schedule(gap, [this, kind] {
      ScheduleArrival(kind);
      Request(kind, m_scheduler.Now(), true);
    });
  }

  void Request(std::size_t kind, TimePoint first_sent_at, bool may_retry) {
    const LoadKind& load = m_kinds[kind];
    auto opaque = std::make_shared<OpaqueRequest>();
    opaque->target = "/" + load.name + "/";
    RoutedRequest request;
    request.request = opaque;
    request.host = "h";
    request.path = opaque->target;
    request.time_left = first_sent_at + load.timeout - m_scheduler.Now();
    std::uniform_int_distribution<std::size_t> entry(0, kEntries - 1);
    m_entries[entry(m_random)]->router.Handle(
        request,
        [this, kind, first_sent_at, may_retry](const RoutedAnswer& answer) {
          OnAnswer(kind, first_sent_at, may_retry, answer);
        });
  }

  void OnAnswer(std::size_t kind, TimePoint first_sent_at, bool may_retry,
                const RoutedAnswer& answer) {
    const LoadKind& load = m_kinds[kind];
    const Duration elapsed = m_scheduler.Now() - first_sent_at;
    const bool retries = answer.error && may_retry &&
                         elapsed + answer.retry_after < load.timeout;
    if (retries) {
      m_scheduler.Schedule(answer.retry_after, [this, kind, first_sent_at] {
        Request(kind, first_sent_at, false);
      });
      return;
    }
    LoadOutcome& outcome = m_outcomes[kind];
    ++outcome.requests;
    if (answer.error) {
      ++outcome.failed;
    } else if (elapsed <= load.target_latency) {
      ++outcome.in_time;
    } else {
      ++outcome.late;
    }
  }

  FakeScheduler m_scheduler;
  std::mt19937_64 m_random;
  std::vector<LoadKind> m_kinds;
  ModelReplicas m_replicas;
  RecordingLog m_log;
  std::vector<LoadOutcome> m_outcomes;
  std::vector<std::unique_ptr<Entry>> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_ROUTING_LOAD_MODEL_H_
