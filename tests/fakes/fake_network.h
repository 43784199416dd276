#ifndef CHICORYVALE_TESTS_FAKES_FAKE_NETWORK_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_NETWORK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "fakes/fake_scheduler.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Whether the process on a fake node runs.
enum class NodeState : std::uint8_t { kRunning, kFrozen, kCrashed };

/// Datagrams and calls between nodes on virtual time, with seeded loss and
/// delay, cut links, and nodes that freeze or crash.
class FakeNetwork {
 public:
  FakeNetwork(FakeScheduler* scheduler, std::uint64_t seed)
      : m_scheduler(scheduler), m_random(seed) {}

  /// Share of datagrams that are lost.
  double loss = 0;
  Duration delay = milliseconds(1);
  std::uint64_t datagrams = 0;
  std::uint64_t datagram_bytes = 0;
  std::uint64_t calls = 0;
  std::uint64_t call_bytes = 0;
  /// Called for each datagram that is sent, if set.
  std::function<void(const Address& from, const Address& to, std::size_t bytes)>
      on_datagram;

  /// Cuts or restores the link from `from` to `to`, one way.
  void SetCut(const Address& from, const Address& to, bool cut) {
    if (cut) {
      m_cut.insert({from, to});
    } else {
      m_cut.erase({from, to});
    }
  }

  void SetState(const Address& node, NodeState state) {
    m_states[node] = state;
    if (state == NodeState::kCrashed) m_held.erase(node);
    if (state != NodeState::kRunning) return;
    for (auto& work : std::exchange(m_held[node], {})) work();
  }

  /// Runs `work` of `node` now, when it wakes, or never.
  void RunOn(const Address& node, std::function<void()> work) {
    const NodeState state = m_states[node];
    if (state == NodeState::kRunning) return work();
    if (state == NodeState::kFrozen) m_held[node].push_back(std::move(work));
  }

  /// Runs `work` on `to` after the delay of the link, unless it is cut.
  void Carry(const Address& from, const Address& to,
             std::function<void()> work) {
    if (m_cut.contains({from, to})) return;
    const Duration jitter(static_cast<Duration::rep>(
        std::uniform_real_distribution<double>(0, 1)(m_random) *
        static_cast<double>(delay.count())));
    m_scheduler->Schedule(delay + jitter, [this, to, work = std::move(work)] {
      RunOn(to, work);
    });
  }

  bool LoseDatagram() {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < loss;
  }

  std::map<Address, DatagramTransport::Receiver> receivers;
  std::map<std::pair<Address, PeerChannel>, PeerTransport::Handler> handlers;

  FakeScheduler* scheduler() { return m_scheduler; }

 private:
  FakeScheduler* m_scheduler;
  std::mt19937_64 m_random;
  std::set<std::pair<Address, Address>> m_cut;
  std::map<Address, NodeState> m_states;
  std::map<Address, std::deque<std::function<void()>>> m_held;
};

/// Scheduler of one node: its callbacks wait while the node is frozen.
class FakeNodeScheduler : public Scheduler {
 public:
  FakeNodeScheduler(FakeNetwork* network, Address node)
      : m_network(network), m_node(std::move(node)) {}
  ~FakeNodeScheduler() override {
    for (const auto& [id, timer] : m_timers) {
      m_network->scheduler()->Cancel(timer);
    }
  }
  FakeNodeScheduler(const FakeNodeScheduler&) = delete;
  FakeNodeScheduler& operator=(const FakeNodeScheduler&) = delete;

 protected:
  [[nodiscard]] TimePoint OnNow() const override {
    return m_network->scheduler()->Now();
  }
  TimerId OnSchedule(Duration delay, std::function<void()> callback) override {
    const TimerId id = ++m_last_id;
    const std::weak_ptr<int> alive = m_alive;
    auto fire = [this, id, alive, callback = std::move(callback)] {
      if (alive.expired() || m_timers.erase(id) == 0) return;
      callback();
    };
    m_timers[id] = m_network->scheduler()->Schedule(
        delay,
        [this, fire = std::move(fire)] { m_network->RunOn(m_node, fire); });
    return id;
  }
  void OnCancel(TimerId id) override {
    const auto found = m_timers.find(id);
    if (found == m_timers.end()) return;
    m_network->scheduler()->Cancel(found->second);
    m_timers.erase(found);
  }

 private:
  FakeNetwork* m_network;
  Address m_node;
  TimerId m_last_id = 0;
  std::map<TimerId, TimerId> m_timers;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// DatagramTransport of one node.
class FakeDatagramTransport : public DatagramTransport {
 public:
  FakeDatagramTransport(FakeNetwork* network, Address node)
      : m_network(network), m_node(std::move(node)) {}

 protected:
  void OnSend(const Address& to, std::string payload) override {
    ++m_network->datagrams;
    m_network->datagram_bytes += payload.size();
    if (m_network->on_datagram) {
      m_network->on_datagram(m_node, to, payload.size());
    }
    if (m_network->LoseDatagram()) return;
    m_network->Carry(
        m_node, to,
        [network = m_network, from = m_node, to, payload = std::move(payload)] {
          const auto found = network->receivers.find(to);
          if (found == network->receivers.end()) return;
          found->second(from, payload);
        });
  }
  void OnSetReceiver(Receiver receiver) override {
    m_network->receivers[m_node] = std::move(receiver);
  }

 private:
  FakeNetwork* m_network;
  Address m_node;
};

/// PeerTransport of one node: calls are never lost but by cuts and crashes.
class FakePeerTransport : public PeerTransport {
 public:
  FakePeerTransport(FakeNetwork* network, Address node, Scheduler* scheduler)
      : m_network(network), m_node(std::move(node)), m_scheduler(scheduler) {}

 protected:
  void OnCall(const Address& to, PeerChannel channel, std::string request,
              Duration timeout, Callback callback) override {
    ++m_network->calls;
    m_network->call_bytes += request.size();
    auto open = std::make_shared<Callback>(std::move(callback));
    const TimerId timer = m_scheduler->Schedule(timeout, [open] {
      const Callback call = std::exchange(*open, nullptr);
      call(MakeError(ErrorKind::kDeadlineExceeded, "no answer in time"));
    });
    // An answer to an earlier process of this node finds nobody.
    const std::weak_ptr<int> alive = m_alive;
    Responder respond = [network = m_network, from = m_node, to, open, timer,
                         alive,
                         scheduler = m_scheduler](const std::string& answer) {
      network->call_bytes += answer.size();
      network->Carry(to, from, [open, timer, scheduler, alive, answer] {
        if (alive.expired() || !*open) return;
        scheduler->Cancel(timer);
        const Callback call = std::exchange(*open, nullptr);
        call(answer);
      });
    };
    m_network->Carry(
        m_node, to,
        [network = m_network, from = m_node, to, channel,
         request = std::move(request), respond = std::move(respond)] {
          const auto found = network->handlers.find({to, channel});
          if (found == network->handlers.end()) return;
          found->second(from, request, respond);
        });
  }
  void OnSetHandler(PeerChannel channel, Handler handler) override {
    m_network->handlers[{m_node, channel}] = std::move(handler);
  }

 private:
  FakeNetwork* m_network;
  Address m_node;
  Scheduler* m_scheduler;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_NETWORK_H_
