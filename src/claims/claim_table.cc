#include "claims/claim_table.h"

#include <algorithm>
#include <cassert>
#include <cereal/types/map.hpp>
#include <numeric>
#include <utility>

#include "base/codec.h"
#include "base/hash.h"

namespace chicoryvale {
namespace {

std::uint64_t ToMs(std::chrono::milliseconds duration) {
  return static_cast<std::uint64_t>(duration.count());
}

}  // namespace

ClaimTable::ClaimTable(const ClaimTableOptions& options) : m_options(options) {
  assert(options.retention.count() > 0 && options.max_future_skew.count() >= 0);
  assert(options.max_claims >= 1);
}

ClaimResult ClaimTable::Apply(const ClaimCommand& command) {
  RemoveExpired(command.leader_unix_ms);
  if (IsInvalid(command)) return {ClaimStatus::kInvalid, {}};
  if (IsExpired(command)) return {ClaimStatus::kExpired, {}};
  const auto known = m_claims.find(command.request_id);
  if (known == m_claims.end()) return ApplyNew(command);
  return ApplyKnown(command, &known->second);
}

void ClaimTable::RemoveExpired(std::uint64_t leader_unix_ms) {
  const std::uint64_t retention = ToMs(m_options.retention);
  while (!m_claims.empty()) {
    const auto oldest = m_claims.begin();
    const std::uint64_t id_unix_ms = oldest->first.UnixMs();
    if (id_unix_ms + retention >= leader_unix_ms) return;
    m_horizon_unix_ms = std::max(m_horizon_unix_ms, id_unix_ms);
    m_total_outcome_bytes -= oldest->second.outcome.size();
    m_claims.erase(oldest);
  }
}

bool ClaimTable::IsExpired(const ClaimCommand& command) const {
  const std::uint64_t id_unix_ms = command.request_id.UnixMs();
  return id_unix_ms <= m_horizon_unix_ms ||
         id_unix_ms + ToMs(m_options.retention) < command.leader_unix_ms;
}

bool ClaimTable::IsInvalid(const ClaimCommand& command) const {
  const std::uint64_t max_unix_ms =
      command.leader_unix_ms + ToMs(m_options.max_future_skew);
  return command.action > ClaimAction::kRecordOutcome ||
         command.request_id.UnixMs() > max_unix_ms ||
         command.owner.entry_id.empty() ||
         command.owner.entry_id.size() > kMaxEntryIdBytes;
}

ClaimResult ClaimTable::ApplyNew(const ClaimCommand& command) {
  if (command.action == ClaimAction::kRecordOutcome) {
    return {ClaimStatus::kNotOwner, {}};
  }
  if (m_claims.size() >= m_options.max_claims) {
    return {ClaimStatus::kTableFull, {}};
  }
  // A release that arrives before its claim is stored, so that the claim is
  // refused when it arrives.
  const bool is_claim = command.action == ClaimAction::kClaim;
  m_claims.emplace(command.request_id,
                   Claim{command.fingerprint,
                         command.owner,
                         is_claim ? State::kClaimed : State::kReleased,
                         {}});
  return {is_claim ? ClaimStatus::kGranted : ClaimStatus::kDone, {}};
}

ClaimResult ClaimTable::ApplyKnown(const ClaimCommand& command, Claim* claim) {
  if (command.fingerprint != claim->fingerprint) {
    return {ClaimStatus::kIdReused, {}};
  }
  if (command.action == ClaimAction::kClaim) return ApplyClaim(command, claim);
  if (command.owner != claim->owner) return {ClaimStatus::kNotOwner, {}};
  if (command.action == ClaimAction::kRecordOutcome) {
    return ApplyRecordOutcome(command, claim);
  }
  if (claim->state == State::kReleased) return {ClaimStatus::kDone, {}};
  if (claim->state != State::kClaimed) return {ClaimStatus::kNotOwner, {}};
  claim->state = State::kReleased;
  return {ClaimStatus::kDone, {}};
}

ClaimResult ClaimTable::ApplyClaim(const ClaimCommand& command, Claim* claim) {
  const bool same_owner = command.owner == claim->owner;
  switch (claim->state) {
    case State::kClaimed:
      return {same_owner ? ClaimStatus::kGranted : ClaimStatus::kClaimedByOther,
              {}};
    case State::kRecorded:
      return {ClaimStatus::kRecorded, claim->outcome};
    case State::kRecordedWithoutOutcome:
      return {ClaimStatus::kRecordedWithoutOutcome, {}};
    case State::kReleased:
      break;
  }
  if (same_owner) return {ClaimStatus::kReleased, {}};
  claim->owner = command.owner;
  claim->state = State::kClaimed;
  return {ClaimStatus::kGranted, {}};
}

ClaimResult ClaimTable::ApplyRecordOutcome(const ClaimCommand& command,
                                           Claim* claim) {
  if (claim->state == State::kReleased) return {ClaimStatus::kNotOwner, {}};
  if (claim->state != State::kClaimed) return {ClaimStatus::kDone, {}};
  const std::size_t total_bytes =
      m_total_outcome_bytes + command.outcome.size();
  const bool fits = command.outcome.size() <= m_options.max_outcome_bytes &&
                    total_bytes <= m_options.max_total_outcome_bytes;
  if (!fits) {
    claim->state = State::kRecordedWithoutOutcome;
    return {ClaimStatus::kDone, {}};
  }
  claim->state = State::kRecorded;
  claim->outcome = command.outcome;
  m_total_outcome_bytes = total_bytes;
  return {ClaimStatus::kDone, {}};
}

std::string ClaimTable::EncodeState() const {
  BoundedOutputArchive archive;
  archive(m_horizon_unix_ms, m_claims);
  return archive.ReleaseBytes();
}

bool ClaimTable::DecodeState(std::string_view bytes) {
  std::uint64_t horizon_unix_ms = 0;
  Claims claims;
  try {
    BoundedInputArchive archive(bytes);
    archive(horizon_unix_ms, claims);
    if (archive.Remaining() != 0) return false;
  } catch (const cereal::Exception&) {
    return false;
  }
  m_horizon_unix_ms = horizon_unix_ms;
  m_claims = std::move(claims);
  m_total_outcome_bytes =
      std::accumulate(m_claims.begin(), m_claims.end(), std::size_t{0},
                      [](std::size_t sum, const Claims::value_type& entry) {
                        return sum + entry.second.outcome.size();
                      });
  return true;
}

std::uint64_t ClaimTable::Hash() const { return HashBytes(EncodeState()); }

}  // namespace chicoryvale
