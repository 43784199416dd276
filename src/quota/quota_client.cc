#include "quota/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicoryvale {
namespace {

/// Time after which an owner counts as unavailable. Short, because the caller
/// of the request waits meanwhile, but an owner with a small share of a core
/// may need some tens of milliseconds.
constexpr Duration kAskTimeout = milliseconds(100);

/// The same for a report, for which nobody waits.
constexpr Duration kReportTimeout = milliseconds(500);

/// Number of entries that are asked, one after the other.
constexpr std::size_t kMaxOwnersAsked = 2;

/// Time for which an unavailable owner is not asked: about the time until the
/// membership knows that it has failed.
constexpr Duration kAvoidTime = seconds(1);

/// Time after which granted tokens expire.
constexpr Duration kGrantTime = seconds(1);

/// Maximum time for which a refusal of the owner is repeated without asking it:
/// the quota may be raised meanwhile.
constexpr Duration kMaxRefusalTime = milliseconds(250);

/// Time after which a caller should retry if no owner answered.
constexpr Duration kRetryAfterUnknown = milliseconds(300);

/// Maximum number of tokens that are asked for at once.
constexpr double kMaxWanted = 64;

/// Time for which requests need tokens after an owner has said that little of a
/// quota is left, in whole seconds.
constexpr Duration kScarceTime = seconds(3);

/// Time for which requests without a token are collected for one report.
constexpr Duration kReportDelay = milliseconds(20);

/// Minimum time between two gossip items of a workspace.
constexpr Duration kPublishPeriod = seconds(1);

/// Upper bound of the time to a token that an owner tells.
constexpr std::uint64_t kMaxRetryAfterUs = 60'000'000;

/// Time over which requests are counted to estimate how many follow.
constexpr double kDemandHalfLifeSeconds = 0.5;

}  // namespace

QuotaClient::QuotaClient(const Ports& ports, const QuotaOptions& options)
    : m_ports(ports),
      m_owner(options, EntryMembers(*ports.members), ports.scheduler->Now()) {
  m_ports.peers->SetHandler(
      PeerChannel::kQuota,
      [this](const Address& /*from*/, const std::string& bytes,
             const PeerTransport::Responder& respond) {
        respond(Answer(bytes));
      });
  m_ports.gossip->AddItemListener(
      [this, alive = std::weak_ptr<int>(m_alive)](const GossipItem& item) {
        if (!alive.expired()) OnGossip(item);
      });
  m_ports.members->AddListener([this, alive = std::weak_ptr<int>(m_alive)] {
    if (!alive.expired()) OnMembersChanged();
  });
}

QuotaClient::~QuotaClient() {
  m_ports.peers->SetHandler(
      PeerChannel::kQuota,
      [](const Address& /*from*/, const std::string& /*bytes*/,
         const PeerTransport::Responder& respond) { respond({}); });
}

void QuotaClient::OnMembersChanged() {
  m_owner.SetMembers(EntryMembers(*m_ports.members), m_ports.scheduler->Now());
  for (auto& [workspace, holding] : m_holdings) holding.owners.clear();
}

std::string QuotaClient::Answer(const std::string& bytes) {
  QuotaRequestMessage request;
  const bool is_readable = Decode(bytes, &request);
  // An unreadable answer makes the asking entry try another owner.
  const bool is_valid = is_readable && request.max_requests_per_s > 0 &&
                        std::isfinite(request.max_requests_per_s);
  if (!is_valid) return {};
  const TimePoint now = m_ports.scheduler->Now();
  const WorkspaceQuota quota{request.workspace, request.max_requests_per_s,
                             request.burst, request.config_version};
  QuotaOwner::Grant grant;
  if (request.spent > 0) {
    grant.is_scarce = m_owner.Spend(quota, request.spent, now);
  }
  if (request.wanted > 0) grant = m_owner.Take(quota, request.wanted, now);
  if (grant.is_scarce) PublishScarcity(quota.workspace);
  return Encode(QuotaReplyMessage{
      grant.tokens, static_cast<std::uint64_t>(grant.retry_after.count()),
      grant.is_scarce});
}

// An entry that does not own the quota knows only a part of its use.
void QuotaClient::PublishScarcity(const std::string& workspace) {
  if (!m_owner.Owns(workspace)) return;
  Holding& holding = m_holdings[workspace];
  const TimePoint now = m_ports.scheduler->Now();
  holding.scarce_until = now + kScarceTime;
  const bool is_recent =
      holding.last_stamp != 0 && now - holding.published_at < kPublishPeriod;
  if (is_recent) return;
  holding.published_at = now;
  m_ports.gossip->Publish({GossipKind::kScarceQuota,
                           workspace,
                           ++holding.last_stamp,
                           {},
                           static_cast<std::uint32_t>(ToSeconds(kScarceTime))});
}

