#include "quota/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "quota/quota_messages.h"

namespace chicoryvale {
namespace {

/// Time after which an owner counts as unavailable. Short, because the caller
/// of the request waits meanwhile.
constexpr Duration kAskTimeout = milliseconds(50);

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

/// Time over which requests are counted to estimate how many follow.
constexpr double kDemandHalfLifeSeconds = 0.5;

}  // namespace

QuotaClient::QuotaClient(const Ports& ports, const QuotaOptions& options)
    : m_ports(ports),
      m_owner(options, QuotaMembers(*ports.members), ports.scheduler->Now()) {
  m_ports.peers->SetHandler(
      PeerChannel::kQuota,
      [this](const Address& /*from*/, const std::string& bytes,
             const PeerTransport::Responder& respond) {
        respond(Answer(bytes));
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
  m_owner.SetMembers(QuotaMembers(*m_ports.members), m_ports.scheduler->Now());
  for (auto& [workspace, holding] : m_holdings) holding.owners.clear();
}

std::string QuotaClient::Answer(const std::string& bytes) {
  QuotaRequestMessage request;
  const bool is_readable = Decode(bytes, &request);
  // An unreadable answer makes the asking entry try another owner.
  const bool is_valid = is_readable && request.wanted > 0 &&
                        request.max_requests_per_s > 0 &&
                        std::isfinite(request.max_requests_per_s);
  if (!is_valid) return {};
  const QuotaOwner::Grant grant =
      m_owner.Take({std::move(request.workspace), request.max_requests_per_s,
                    request.burst, request.config_version},
                   request.wanted, m_ports.scheduler->Now());
  return Encode(QuotaReplyMessage{
      grant.tokens, static_cast<std::uint64_t>(grant.retry_after.count())});
}

void QuotaClient::RecordRequest(Holding* holding) {
  const TimePoint now = m_ports.scheduler->Now();
  holding->recent_requests *= std::exp2(
      -ToSeconds(now - holding->last_request_at) / kDemandHalfLifeSeconds);
  holding->recent_requests += 1;
  holding->last_request_at = now;
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
  m_counters.Add(QuotaCounter::kAsked);
  Ask(quota, 0, std::move(callback));
}

void QuotaClient::Ask(const WorkspaceQuota& quota, std::size_t owner_rank,
                      Callback callback) {
  Holding& holding = m_holdings[quota.workspace];
  const TimePoint now = m_ports.scheduler->Now();
  if (holding.owners.empty()) {
    holding.owners = QuotaMembers(*m_ports.members)
                         .OwnersOf(quota.workspace, kMaxOwnersAsked);
  }
  while (owner_rank < holding.owners.size()) {
    const auto avoided =
        m_avoided_until.find(holding.owners[owner_rank].host_port);
    if (avoided == m_avoided_until.end() || now >= avoided->second) break;
    ++owner_rank;
  }
  if (owner_rank >= holding.owners.size()) {
    m_counters.Add(QuotaCounter::kRefusedNoOwner);
    return callback({QuotaVerdict::kUnknown, kRetryAfterUnknown});
  }
  const auto wanted = static_cast<std::uint32_t>(
      std::clamp(holding.recent_requests, 1.0, kMaxWanted));
  const Address owner = holding.owners[owner_rank];
  if (owner == m_ports.members->Self().address) {
    return Settle(quota.workspace, m_owner.Take(quota, wanted, now), now,
                  callback);
  }
  const QuotaRequestMessage request{quota.workspace, quota.max_requests_per_s,
                                    quota.burst, quota.config_version, wanted};
  m_ports.peers->Call(
      owner, PeerChannel::kQuota, Encode(request), kAskTimeout,
      [this, alive = std::weak_ptr<int>(m_alive), quota, owner_rank, owner, now,
       callback = std::move(callback)](const Result<std::string>& bytes) {
        if (alive.expired()) return;
        if (!bytes) {
          m_avoided_until[owner.host_port] =
              m_ports.scheduler->Now() + kAvoidTime;
        }
        OnReply(quota, owner_rank, now, bytes, callback);
      });
}

void QuotaClient::OnReply(const WorkspaceQuota& quota, std::size_t owner_rank,
                          TimePoint asked_at, const Result<std::string>& bytes,
                          const Callback& callback) {
  QuotaReplyMessage reply;
  if (!bytes || !Decode(*bytes, &reply)) {
    m_counters.Add(QuotaCounter::kOwnersUnavailable);
    return Ask(quota, owner_rank + 1, callback);
  }
  const Duration retry_after(static_cast<Duration::rep>(std::min<std::uint64_t>(
      reply.retry_after_us,
      static_cast<std::uint64_t>(Duration(seconds(60)).count()))));
  Settle(quota.workspace, {reply.granted, retry_after}, asked_at, callback);
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
