#ifndef CHICORYVALE_TESTS_PLACEMENT_ZONE_MODEL_H_
#define CHICORYVALE_TESTS_PLACEMENT_ZONE_MODEL_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "routing/replica_pool.h"

namespace chicoryvale {

/// A zone of the model: its callers, and its replicas of the one service.
struct ModelZone {
  double requests_per_s = 0;
  std::size_t replicas = 4;
  /// Factor of the service time.
  double slowness = 1;
};

/// What the callers of a zone got, and where their requests were sent.
struct ZoneOutcome {
  std::uint32_t sent = 0;
  std::uint32_t sent_elsewhere = 0;
  std::uint32_t answered = 0;
  /// Answered within the target latency.
  std::uint32_t in_time = 0;
  [[nodiscard]] double ShareElsewhere() const {
    return sent == 0 ? 0 : static_cast<double>(sent_elsewhere) / sent;
  }
  [[nodiscard]] double InTime() const {
    return sent == 0 ? 0 : static_cast<double>(in_time) / sent;
  }
};

/// Entries that choose alone, each with a ReplicaPool of its own, and replicas
/// with slots, queues and service times, on virtual time. A request that finds
/// a queue full is refused and counts as not in time.
class ZoneModel {
 public:
  static constexpr std::size_t kEntriesPerZone = 4;
  static constexpr std::uint32_t kSlots = 2;
  static constexpr std::size_t kMaxWaiting = 32;
  static constexpr Duration kMeanWork = milliseconds(20);
  static constexpr Duration kTarget = milliseconds(100);
  /// Round trips within a zone and between zones.
  static constexpr Duration kNear = milliseconds(1);
  static constexpr Duration kFar = milliseconds(6);
  /// Requests a second that use all slots of a zone with 4 replicas.
  static constexpr double kCapacity = 400;

  ZoneModel(std::vector<ModelZone> zones, bool enabled, std::uint64_t seed)
      : m_random(seed), m_zones(std::move(zones)), m_outcomes(m_zones.size()) {
    for (std::size_t i = 0; i < m_zones.size() * kEntriesPerZone; ++i) {
      m_entries.push_back(std::make_unique<ReplicaPool>(
          ZoneName(i / kEntriesPerZone), seed * 100 + i));
      m_entries.back()->SetZoneOverflow(
          {.enabled = enabled, .cross_zone_price = milliseconds(5)});
    }
    ListReplicas();
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone) Arrive(zone);
  }

  static std::string ZoneName(std::size_t zone) {
    return std::string(1, static_cast<char>('a' + zone));
  }

  /// Changes a zone; its load changes from the next request on.
  void SetZone(std::size_t zone, const ModelZone& value) {
    m_zones[zone] = value;
    ListReplicas();
  }

  void SetEvacuated(const std::vector<std::string>& zones) {
    for (const auto& entry : m_entries) entry->SetEvacuatedZones(zones, m_now);
  }

  /// Stops the reports of load from `zone`.
  void HideLoad(std::size_t zone) { m_hidden_zone = static_cast<int>(zone); }

  /// Runs for `time` and returns what was sent meanwhile, by zone of the
  /// callers. Requests that are not answered by its end count as late.
  std::vector<ZoneOutcome> RunFor(Duration time) {
    m_outcomes.assign(m_zones.size(), {});
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      const auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    m_now = end;
    return m_outcomes;
  }

  [[nodiscard]] const ReplicaPool& Entry(std::size_t i) const {
    return *m_entries[i];
  }

 private:
  struct Job {
    std::size_t zone = 0;
    std::size_t entry = 0;
    std::string replica;
    std::uint64_t send = 0;
    TimePoint sent_at{};
    Duration round_trip{};
  };
  struct Replica {
    std::uint32_t running = 0;
    std::deque<Job> waiting;
  };

  void After(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  static Duration Seconds(double s) {
    return Duration(static_cast<Duration::rep>(s * std::micro::den));
  }

  void ListReplicas() {
    std::vector<ListedReplica> replicas;
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone) {
      for (std::size_t i = 0; i < m_zones[zone].replicas; ++i) {
        ListedReplica replica;
        replica.id = ZoneName(zone) + std::to_string(i);
        replica.service = "s";
        replica.address = {replica.id};
        replica.availability_zone = ZoneName(zone);
        replica.slots = kSlots;
        replicas.push_back(replica);
      }
    }
    for (const auto& entry : m_entries) entry->SetReplicas(replicas, m_now);
  }

  void Arrive(std::size_t zone) {
    std::exponential_distribution<double> gap_s(m_zones[zone].requests_per_s);
    After(Seconds(gap_s(m_random)), [this, zone] {
      Request(zone);
      Arrive(zone);
    });
  }

  void Request(std::size_t zone) {
    const std::size_t entry =
        zone * kEntriesPerZone + m_random() % kEntriesPerZone;
    ReplicaPool& pool = *m_entries[entry];
    ++m_outcomes[zone].sent;
    const auto choice = pool.Choose("s", {}, m_now, pool.DrawPlacement());
    if (!choice) return;
    const bool is_near = choice->availability_zone == ZoneName(zone);
    if (!is_near) ++m_outcomes[zone].sent_elsewhere;
    Job job{zone,       entry,
            choice->id, pool.BeginSend(choice->id, m_now),
            m_now,      is_near ? kNear : kFar};
    After(job.round_trip / 2, [this, job] { Reach(job); });
  }

  void Reach(const Job& job) {
    Replica& replica = m_replicas[job.replica];
    if (replica.running < kSlots) return Run(job);
    if (replica.waiting.size() >= kMaxWaiting) return Reply(job, false);
    replica.waiting.push_back(job);
  }

  void Run(const Job& job) {
    ++m_replicas[job.replica].running;
    const auto zone = static_cast<std::size_t>(job.replica.front() - 'a');
    constexpr double kShape = 8;
    std::gamma_distribution<double> variation(kShape, 1 / kShape);
    const double work_s =
        ToSeconds(kMeanWork) * m_zones[zone].slowness * variation(m_random);
    After(Seconds(work_s), [this, job] {
      Replica& replica = m_replicas[job.replica];
      --replica.running;
      Reply(job, true);
      if (replica.waiting.empty()) return;
      const Job next = replica.waiting.front();
      replica.waiting.pop_front();
      Run(next);
    });
  }

  void Reply(const Job& job, bool is_done) {
    const Replica& replica = m_replicas[job.replica];
    ReplicaAnswer answer;
    answer.end = is_done ? SendEnd::kAnswered : SendEnd::kNotRun;
    answer.status = is_done ? 200 : 503;
    answer.signature = "mac";
    if (job.replica.front() - 'a' != m_hidden_zone) {
      answer.load = ReplicaLoad{
          replica.running, static_cast<std::uint32_t>(replica.waiting.size()),
          kSlots};
    }
    After(job.round_trip / 2, [this, job, answer] {
      m_entries[job.entry]->EndSend(job.replica, job.send, answer, m_now);
      if (!answer.IsSuccess()) return;
      ++m_outcomes[job.zone].answered;
      if (m_now - job.sent_at <= kTarget) ++m_outcomes[job.zone].in_time;
    });
  }

  std::mt19937_64 m_random;
  TimePoint m_now{seconds(1000)};
  std::vector<ModelZone> m_zones;
  std::vector<ZoneOutcome> m_outcomes;
  std::vector<std::unique_ptr<ReplicaPool>> m_entries;
  std::map<std::string, Replica> m_replicas;
  std::multimap<TimePoint, std::function<void()>> m_events;
  int m_hidden_zone = -1;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_PLACEMENT_ZONE_MODEL_H_
