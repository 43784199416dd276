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

/// Relay over peer calls. Requests of one affinity go to the same three entries
/// of an availability zone: two of these are drawn at random, and the one that
/// has answered sooner is used. An entry that failed is avoided, and so are all
/// entries of another zone in which two consecutive requests failed, possibly
/// at the same entry. A zone whose relays return too few answers, because its
/// replicas are overloaded, mostly gets direct sends instead: those are retried
/// for as long as the caller waits. Not thread safe.
class RelayClient : public Relay {
 public:
  /// Ports that the client uses; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    PeerTransport* peers = nullptr;
    MemberView* members = nullptr;
  };

  /// Reads the members, and follows their changes.
  RelayClient(const Ports& ports, std::uint64_t seed);

 protected:
  [[nodiscard]] std::vector<std::string> OnZones(ZoneChoice choice) override;
  [[nodiscard]] bool OnHasNeighbor() const override;
  RelayId OnSend(const std::string& zone, const RelayRequest& relay_request,
                 Callback callback) override;
  void OnCancel(RelayId id) override;

 private:
  /// An entry that can be used as a relay.
  struct Entry {
    Address address;
    /// Recency-weighted mean time to the end of its requests: answers, failures
    /// and cancellations.
    double mean_delay_us = 0;
    std::uint32_t open_requests = 0;
    TimePoint avoided_until{};
  };

  /// The entries of an availability zone and the quality of their answers.
  struct Zone {
    std::vector<Entry> entries;
    /// Recency-weighted ratio of the sub-requests that relays in the zone did
    /// not answer.
    double missing_ratio = 0;
    /// Requests that skipped the zone since it was last used.
    std::uint32_t skipped_requests = 0;
    /// Failures since a request to an entry of the zone last was answered or
    /// cancelled.
    std::uint32_t consecutive_failures = 0;
  };

  struct OpenRequest {
    std::string zone;
    std::size_t sub_request_count = 0;
    Address entry_address;
    TimePoint sent_at{};
    Callback callback;
  };

  void UpdateZones();
  Entry* ChooseEntry(const std::string& zone, std::uint64_t affinity);
  [[nodiscard]] bool HasUsableEntry(const Zone& zone) const;
  [[nodiscard]] bool IsUsable(const Entry& entry) const;
  bool ShouldSkip(Zone* zone);
  void RecordMissing(const OpenRequest& request, std::size_t missing);
  void OnReply(RelayId id, const Result<std::string>& bytes);
  void AvoidZone(Zone* zone);
  void RecordEnd(const OpenRequest& request, bool failed);

  Ports m_ports;
  std::mt19937_64 m_random;
  std::map<std::string, Zone> m_zones;
  RelayId m_last_id;
  std::unordered_map<RelayId, OpenRequest> m_open_requests;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RELAY_CLIENT_H_
