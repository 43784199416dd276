#ifndef CHICORYVALE_SRC_QUOTA_QUOTA_CLIENT_H_
#define CHICORYVALE_SRC_QUOTA_QUOTA_CLIENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"
#include "ports/peer_transport.h"
#include "ports/request_quota.h"
#include "ports/scheduler.h"
#include "quota/quota_messages.h"
#include "quota/quota_owner.h"

namespace chicoryvale {

/// Events of a QuotaClient.
enum class QuotaCounter : std::uint8_t {
  /// Requests within the quota, by a token that this entry held.
  kTakenFromGrant,
  /// Requests that were sent without a token, because much of the quota was
  /// left, and reported to the owner.
  kSentWithoutToken,
  /// Requests for which an owner was asked, this entry included.
  kAsked,
  kRefusedOverQuota,
  /// Requests for which no owner answered.
  kRefusedNoOwner,
  /// Requests for which the first owner did not answer.
  kOwnersUnavailable,
  /// Tokens of requests that were not sent to any replica.
  kGivenBack,
};

template <>
struct CounterNames<QuotaCounter> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "taken_from_grant",   "sent_without_token", "asked",
      "refused_over_quota", "refused_no_owner",   "owners_unavailable",
      "given_back"};
};

/// Takes tokens of the quotas of workspaces for the requests of this entry, and
/// grants tokens to other entries. The owner of a quota is found by rendezvous
/// hashing over the live entries, without agreement; if it does not answer, the
/// next one by weight is asked. Tokens that an owner grants in advance expire
/// soon, so that idle entries hold none. As long as much of a quota is left,
/// requests don't wait for the owner: they are sent at once and reported to it.
/// Once little is left, the owner tells all entries by gossip that requests
/// need tokens. Not thread safe.
class QuotaClient : public RequestQuota {
 public:
  /// Ports that the class uses; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    PeerTransport* peers = nullptr;
    MemberView* members = nullptr;
    PeerGossip* gossip = nullptr;
  };

  QuotaClient(const Ports& ports, const QuotaOptions& options);
  ~QuotaClient() override;
  QuotaClient(const QuotaClient&) = delete;
  QuotaClient& operator=(const QuotaClient&) = delete;

  [[nodiscard]] const CounterSet<QuotaCounter>& Counters() const {
    return m_counters;
  }
  /// Returns the number of workspaces whose tokens were granted here.
  [[nodiscard]] std::size_t GrantedWorkspaces() const { return m_owner.Size(); }

 protected:
  void OnAcquire(const WorkspaceQuota& quota, Callback callback) override;
  void OnGiveBack(const std::string& workspace) override;

 private:
  /// What this entry holds and knows of a workspace's quota.
  struct Holding {
    std::uint32_t tokens = 0;
    TimePoint expire_at{};
    /// Until this time the owner has no token.
    TimePoint refused_until{};
    /// Requests sent without a token that have not been reported yet.
    std::uint32_t unreported = 0;
    /// Whether the owner has not answered the last report yet. Until then,
    /// further requests need tokens.
    bool is_report_open = false;
    /// Until this time requests need tokens.
    TimePoint scarce_until{};
    /// Stamp of the last gossip item of the workspace, and when this entry last
    /// published one.
    std::uint64_t last_stamp = 0;
    TimePoint published_at{};
    /// Requests of about the last second, for the number of tokens to ask for.
    double recent_requests = 0;
    TimePoint last_request_at{};
    /// Entries to ask, in order; empty after a change of the members.
    std::vector<Address> owners;
  };

  void RecordRequest(Holding* holding);
  [[nodiscard]] bool IsOwner(const WorkspaceQuota& quota);
  const std::vector<Address>& OwnersOf(const WorkspaceQuota& quota);
  /// Reports a request that is sent without a token, after a short time and
  /// together with those that follow.
  void ReportSoon(const WorkspaceQuota& quota);
  void Report(const WorkspaceQuota& quota, std::uint32_t spent,
              std::size_t owner_rank);
  void EndReport(const std::string& workspace, bool is_scarce);
  /// Adopts what an owner said.
  void RecordScarcity(const std::string& workspace, bool is_scarce);
  void PublishScarcity(const std::string& workspace);
  void OnGossip(const GossipItem& item);
  /// Sends `request` to `owner`, which is avoided for a while if it does not
  /// answer.
  void Call(const Address& owner, const QuotaRequestMessage& request,
            PeerTransport::Callback on_reply);
  /// Returns the first rank from `owner_rank` on whose owner is not avoided.
  std::size_t SkipAvoided(const std::vector<Address>& owners,
                          std::size_t owner_rank) const;
  void Ask(const WorkspaceQuota& quota, std::size_t owner_rank,
           Callback callback);
  void OnReply(const WorkspaceQuota& quota, std::size_t owner_rank,
               TimePoint asked_at, const Result<std::string>& bytes,
               const Callback& callback);
  /// Uses one token of `grant` and keeps the rest.
  void Settle(const std::string& workspace, const QuotaOwner::Grant& grant,
              TimePoint asked_at, const Callback& callback);
  void OnMembersChanged();
  std::string Answer(const std::string& bytes);

  Ports m_ports;
  QuotaOwner m_owner;
  std::unordered_map<std::string, Holding> m_holdings;
  /// Owners that did not answer, and until when they are not asked.
  std::unordered_map<std::string, TimePoint> m_avoided_until;
  CounterSet<QuotaCounter> m_counters;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUOTA_QUOTA_CLIENT_H_