void QuotaClient::OnGossip(const GossipItem& item) {
  if (item.kind != GossipKind::kScarceQuota) return;
  Holding& holding = m_holdings[item.key];
  holding.last_stamp = std::max(holding.last_stamp, item.stamp);
  holding.scarce_until =
      std::max(holding.scarce_until,
               m_ports.scheduler->Now() +
                   std::min<Duration>(seconds(item.lifetime_s), kScarceTime));
}

void QuotaClient::RecordRequest(Holding* holding) {
  const TimePoint now = m_ports.scheduler->Now();
  holding->recent_requests *= std::exp2(
      -ToSeconds(now - holding->last_request_at) / kDemandHalfLifeSeconds);
  holding->recent_requests += 1;
  holding->last_request_at = now;
}

const std::vector<Address>& QuotaClient::OwnersOf(const WorkspaceQuota& quota) {
  Holding& holding = m_holdings[quota.workspace];
  if (holding.owners.empty()) {
    holding.owners = EntryMembers(*m_ports.members)
                         .OwnersOf(quota.workspace, kMaxOwnersAsked);
  }
  return holding.owners;
}

bool QuotaClient::IsOwner(const WorkspaceQuota& quota) {
  return OwnersOf(quota).front() == m_ports.members->Self().address;
}

std::size_t QuotaClient::SkipAvoided(const std::vector<Address>& owners,
                                     std::size_t owner_rank) const {
  const TimePoint now = m_ports.scheduler->Now();
  const auto is_avoided = [this, now](const Address& owner) {
    const auto avoided = m_avoided_until.find(owner.host_port);
    return avoided != m_avoided_until.end() && now < avoided->second;
  };
  while (owner_rank < owners.size() && is_avoided(owners[owner_rank])) {
    ++owner_rank;
  }
  return owner_rank;
}

void QuotaClient::OnAcquire(const WorkspaceQuota& quota, Callback callback) {
  Holding& holding = m_holdings[quota.workspace];
  const TimePoint now = m_ports.scheduler->Now();
  RecordRequest(&holding);
  if (now >= holding.expire_at) holding.tokens = 0;
  if (holding.tokens > 0) {
    --holding.tokens;
    m_counters.Add(QuotaCounter::kTakenFromGrant);
    return callback({QuotaVerdict::kWithinQuota, {}});
  }
  if (now < holding.refused_until) {
    m_counters.Add(QuotaCounter::kRefusedOverQuota);
    return callback({QuotaVerdict::kOverQuota, holding.refused_until - now});
  }
  const bool needs_token =
      now < holding.scarce_until || holding.is_report_open || IsOwner(quota);
  if (needs_token) {
    m_counters.Add(QuotaCounter::kAsked);
    return Ask(quota, 0, std::move(callback));
  }
  m_counters.Add(QuotaCounter::kSentWithoutToken);
  ReportSoon(quota);
  callback({QuotaVerdict::kWithinQuota, {}});
}

void QuotaClient::Call(const Address& owner, const QuotaRequestMessage& request,
                       PeerTransport::Callback on_reply) {
  m_ports.peers->Call(
      owner, PeerChannel::kQuota, Encode(request),
      request.wanted > 0 ? kAskTimeout : kReportTimeout,
      [this, alive = std::weak_ptr<int>(m_alive), owner,
       on_reply = std::move(on_reply)](const Result<std::string>& bytes) {
        if (alive.expired()) return;
        if (!bytes) {
          m_counters.Add(QuotaCounter::kOwnersUnavailable);
          m_avoided_until[owner.host_port] =
              m_ports.scheduler->Now() + kAvoidTime;
        }
        on_reply(bytes);
      });
}

void QuotaClient::ReportSoon(const WorkspaceQuota& quota) {
  if (++m_holdings[quota.workspace].unreported > 1) return;
  m_ports.scheduler->Schedule(
      kReportDelay, [this, alive = std::weak_ptr<int>(m_alive), quota] {
        if (alive.expired()) return;
        Holding& holding = m_holdings[quota.workspace];
        holding.is_report_open = true;
        Report(quota, std::exchange(holding.unreported, 0), 0);
      });
}

