#ifndef CHICORYVALE_SRC_ROUTING_RELAY_CLIENT_H_
#define CHICORYVALE_SRC_ROUTING_RELAY_CLIENT_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "ports/member_view.h"
#include "ports/peer_transport.h"
#include "ports/relay.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Relay over peer calls. Questions of one affinity go to the same three
/// entries of a zone: to the one that answered sooner of two drawn among them
/// by lot. One that failed is spared, and so is another zone of which two
/// failed in a row. A zone whose relays bring too few parts, since its replicas
/// are overloaded, is mostly left to direct sends: there a part is tried for as
/// long as the caller waits. Not thread safe.
class RelayClient : public Relay {
 public:
  /// What the client works with; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    PeerTransport* peers = nullptr;
    MemberView* members = nullptr;
  };

  /// Reads the members and follows their changes.
  RelayClient(const Ports& ports, std::uint64_t seed);

 protected:
  [[nodiscard]] std::vector<std::string> OnZones(ZoneChoice choice) override;
  [[nodiscard]] bool OnHasNeighbor() const override;
  RelayId OnAsk(const std::string& zone, const RelayQuestion& question,
                Callback callback) override;
  void OnCancel(RelayId id) override;

 private:
  /// An entry that may be asked.
  struct Entry {
    Address address;
    /// Recency-weighted mean of how much later than asked it answers.
    double mean_delay_us = 0;
    std::uint32_t open = 0;
    TimePoint spared_until{};
  };

  /// The entries of a zone, and how well they do.
  struct Zone {
    std::vector<Entry> entries;
    /// Recency-weighted share of the parts that relays there did not bring.
    double missing_share = 0;
    /// Requests that passed the zone by since it was last asked.
    std::uint32_t passed_by = 0;
    /// Entries that failed since one last answered.
    std::uint32_t failed_in_row = 0;
  };

  struct Question {
    std::string zone;
    std::size_t parts = 0;
    Address to;
    TimePoint asked_at{};
    Callback callback;
  };

  void ReadMembers();
  Entry* Draw(const std::string& zone, std::uint64_t affinity);
  [[nodiscard]] bool HasUsable(const Zone& zone) const;
  [[nodiscard]] bool IsUsable(const Entry& entry) const;
  bool IsInDoubt(Zone* zone);
  void NoteMissing(const Question& question, std::size_t missing);
  void OnReply(RelayId id, const Result<std::string>& bytes);
  void SpareZone(Zone* zone);
  void NoteEnd(const Question& question, bool failed);

  Ports m_ports;
  std::mt19937_64 m_random;
  std::map<std::string, Zone> m_zones;
  RelayId m_last_id;
  std::unordered_map<RelayId, Question> m_open;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RELAY_CLIENT_H_
