#ifndef CHICORYVALE_SRC_ZONE_ADMISSION_ZONE_ADMISSION_CLIENT_H_
#define CHICORYVALE_SRC_ZONE_ADMISSION_ZONE_ADMISSION_CLIENT_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"
#include "ports/zone_admission.h"
#include "routing/request_admission.h"
#include "zone_admission/group_owner.h"

namespace chicoryvale {

/// Events of a ZoneAdmissionClient.
enum class ZoneAdmissionCounter : std::uint8_t {
  /// Requests that were sent at once, because their group was not saturated.
  kSentWithoutAsking,
  /// Requests for which the owner was asked, this entry included.
  kAsked,
  kRefused,
  /// Requests for which the owner did not answer. This entry alone decided.
  kDecidedAlone,
  kReports,
};

template <>
struct CounterNames<ZoneAdmissionCounter> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "sent_without_asking", "asked", "refused", "decided_alone", "reports"};
};

/// Admits the requests of this entry to groups of replicas, together with the
/// other entries of its availability zone. One of them owns each group, by
/// rendezvous hashing, without agreement. As long as a group is not saturated,
/// requests are sent at once and reported to the owner; afterwards, the owner
/// is asked for each. If it does not answer, this entry limits its own requests
/// by their outcomes. Not thread safe.
class ZoneAdmissionClient : public ZoneAdmission {
 public:
  /// Ports that the class uses; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    PeerTransport* peers = nullptr;
    MemberView* members = nullptr;
    PeerGossip* gossip = nullptr;
  };

  ZoneAdmissionClient(const Ports& ports, std::uint64_t seed);
  ~ZoneAdmissionClient() override;
  ZoneAdmissionClient(const ZoneAdmissionClient&) = delete;
  ZoneAdmissionClient& operator=(const ZoneAdmissionClient&) = delete;

  [[nodiscard]] const CounterSet<ZoneAdmissionCounter>& Counters() const {
    return m_counters;
  }
  /// The groups that this entry owns.
  [[nodiscard]] const GroupOwner& Owner() const { return m_owner; }
  /// Returns the number of requests that have not ended.
  [[nodiscard]] std::size_t OpenCount() const { return m_requests.size(); }

 protected:
  void OnSubmit(AdmissionId id, const ZoneAdmissionRequest& request,
                Callback callback) override;
  void OnFinish(AdmissionId id, AdmittedOutcome outcome) override;
  void OnCancel(AdmissionId id) override;

 private:
  /// A request that has not ended.
  struct Request {
    ZoneAdmissionRequest request;
    Callback callback;
    TimePoint started_at{};
    /// Ticket of the owner that admitted the request; 0 without one.
    AdmissionTicket ticket = 0;
    bool is_admitted = false;
    /// Whether this entry alone decides.
    bool is_decided_alone = false;
  };

  /// What this entry knows of a group.
  struct Group {
    /// Until this time the owner is asked for each request.
    TimePoint saturated_until{};
    /// Requests in flight for which the owner was not asked.
    std::uint32_t in_flight = 0;
    /// Ended requests that have not been reported.
    std::vector<AdmissionEndMessage> ended;
    TimerId report_timer = 0;
    TimePoint report_due{};
    /// Stamp of the last gossip item of the group, and when this entry last
    /// published one.
    std::uint64_t last_stamp = 0;
    TimePoint published_at{};
    /// Decides about the requests for which the owner did not answer.
    std::unique_ptr<RequestAdmission> own_admission;
  };

  Group& GroupOf(const std::string& name) { return m_groups[name]; }
  // Returns the owner of `group`; nullopt if it has not answered lately.
  std::optional<Address> OwnerOf(const std::string& group);
  void Ask(AdmissionId id);
  void OnReply(AdmissionId id, const std::string& group,
               const Result<std::string>& bytes);
  void Decide(AdmissionId id, const ZoneAdmissionDecision& decision);
  // Lets this entry alone decide about a request.
  void DecideAlone(AdmissionId id);
  void StartUnasked(AdmissionId id);
  void End(AdmissionId id, const Request& request, AdmittedOutcome outcome);
  // Reports a request that has ended.
  void ReportEnd(const std::string& group, const AdmissionEndMessage& ended);
  // Reports soon, together with what ends until then.
  void ReportSoon(const std::string& group);
  void ScheduleReport(const std::string& group, Duration delay);
  void Report(const std::string& group);
  void Call(const Address& owner, const AdmissionCallMessage& call,
            Duration timeout, const PeerTransport::Callback& on_reply);
  void Answer(const Address& from, const std::string& bytes,
              const PeerTransport::Responder& respond);
  void RecordSaturation(const std::string& group, bool is_saturated);
  void PublishSaturation(const std::string& group);
  void OnGossip(const GossipItem& item);
  void OnMembersChanged();
  [[nodiscard]] std::string GossipKey(const std::string& group) const;

  Ports m_ports;
  std::mt19937_64 m_random;
  GroupOwner m_owner;
  std::unordered_map<std::string, Group> m_groups;
  std::unordered_map<AdmissionId, Request> m_requests;
  /// Owners by group, as the members are now.
  std::unordered_map<std::string, Address> m_owners;
  /// Owners that did not answer, and until when they are not asked.
  std::unordered_map<std::string, TimePoint> m_avoided_until;
  CounterSet<ZoneAdmissionCounter> m_counters;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ZONE_ADMISSION_ZONE_ADMISSION_CLIENT_H_
