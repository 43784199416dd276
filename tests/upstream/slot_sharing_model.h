#ifndef CHICORYVALE_TESTS_UPSTREAM_SLOT_SHARING_MODEL_H_
#define CHICORYVALE_TESTS_UPSTREAM_SLOT_SHARING_MODEL_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/rendezvous.h"
#include "fakes/fake_scheduler.h"
#include "fakes/queued_upstream.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale::upstream_test {

/// Who decides when a request is sent to a replica.
enum class SharingPolicy : std::uint8_t {
  /// Each entry decides independently with its UpstreamGate, using adaptive
  /// limits and the replicas' load reports; the replica queues.
  kAdaptive,
  /// As kAdaptive, without load reports.
  kAdaptiveNoReports,
  /// As kAdaptive, with one hedge at the other replica after kHedgeDelay.
  kAdaptiveHedged,
  /// Each entry decides independently from its own latencies and requests in
  /// flight, without limit.
  kUnlimited,
  /// Each replica has an owner entry, chosen by rendezvous hash, to which the
  /// other entries relay. The owner sees the whole queue and keeps one request
  /// more in flight than the replica has slots.
  kOwner,
  /// As kOwner, with one owner for both replicas of a shard.
  kSetOwner,
  /// The owner of a replica leases its slots to entries on demand.
  kLeased,
};

/// Result of a run.
struct SlotSharingResult {
  std::vector<double> latencies_ms;
  /// Number of requests that were refused or ended after the deadline.
  std::uint64_t late = 0;
  /// Number of attempts sent through gates.
  std::uint64_t sent = 0;
  /// Sum, number and maximum of the samples of a replica's queue length.
  double queue_sum = 0.0;
  std::uint64_t queue_samples = 0;
  std::size_t queue_max = 0;
  /// Sum and number of the samples of the ratio of slots that are idle while a
  /// request waits.
  double idle_slot_ratio_sum = 0.0;
  std::uint64_t samples = 0;
};

/// A request from a caller.
struct Job {
  TimePoint arrived{};
  std::size_t entry = 0;
};