void QuotaClient::Report(const WorkspaceQuota& quota, std::uint32_t spent,
                         std::size_t owner_rank) {
  const std::vector<Address>& owners = OwnersOf(quota);
  owner_rank = SkipAvoided(owners, owner_rank);
  // What is not known to be within the quota needs a token from now on.
  if (owner_rank >= owners.size()) return EndReport(quota.workspace, true);
  const Address owner = owners[owner_rank];
  if (owner == m_ports.members->Self().address) {
    const bool is_scarce =
        m_owner.Spend(quota, spent, m_ports.scheduler->Now());
    if (is_scarce) PublishScarcity(quota.workspace);
    return EndReport(quota.workspace, is_scarce);
  }
  QuotaRequestMessage request{quota.workspace, quota.max_requests_per_s,
                              quota.burst, quota.config_version};
  request.spent = spent;
  Call(owner, request,
       [this, quota, spent, owner_rank](const Result<std::string>& bytes) {
         QuotaReplyMessage reply;
         if (!bytes || !Decode(*bytes, &reply)) {
           return Report(quota, spent, owner_rank + 1);
         }
         EndReport(quota.workspace, reply.is_scarce);
       });
}

void QuotaClient::EndReport(const std::string& workspace, bool is_scarce) {
  m_holdings[workspace].is_report_open = false;
  RecordScarcity(workspace, is_scarce);
}

void QuotaClient::RecordScarcity(const std::string& workspace, bool is_scarce) {
  if (!is_scarce) return;
  m_holdings[workspace].scarce_until = m_ports.scheduler->Now() + kScarceTime;
}

void QuotaClient::Ask(const WorkspaceQuota& quota, std::size_t owner_rank,
                      Callback callback) {
  const std::vector<Address>& owners = OwnersOf(quota);
  owner_rank = SkipAvoided(owners, owner_rank);
  if (owner_rank >= owners.size()) {
    m_counters.Add(QuotaCounter::kRefusedNoOwner);
    return callback({QuotaVerdict::kUnknown, kRetryAfterUnknown});
  }
  const TimePoint now = m_ports.scheduler->Now();
  const auto wanted = static_cast<std::uint32_t>(
      std::clamp(m_holdings[quota.workspace].recent_requests, 1.0, kMaxWanted));
  const Address owner = owners[owner_rank];
  if (owner == m_ports.members->Self().address) {
    const QuotaOwner::Grant grant = m_owner.Take(quota, wanted, now);
    if (grant.is_scarce) PublishScarcity(quota.workspace);
    return Settle(quota.workspace, grant, now, callback);
  }
  QuotaRequestMessage request{quota.workspace, quota.max_requests_per_s,
                              quota.burst, quota.config_version};
  request.wanted = wanted;
  Call(owner, request,
       [this, quota, owner_rank, now,
        callback = std::move(callback)](const Result<std::string>& bytes) {
         OnReply(quota, owner_rank, now, bytes, callback);
       });
}

void QuotaClient::OnReply(const WorkspaceQuota& quota, std::size_t owner_rank,
                          TimePoint asked_at, const Result<std::string>& bytes,
                          const Callback& callback) {
  QuotaReplyMessage reply;
  if (!bytes || !Decode(*bytes, &reply)) {
    return Ask(quota, owner_rank + 1, callback);
  }
  RecordScarcity(quota.workspace, reply.is_scarce);
  const Duration retry_after(static_cast<Duration::rep>(
      std::min<std::uint64_t>(reply.retry_after_us, kMaxRetryAfterUs)));
  Settle(quota.workspace, {reply.granted, retry_after, reply.is_scarce},
         asked_at, callback);
}

void QuotaClient::Settle(const std::string& workspace,
                         const QuotaOwner::Grant& grant, TimePoint asked_at,
                         const Callback& callback) {
  Holding& holding = m_holdings[workspace];
  const TimePoint now = m_ports.scheduler->Now();
  if (grant.tokens == 0) {
    holding.refused_until =
        now + std::min<Duration>(grant.retry_after, kMaxRefusalTime);
    m_counters.Add(QuotaCounter::kRefusedOverQuota);
    return callback({QuotaVerdict::kOverQuota, grant.retry_after});
  }
  holding.refused_until = {};
  if (now >= holding.expire_at) holding.tokens = 0;
  if (grant.tokens > 1) {
    holding.tokens += grant.tokens - 1;
    holding.expire_at = asked_at + kGrantTime;
  }
  callback({QuotaVerdict::kWithinQuota, {}});
}

void QuotaClient::OnGiveBack(const std::string& workspace) {
  const auto found = m_holdings.find(workspace);
  if (found == m_holdings.end()) return;
  Holding& holding = found->second;
  const TimePoint now = m_ports.scheduler->Now();
  m_counters.Add(QuotaCounter::kGivenBack);
  if (now >= holding.expire_at) {
    holding.tokens = 0;
    holding.expire_at = now + kGrantTime;
  }
  ++holding.tokens;
}

}  // namespace chicoryvale
