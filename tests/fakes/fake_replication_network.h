#ifndef CHICORYVALE_TESTS_FAKES_FAKE_REPLICATION_NETWORK_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_REPLICATION_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "ports/scheduler.h"
#include "replication/replication_transport.h"

namespace chicoryvale {

/// Delivers messages between FakeReplicationTransports on virtual time.
/// Messages can be lost, duplicated, delayed at random and therefore reordered,
/// and links can be cut in one direction.
class FakeReplicationNetwork {
 public:
  using Observer = std::function<void(const std::string& bytes)>;

  FakeReplicationNetwork(Scheduler* scheduler, std::uint64_t seed)
      : m_scheduler(scheduler), m_random(seed) {}

  /// Percentage of messages that are lost, duplicated, or given a long delay.
  std::uint64_t loss_percent = 0;
  std::uint64_t duplicate_percent = 0;
  std::uint64_t slow_percent = 0;

  /// Cuts the link from `from` to `to`, in this direction only.
  void Cut(const Address& from, const Address& to) {
    m_cut.emplace(from.host_port, to.host_port);
  }
  void Heal(const Address& from, const Address& to) {
    m_cut.erase({from.host_port, to.host_port});
  }
  void HealAll() { m_cut.clear(); }

  /// Sets a function that is called with each message sent, including those
  /// that are lost.
  void SetObserver(Observer observer) { m_observer = std::move(observer); }

  /// Number of messages sent and their total bytes.
  [[nodiscard]] std::uint64_t Messages() const { return m_messages; }
  [[nodiscard]] std::uint64_t Bytes() const { return m_bytes; }

  void SetReceiver(const Address& at, ReplicationTransport::Receiver receiver) {
    m_receivers[at.host_port] = std::move(receiver);
  }

  void Send(const Address& from, const Address& to, const std::string& bytes) {
    ++m_messages;
    m_bytes += bytes.size();
    if (m_observer) m_observer(bytes);
    if (m_cut.contains({from.host_port, to.host_port})) return;
    const std::uint64_t copies = RandomChance(duplicate_percent) ? 2 : 1;
    for (std::uint64_t copy = 0; copy < copies; ++copy) {
      if (RandomChance(loss_percent)) continue;
      m_scheduler->Schedule(RandomDelay(), [this, to, bytes] {
        const auto found = m_receivers.find(to.host_port);
        if (found != m_receivers.end() && found->second) found->second(bytes);
      });
    }
  }

 private:
  bool RandomChance(std::uint64_t percent) {
    return m_random() % 100 < percent;
  }

  Duration RandomDelay() {
    constexpr std::uint64_t kUsualUs = 2000;
    constexpr std::uint64_t kSlowUs = 3000000;
    const std::uint64_t bound = RandomChance(slow_percent) ? kSlowUs : kUsualUs;
    return Duration(500 + m_random() % bound);
  }

  Scheduler* m_scheduler;
  std::mt19937_64 m_random;
  std::set<std::pair<std::string, std::string>> m_cut;
  std::map<std::string, ReplicationTransport::Receiver> m_receivers;
  Observer m_observer;
  std::uint64_t m_messages = 0;
  std::uint64_t m_bytes = 0;
};

/// ReplicationTransport of one replica on a FakeReplicationNetwork.
class FakeReplicationTransport : public ReplicationTransport {
 public:
  FakeReplicationTransport(FakeReplicationNetwork* network, Address self)
      : m_network(network), m_self(std::move(self)) {}

 protected:
  void OnSend(const Address& to, std::string bytes) override {
    m_network->Send(m_self, to, bytes);
  }
  void OnSetReceiver(Receiver receiver) override {
    m_network->SetReceiver(m_self, std::move(receiver));
  }

 private:
  FakeReplicationNetwork* m_network;
  Address m_self;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_REPLICATION_NETWORK_H_
