#ifndef CHICORYVALE_TESTS_FAKES_FAKE_FLEET_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_FLEET_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include "ports/scheduler.h"
#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Performance of the replicas of a FakeFleet.
struct FleetModel {
  /// Requests that one replica serves concurrently.
  std::uint32_t slots = 2;
  /// Median and sigma of the lognormal distribution of service times.
  Duration median = milliseconds(5);
  double sigma = 0.25;
  /// Fraction of the requests that take `straggler_factor` times the median.
  double straggler_ratio = 0;
  double straggler_factor = 20;
  /// Fraction of the requests that a replica sheds.
  double shed_ratio = 0;
  /// Network delay from the entry to a replica, and equally back.
  Duration one_way_delay = milliseconds(1);
};

/// How an unavailable replica treats requests: it refuses connections or does
/// not answer.
enum class FakeOutage : std::uint8_t { kNone, kConnectionRefused, kSilent };

/// UpstreamTransport to simulated replicas on virtual time. Each replica has a
/// fixed number of slots and an unbounded queue. The seed determines service
/// times and shed requests.
class FakeFleet : public UpstreamTransport {
 public:
  FakeFleet(Scheduler* scheduler, const FleetModel& model, std::uint64_t seed)
      : m_scheduler(scheduler), m_model(model), m_random(seed) {}

  /// Returns the model; changes to it affect later requests.
  FleetModel& Model() { return m_model; }

  /// Sets the function that returns the outage of a replica; it is called for
  /// each sub-request.
  void SetOutage(std::function<FakeOutage(const Address&)> outage) {
    m_outage = std::move(outage);
  }

  /// Number of sub-requests sent.
  [[nodiscard]] std::uint64_t Sent() const { return m_sent; }

 protected:
  void OnSend(SubRequest request, Callback callback) override {
    ++m_sent;
    const FakeOutage outage =
        m_outage ? m_outage(request.replica) : FakeOutage::kNone;
    const SubRequestId id = request.id;
    const Duration timeout = request.timeout;
    Work work{std::move(request), std::move(callback), 0, false};
    if (outage == FakeOutage::kSilent) {
      EndAfter(timeout, SubOutcomeKind::kTimedOut, id, &work);
    } else if (outage == FakeOutage::kConnectionRefused) {
      EndAfter(2 * m_model.one_way_delay, SubOutcomeKind::kNotConnected, id,
               &work);
    } else if (RandomChance(m_model.shed_ratio)) {
      EndAfter(2 * m_model.one_way_delay, SubOutcomeKind::kNotStarted, id,
               &work);
    } else {
      work.timer = m_scheduler->Schedule(m_model.one_way_delay,
                                         [this, id] { OnArrival(id); });
    }
    m_work.emplace(id, std::move(work));
  }

  void OnCancel(SubRequestId id) override {
    auto node = m_work.extract(id);
    if (node.empty()) return;
    m_scheduler->Cancel(node.mapped().timer);
    Replica& replica = m_replicas[node.mapped().request.replica.host_port];
    if (node.mapped().in_slot) {
      ReleaseSlot(&replica);
    } else {
      std::erase(replica.queue, id);
    }
  }

 private:
  struct Work {
    SubRequest request;
    Callback callback;
    TimerId timer;
    bool in_slot;
  };
  struct Replica {
    std::uint32_t running = 0;
    std::deque<SubRequestId> queue;
  };

  bool RandomChance(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<>()(m_random) < probability;
  }

  Duration ServiceTime() {
    const auto median = static_cast<double>(m_model.median.count());
    const double micros = RandomChance(m_model.straggler_ratio)
                              ? median * m_model.straggler_factor
                              : std::lognormal_distribution<>(
                                    std::log(median), m_model.sigma)(m_random);
    return Duration(static_cast<Duration::rep>(micros));
  }

  void EndAfter(Duration delay, SubOutcomeKind kind, SubRequestId id,
                Work* work) {
    work->timer = m_scheduler->Schedule(delay, [this, kind, id] {
      auto node = m_work.extract(id);
      SubOutcome outcome;
      outcome.kind = kind;
      node.mapped().callback(std::move(outcome));
    });
  }

  void OnArrival(SubRequestId id) {
    Work& work = m_work.at(id);
    work.timer = 0;
    Replica& replica = m_replicas[work.request.replica.host_port];
    if (replica.running < m_model.slots) {
      Begin(id, &replica);
    } else {
      replica.queue.push_back(id);
    }
  }

  void Begin(SubRequestId id, Replica* replica) {
    ++replica->running;
    Work& work = m_work.at(id);
    work.in_slot = true;
    work.timer =
        m_scheduler->Schedule(ServiceTime(), [this, id] { FinishService(id); });
  }

  void FinishService(SubRequestId id) {
    Work& work = m_work.at(id);
    work.in_slot = false;
    ReleaseSlot(&m_replicas[work.request.replica.host_port]);
    work.timer = m_scheduler->Schedule(m_model.one_way_delay,
                                       [this, id] { Answer(id); });
  }

  void Answer(SubRequestId id) {
    auto node = m_work.extract(id);
    const SubRequest& request = node.mapped().request;
    SubOutcome outcome;
    outcome.kind = SubOutcomeKind::kAnswered;
    outcome.echoed_id = id;
    outcome.echoed_shard = request.shard;
    outcome.echoed_snapshot = request.snapshot;
    node.mapped().callback(std::move(outcome));
  }

  void ReleaseSlot(Replica* replica) {
    --replica->running;
    if (replica->queue.empty()) return;
    const SubRequestId next = replica->queue.front();
    replica->queue.pop_front();
    Begin(next, replica);
  }

  Scheduler* m_scheduler;
  FleetModel m_model;
  std::mt19937_64 m_random;
  std::function<FakeOutage(const Address&)> m_outage;
  std::unordered_map<SubRequestId, Work> m_work;
  std::unordered_map<std::string, Replica> m_replicas;
  std::uint64_t m_sent = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_FLEET_H_
