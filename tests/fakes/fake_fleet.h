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

/// How the replicas of a FakeFleet behave.
struct FleetModel {
  std::uint32_t slots = 2;
  /// Service times are lognormal.
  Duration median = milliseconds(5);
  double sigma = 0.25;
  /// Part of the requests that take `straggler_factor` times the median.
  double stragglers = 0;
  double straggler_factor = 20;
  /// Part of the requests that are shed.
  double shed = 0;
  /// One way between entry and replica.
  Duration network = milliseconds(1);
};

/// A replica that is lost.
enum class FakeLoss : std::uint8_t { kNone, kRefuses, kSilent };

/// Replicas with slots and queues on virtual time, with a seed.
class FakeFleet : public UpstreamTransport {
 public:
  FakeFleet(Scheduler* scheduler, const FleetModel& model, std::uint64_t seed)
      : m_scheduler(scheduler), m_model(model), m_random(seed) {}

  FleetModel& Model() { return m_model; }

  /// Chooses which replicas are lost.
  void SetLoss(std::function<FakeLoss(const Address&)> loss) {
    m_loss = std::move(loss);
  }

  [[nodiscard]] std::uint64_t Sent() const { return m_sent; }

 protected:
  void OnSend(SubRequest request, Callback callback) override {
    ++m_sent;
    const FakeLoss loss = m_loss ? m_loss(request.replica) : FakeLoss::kNone;
    const SubRequestId id = request.id;
    const Duration timeout = request.timeout;
    Work work{std::move(request), std::move(callback), 0, false};
    if (loss == FakeLoss::kSilent) {
      EndAfter(timeout, SubOutcomeKind::kTimedOut, id, &work);
    } else if (loss == FakeLoss::kRefuses) {
      EndAfter(2 * m_model.network, SubOutcomeKind::kNotConnected, id, &work);
    } else if (Chance(m_model.shed)) {
      EndAfter(2 * m_model.network, SubOutcomeKind::kNotStarted, id, &work);
    } else {
      work.timer =
          m_scheduler->Schedule(m_model.network, [this, id] { Arrive(id); });
    }
    m_work.emplace(id, std::move(work));
  }

  void OnCancel(SubRequestId id) override {
    auto node = m_work.extract(id);
    if (node.empty()) return;
    m_scheduler->Cancel(node.mapped().timer);
    Replica& replica = m_replicas[node.mapped().request.replica.host_port];
    if (node.mapped().in_slot) {
      Free(&replica);
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

  bool Chance(double part) {
    return part > 0 && std::uniform_real_distribution<>()(m_random) < part;
  }

  Duration ServiceTime() {
    const auto median = static_cast<double>(m_model.median.count());
    const double micros = Chance(m_model.stragglers)
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

  void Arrive(SubRequestId id) {
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
        m_scheduler->Schedule(ServiceTime(), [this, id] { Serve(id); });
  }

  void Serve(SubRequestId id) {
    Work& work = m_work.at(id);
    work.in_slot = false;
    Free(&m_replicas[work.request.replica.host_port]);
    work.timer =
        m_scheduler->Schedule(m_model.network, [this, id] { Answer(id); });
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

  void Free(Replica* replica) {
    --replica->running;
    if (replica->queue.empty()) return;
    const SubRequestId next = replica->queue.front();
    replica->queue.pop_front();
    Begin(next, replica);
  }

  Scheduler* m_scheduler;
  FleetModel m_model;
  std::mt19937_64 m_random;
  std::function<FakeLoss(const Address&)> m_loss;
  std::unordered_map<SubRequestId, Work> m_work;
  std::unordered_map<std::string, Replica> m_replicas;
  std::uint64_t m_sent = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_FLEET_H_
