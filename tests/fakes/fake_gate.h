#ifndef CHICORYVALE_TESTS_FAKES_FAKE_GATE_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_GATE_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "config/cluster_config.h"
#include "ports/replica_gate.h"

namespace chicoryvale {

/// Gate that chooses replicas round robin, avoids those that the attempt asks
/// to avoid unless no other is available, and can limit the attempts in flight
/// per replica.
class FakeGate : public ReplicaGate {
 public:
  void SetConfig(const ClusterConfig& config) { m_config = config; }

  /// Limits the attempts in flight at each replica; further attempts wait. 0
  /// means no limit.
  void SetSlotsPerReplica(std::size_t slots) { m_slots = slots; }

  /// Makes the gate refuse every request with `kind`, or none if it is empty.
  void SetRefusal(std::optional<ErrorKind> kind) { m_refusal = kind; }

  /// Sets the progress bound of later choices: the time after which an attempt
  /// without progress justifies a further attempt.
  void SetProgressBound(Duration bound) { m_progress_bound = bound; }

  /// Keeps all waiting and later requests waiting until Release is called.
  void Hold() { m_hold = true; }
  void Release() {
    m_hold = false;
    ServeWaiting();
  }

  /// Returns the number of attempts that wait for a replica or that were
  /// neither finished nor abandoned.
  [[nodiscard]] std::size_t UnfinishedAttempts() const {
    return m_waiting.size() + m_replicas.size();
  }

 protected:
  void OnRequest(const AttemptSpec& spec, GateTicket ticket,
                 Callback callback) override {
    if (m_refusal) {
      callback(MakeError(*m_refusal, "refused by the test"));
      return;
    }
    m_waiting.push_back(Waiting{spec, ticket, std::move(callback)});
    ServeWaiting();
  }

  void OnFinish(GateTicket ticket, const SubOutcome& /*outcome*/,
                Duration /*elapsed*/) override {
    ReleaseSlot(ticket);
  }

  void OnAbandon(GateTicket ticket, Duration /*elapsed*/) override {
    std::erase_if(m_waiting,
                  [&](const Waiting& w) { return w.ticket == ticket; });
    ReleaseSlot(ticket);
  }

 private:
  struct Waiting {
    AttemptSpec spec;
    GateTicket ticket;
    Callback callback;
  };

  void ReleaseSlot(GateTicket ticket) {
    const auto found = m_replicas.find(ticket);
    if (found == m_replicas.end()) return;
    --m_in_flight[found->second];
    m_replicas.erase(found);
    ServeWaiting();
  }

  std::optional<Address> Choose(const AttemptSpec& spec) {
    const ServiceConfig* service = FindService(m_config, spec.service);
    const auto& replicas = service->shards.at(spec.shard).replicas;
    std::optional<Address> fallback;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      const auto& address =
          replicas[(m_next_index + i) % replicas.size()].address;
      if (m_slots != 0 && m_in_flight[address] >= m_slots) continue;
      fallback = address;
      if (std::ranges::find(spec.avoid, address) != spec.avoid.end()) continue;
      ++m_next_index;
      return address;
    }
    return fallback;
  }

  void ServeWaiting() {
    for (std::size_t i = 0; !m_hold && i < m_waiting.size();) {
      const auto replica = Choose(m_waiting[i].spec);
      if (!replica) {
        ++i;
        continue;
      }
      const Waiting next = std::move(m_waiting[i]);
      m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(i));
      ++m_in_flight[*replica];
      m_replicas.emplace(next.ticket, *replica);
      next.callback(ReplicaChoice{*replica, false, m_progress_bound});
    }
  }

  ClusterConfig m_config;
  /// Max attempts in flight at each replica; 0 means no limit.
  std::size_t m_slots = 0;
  std::size_t m_next_index = 0;
  Duration m_progress_bound{};
  bool m_hold = false;
  std::optional<ErrorKind> m_refusal;
  std::deque<Waiting> m_waiting;
  std::map<GateTicket, Address> m_replicas;
  std::map<Address, std::size_t> m_in_flight;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_GATE_H_
