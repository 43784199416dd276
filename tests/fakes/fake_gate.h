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

/// Gate that takes each shard's replicas in turn, leaving out those to avoid
/// while there are others, and can bound the attempts in flight at each.
class FakeGate : public ReplicaGate {
 public:
  void SetConfig(const ClusterConfig& config) { m_config = config; }

  /// Bounds the attempts in flight at each replica; further ones wait.
  void SetSlots(std::size_t slots) { m_slots = slots; }

  /// Refuses every request with `kind`, or none.
  void SetRefusal(std::optional<ErrorKind> kind) { m_refusal = kind; }

  /// Time after which choices say that a silent attempt is worth another.
  void SetProgressBound(Duration bound) { m_progress_bound = bound; }

  /// Keeps every request waiting until Release.
  void Hold() { m_hold = true; }
  void Release() {
    m_hold = false;
    Serve();
  }

  /// Attempts that wait or whose end is still owed.
  [[nodiscard]] std::size_t Outstanding() const {
    return m_waiting.size() + m_placed.size();
  }

 protected:
  void OnRequest(const AttemptSpec& spec, GateTicket ticket,
                 Callback callback) override {
    if (m_refusal) {
      callback(MakeError(*m_refusal, "refused by the test"));
      return;
    }
    m_waiting.push_back(Waiting{spec, ticket, std::move(callback)});
    Serve();
  }

  void OnFinish(GateTicket ticket, const SubOutcome& /*outcome*/,
                Duration /*elapsed*/) override {
    Free(ticket);
  }

  void OnAbandon(GateTicket ticket, Duration /*elapsed*/) override {
    std::erase_if(m_waiting,
                  [&](const Waiting& w) { return w.ticket == ticket; });
    Free(ticket);
  }

 private:
  struct Waiting {
    AttemptSpec spec;
    GateTicket ticket;
    Callback callback;
  };

  void Free(GateTicket ticket) {
    const auto placed = m_placed.find(ticket);
    if (placed == m_placed.end()) return;
    --m_load[placed->second];
    m_placed.erase(placed);
    Serve();
  }

  std::optional<Address> Choose(const AttemptSpec& spec) {
    const ServiceConfig* service = FindService(m_config, spec.service);
    const auto& replicas = service->shards.at(spec.shard).replicas;
    std::optional<Address> fallback;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      const auto& address = replicas[(m_turn + i) % replicas.size()].address;
      if (m_slots != 0 && m_load[address] >= m_slots) continue;
      fallback = address;
      if (std::ranges::find(spec.avoid, address) != spec.avoid.end()) continue;
      ++m_turn;
      return address;
    }
    return fallback;
  }

  void Serve() {
    for (std::size_t i = 0; !m_hold && i < m_waiting.size();) {
      const auto replica = Choose(m_waiting[i].spec);
      if (!replica) {
        ++i;
        continue;
      }
      const Waiting next = std::move(m_waiting[i]);
      m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(i));
      ++m_load[*replica];
      m_placed.emplace(next.ticket, *replica);
      next.callback(ReplicaChoice{*replica, false, m_progress_bound});
    }
  }

  ClusterConfig m_config;
  std::size_t m_slots = 0;
  std::size_t m_turn = 0;
  Duration m_progress_bound{};
  bool m_hold = false;
  std::optional<ErrorKind> m_refusal;
  std::deque<Waiting> m_waiting;
  std::map<GateTicket, Address> m_placed;
  std::map<Address, std::size_t> m_load;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_GATE_H_