/// One shard of two replicas, 16 entries, Poisson arrivals at random entries.
class SlotSharingModel {
 public:
  SlotSharingModel(SharingPolicy sharing, double utilisation,
                   std::uint64_t seed)
      : m_sharing(sharing), m_random(seed), m_arrivals(seed + 1) {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      QueuedUpstreamOptions options;
      options.slots = kSlots;
      options.queue_capacity = kReplicaQueue;
      options.median = kMedianServiceTime;
      options.seed = seed * 100 + i;
      m_replicas.push_back(
          std::make_unique<QueuedUpstream>(&m_scheduler, options));
    }
    m_owners.resize(kReplicas);
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const std::uint64_t key =
          sharing == SharingPolicy::kSetOwner ? seed : seed * kReplicas + i;
      for (std::size_t e = 0; e < kEntries; ++e) {
        const auto weight = [key](std::size_t entry) {
          return RendezvousWeight(std::to_string(entry), key);
        };
        if (weight(e) > weight(m_owners[i].entry)) m_owners[i].entry = e;
      }
    }
    m_entries.resize(kEntries * kReplicas);
    for (std::size_t e = 0; e < kEntries; ++e) MakeGate(e);
    // Mean service time: the median, times the mean of the lognormal spread,
    // times 1.19 for the 1% of requests that take 20 times as long.
    const double mean_s =
        ToSeconds(kMedianServiceTime) * std::exp(0.25 * 0.25 / 2) * 1.19;
    m_requests_per_second = utilisation * kReplicas * kSlots / mean_s;
  }

  SlotSharingResult Run() {
    ScheduleArrival();
    Sample();
    m_scheduler.RunFor(kRunDuration);
    return std::move(m_result);
  }

 private:
  static constexpr std::size_t kEntries = 16;
  static constexpr std::size_t kZones = 4;
  static constexpr std::size_t kReplicas = 2;
  static constexpr std::uint32_t kSlots = 2;
  static constexpr Duration kCrossZoneDelay = milliseconds(1);
  static constexpr Duration kInZoneDelay = microseconds(250);
  static constexpr Duration kMedianServiceTime = milliseconds(5);
  static constexpr Duration kDeadline = milliseconds(400);
  static constexpr Duration kRunDuration = seconds(120);
  static constexpr std::size_t kReplicaQueue = 64;
  static constexpr Duration kHedgeDelay = milliseconds(20);

  /// State of one replica as observed by an entry.
  struct EntryView {
    std::uint32_t in_flight = 0;
    double latency_us = 5000.0;
  };
  struct Owner {
    std::size_t entry = 0;
    std::uint32_t in_flight = 0;
    std::deque<Job> queue;
    /// Number of slots leased to entries, for kLeased.
    std::uint32_t leased = 0;
    std::deque<std::size_t> lease_requests;
  };

  static std::size_t ZoneOf(std::size_t entry) { return entry % kZones; }
  static std::size_t ReplicaZone(std::size_t replica) { return replica; }

  static Duration HopDelay(std::size_t from_zone, std::size_t to_zone) {
    return from_zone == to_zone ? kInZoneDelay : kCrossZoneDelay;
  }

  void ScheduleArrival() {
    std::exponential_distribution<double> gap(m_requests_per_second);
    const Duration wait(static_cast<std::int64_t>(gap(m_arrivals) * 1e6));
    m_scheduler.Schedule(wait, [this] {
      Start({m_scheduler.Now(), m_arrivals() % kEntries});
      ScheduleArrival();
    });
  }

  void Start(const Job& job) {
    switch (m_sharing) {
      case SharingPolicy::kAdaptive:
      case SharingPolicy::kAdaptiveNoReports:
      case SharingPolicy::kAdaptiveHedged:
        SendByGate(job);
        break;
      case SharingPolicy::kUnlimited:
        SendFromEntry(job);
        break;
      case SharingPolicy::kOwner:
      case SharingPolicy::kSetOwner:
        Relay(job);
        break;
      case SharingPolicy::kLeased:
        m_local_queues[job.entry].push_back(job);
        RequestSlot(job.entry);
        break;
    }
  }

  EntryView& View(std::size_t entry, std::size_t replica) {
    return m_entries[entry * kReplicas + replica];
  }

  double Cost(std::size_t entry, std::size_t replica) {
    const EntryView& view = View(entry, replica);
    return view.latency_us * (view.in_flight + 1.0);
  }

  void MakeGate(std::size_t entry) {
    ServiceConfig service;
    service.name = "s";
    service.shards.emplace_back();
    for (std::size_t r = 0; r < kReplicas; ++r) {
      service.shards[0].replicas.push_back(
          {{std::to_string(r)}, ZoneName(ReplicaZone(r)), false});
    }
    ClusterConfig config;
    config.services = {service};
    UpstreamGateOptions options;
    options.scheduler = &m_scheduler;
    options.seed = m_random();
    options.availability_zone = ZoneName(ZoneOf(entry));
    m_gates.push_back(UpstreamGate::Make(options));
    m_gates.back()->ApplyConfig(config);
  }

  static std::string ZoneName(std::size_t zone) {
    return "zone" + std::to_string(zone);
  }

  /// A request with an attempt at up to two replicas.
  struct HedgedRequest {
    Job job;
    bool done = false;
    GateTicket tickets[2] = {0, 0};
    TimePoint sent[2] = {};
    std::size_t replicas[2] = {0, 0};
    QueuedUpstream::JobId job_ids[2] = {0, 0};
  };

  void SendByGate(const Job& job) {
    auto request = std::make_shared<HedgedRequest>();
    request->job = job;
    Attempt(request, 0, {});
    if (m_sharing != SharingPolicy::kAdaptiveHedged) return;
    m_scheduler.Schedule(kHedgeDelay, [=, this] {
      if (request->done) return;
      Attempt(request, 1, {{std::to_string(request->replicas[0])}});
    });
  }

  void Attempt(const std::shared_ptr<HedgedRequest>& request, int index,
               const std::vector<Address>& avoid) {
    AttemptSpec spec;
    spec.service = "s";
    spec.deadline = request->job.arrived + kDeadline;
    spec.avoid = avoid;
    if (index == 1) spec.purpose = AttemptPurpose::kHedge;
    UpstreamGate* gate = m_gates[request->job.entry].get();
    const GateTicket ticket = gate->NewTicket();
    gate->Request(spec, ticket, [=, this](const Result<ReplicaChoice>& choice) {
      if (!choice) {
        if (index == 0) ++m_result.late;
        return;
      }
      ++m_result.sent;
      request->tickets[index] = ticket;
      request->replicas[index] = std::stoul(choice->replica.host_port);
      request->sent[index] = m_scheduler.Now();
      SendAttempt(request, index);
    });
  }

  void SendAttempt(const std::shared_ptr<HedgedRequest>& request, int index) {
    const std::size_t replica = request->replicas[index];
    const Duration hop =
        HopDelay(ZoneOf(request->job.entry), ReplicaZone(replica));
    m_scheduler.Schedule(hop, [=, this] {
      if (request->done) return;
      const auto on_end = [=, this](const SubOutcome& outcome) {
        m_scheduler.Schedule(hop, [=, this] {
          if (!request->done) EndRequest(request, index, outcome);
        });
      };
      request->job_ids[index] = m_replicas[replica]->Submit(on_end);
    });
  }

  void EndRequest(const std::shared_ptr<HedgedRequest>& request, int index,
                  const SubOutcome& reported) {
    request->done = true;
    UpstreamGate* gate = m_gates[request->job.entry].get();
    SubOutcome outcome = reported;
    if (m_sharing == SharingPolicy::kAdaptiveNoReports) outcome.report = {};
    const TimePoint now = m_scheduler.Now();
    gate->Finish(request->tickets[index], outcome, now - request->sent[index]);
    Finish(request->job);
    const int other = 1 - index;
    if (request->tickets[other] == 0) return;
    gate->Abandon(request->tickets[other], now - request->sent[other]);
    const std::size_t replica = request->replicas[other];
    m_scheduler.Schedule(kCrossZoneDelay, [=, this] {
      m_replicas[replica]->Cancel(request->job_ids[other]);
    });
  }

  void SendFromEntry(const Job& job) {
    std::size_t replica = 0;
    for (std::size_t r = 1; r < kReplicas; ++r) {
      if (Cost(job.entry, r) < Cost(job.entry, replica)) replica = r;
    }
    const Duration hop = HopDelay(ZoneOf(job.entry), ReplicaZone(replica));
    const TimePoint sent = m_scheduler.Now();
    ++View(job.entry, replica).in_flight;
    Submit(replica, hop, [=, this](const SubOutcome& /*outcome*/) {
      UpdateLatency(job.entry, replica, m_scheduler.Now() - sent);
      Finish(job);
    });
  }

  void UpdateLatency(std::size_t entry, std::size_t replica, Duration latency) {
    EntryView& view = View(entry, replica);
    --view.in_flight;
    const auto sample = static_cast<double>(latency.count());
    view.latency_us +=
        0.1 * (std::min(sample, 4 * view.latency_us) - view.latency_us);
  }

  /// Sends a request to a replica after the delay `hop`; calls `done` after the
  /// same delay on the way back.
  void Submit(std::size_t replica, Duration hop,
              const std::function<void(const SubOutcome&)>& done) {
    m_scheduler.Schedule(hop, [=, this] {
      m_replicas[replica]->Submit([=, this](const SubOutcome& outcome) {
        m_scheduler.Schedule(hop, [=] { done(outcome); });
      });
    });
  }

  /// Relays a request to the owner of the replica that the entry expects to be
  /// faster.
  void Relay(const Job& job) {
    std::size_t best = 0;
    for (std::size_t r = 1; r < kReplicas; ++r) {
      if (Cost(job.entry, r) < Cost(job.entry, best)) best = r;
    }
    const std::size_t owner_entry = m_owners[best].entry;
    const TimePoint sent = m_scheduler.Now();
    ++View(job.entry, best).in_flight;
    const Duration hop = owner_entry == job.entry
                             ? Duration::zero()
                             : HopDelay(ZoneOf(job.entry), ZoneOf(owner_entry));
    m_scheduler.Schedule(hop, [=, this] {
      // An owner of both replicas uses the one with the shorter queue.
      std::size_t replica = best;
      if (m_sharing == SharingPolicy::kSetOwner) {
        for (std::size_t r = 0; r < kReplicas; ++r) {
          if (Backlog(r) < Backlog(replica)) replica = r;
        }
      }
      m_owners[replica].queue.push_back(job);
      m_return_routes[job.arrived.time_since_epoch().count()] = {best, sent,
                                                                 hop};
      DrainOwner(replica);
    });
  }

  std::size_t Backlog(std::size_t replica) const {
    return m_owners[replica].queue.size() + m_owners[replica].in_flight;
  }

  void DrainOwner(std::size_t replica) {
    Owner& owner = m_owners[replica];
    // One request more than the slots keeps them busy during the hop to the
    // replica.
    while (!owner.queue.empty() && owner.in_flight < kSlots + 1) {
      const Job job = owner.queue.front();
      owner.queue.pop_front();
      if (m_scheduler.Now() - job.arrived > kDeadline) {
        Finish(job);
        continue;
      }
      ++owner.in_flight;
      const Duration hop = HopDelay(ZoneOf(owner.entry), ReplicaZone(replica));
      Submit(replica, hop, [=, this](const SubOutcome& /*outcome*/) {
        --m_owners[replica].in_flight;
        DrainOwner(replica);
        const auto key = job.arrived.time_since_epoch().count();
        const ReturnRoute route = m_return_routes[key];
        m_return_routes.erase(key);
        m_scheduler.Schedule(route.hop, [=, this] {
          UpdateLatency(job.entry, route.replica,
                        m_scheduler.Now() - route.sent);
          Finish(job);
        });
      });
    }
  }

  /// Asks the owner of a random replica for a lease of one of its slots.
  void RequestSlot(std::size_t entry) {
    const std::size_t replica = m_random() % kReplicas;
    const Duration hop =
        HopDelay(ZoneOf(entry), ZoneOf(m_owners[replica].entry));
    m_scheduler.Schedule(hop, [=, this] {
      m_owners[replica].lease_requests.push_back(entry);
      GrantSlots(replica);
    });
  }

  void GrantSlots(std::size_t replica) {
    Owner& owner = m_owners[replica];
    while (!owner.lease_requests.empty() && owner.leased < kSlots + 1) {
      const std::size_t entry = owner.lease_requests.front();
      owner.lease_requests.pop_front();
      ++owner.leased;
      const Duration hop = HopDelay(ZoneOf(owner.entry), ZoneOf(entry));
      m_scheduler.Schedule(hop, [=, this] { UseSlot(entry, replica); });
    }
  }

  /// Uses a leased slot for the waiting requests, one after another.
  void UseSlot(std::size_t entry, std::size_t replica) {
    std::deque<Job>& queue = m_local_queues[entry];
    if (queue.empty()) {
      const Duration hop =
          HopDelay(ZoneOf(entry), ZoneOf(m_owners[replica].entry));
      m_scheduler.Schedule(hop, [=, this] {
        --m_owners[replica].leased;
        GrantSlots(replica);
      });
      return;
    }
    const Job job = queue.front();
    queue.pop_front();
    Submit(replica, HopDelay(ZoneOf(entry), ReplicaZone(replica)),
           [=, this](const SubOutcome& /*outcome*/) {
             Finish(job);
             UseSlot(entry, replica);
           });
  }

  void Finish(const Job& job) {
    const Duration latency = m_scheduler.Now() - job.arrived;
    m_result.latencies_ms.push_back(ToSeconds(latency) * 1e3);
    if (latency > kDeadline) ++m_result.late;
  }

  /// Samples the queue lengths at the replicas and the ratio of slots that are
  /// idle while a request waits anywhere.
  void Sample() {
    std::size_t waiting = 0;
    std::size_t busy = 0;
    for (std::size_t r = 0; r < kReplicas; ++r) {
      const std::size_t queued = m_replicas[r]->Queued();
      m_result.queue_sum += static_cast<double>(queued);
      m_result.queue_max = std::max(m_result.queue_max, queued);
      ++m_result.queue_samples;
      busy += m_replicas[r]->Load() - queued;
      waiting += queued + m_owners[r].queue.size();
    }
    for (const auto& queue : m_local_queues) waiting += queue.size();
    const std::size_t idle = kReplicas * kSlots - busy;
    m_result.idle_slot_ratio_sum +=
        static_cast<double>(std::min(idle, waiting)) / (kReplicas * kSlots);
    ++m_result.samples;
    m_scheduler.Schedule(microseconds(970), [this] { Sample(); });
  }

  struct ReturnRoute {
    std::size_t replica = 0;
    TimePoint sent{};
    Duration hop{};
  };

  SharingPolicy m_sharing;
  std::mt19937_64 m_random;
  std::mt19937_64 m_arrivals;
  double m_requests_per_second = 0.0;
  FakeScheduler m_scheduler;
  std::vector<std::unique_ptr<QueuedUpstream>> m_replicas;
  std::vector<Owner> m_owners;
  std::vector<EntryView> m_entries;
  std::vector<std::unique_ptr<UpstreamGate>> m_gates;
  std::deque<Job> m_local_queues[kEntries];
  std::map<std::int64_t, ReturnRoute> m_return_routes;
  SlotSharingResult m_result;
};

}  // namespace chicoryvale::upstream_test

#endif  // CHICORYVALE_TESTS_UPSTREAM_SLOT_SHARING_MODEL_H_
