#include "quota/quota_owner.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// Part of the slack that is granted when a quota is taken over. Several
/// changes of the owner may fall into one window.
constexpr double kTakeoverSlackRatio = 0.25;

/// Part of the capacity beyond which more than one token is granted, and below
/// which requests need tokens.
constexpr double kAmpleLevelRatio = 0.5;

/// Time after which the bucket of a workspace that sends nothing is forgotten.
constexpr Duration kForgetAfter = seconds(600);

/// Number of buckets from which on unused ones are looked for.
constexpr std::size_t kMinBucketsToForget = 1024;

}  // namespace

QuotaOwner::QuotaOwner(const QuotaOptions& options, EntryMembers members,
                       TimePoint now)
    : m_options(options),
      m_members(std::move(members)),
      m_last_owner_change_at(now) {}

double QuotaOwner::TakeoverLevel() const {
  return m_options.slack * kTakeoverSlackRatio;
}

bool QuotaOwner::IsScarce(const QuotaBucket& bucket, TimePoint now) {
  return bucket.Level(now) < bucket.Capacity() * kAmpleLevelRatio;
}

double QuotaOwner::RateOf(const WorkspaceQuota& quota, bool is_owner) const {
  const double rate = quota.max_requests_per_s * m_members.LiveShare();
  return is_owner ? rate : rate * m_options.overshoot;
}

void QuotaOwner::SetMembers(EntryMembers members, TimePoint now) {
  const bool was_taken_for_failed =
      members.OwnIncarnation() != m_members.OwnIncarnation();
  if (was_taken_for_failed || members.LacksEntryOf(m_members)) {
    m_has_seen_owner_change = true;
    m_last_owner_change_at = now;
  }
  m_members = std::move(members);
  for (auto& [workspace, owned] : m_buckets) {
    const bool is_owner = m_members.IsOwner(workspace);
    const bool takes_over =
        is_owner && (!owned.is_owner || was_taken_for_failed);
    owned.is_owner = is_owner;
    if (takes_over) owned.bucket.LowerTo(TakeoverLevel(), now);
    owned.bucket.SetLimits(RateOf(owned.quota, is_owner), owned.quota.burst,
                           now);
  }
}

QuotaOwner::OwnedBucket& QuotaOwner::BucketOf(const WorkspaceQuota& quota,
                                              TimePoint now) {
  const auto found = m_buckets.find(quota.workspace);
  if (found != m_buckets.end()) {
    OwnedBucket& owned = found->second;
    if (quota.config_version > owned.quota.config_version) {
      owned.quota = quota;
      owned.bucket.SetLimits(RateOf(quota, owned.is_owner), quota.burst, now);
    }
    return owned;
  }
  ForgetUnused(now);
  const bool is_owner = m_members.IsOwner(quota.workspace);
  const double rate = RateOf(quota, is_owner);
  const bool is_first_owner =
      is_owner && m_options.first_start && !m_has_seen_owner_change;
  QuotaBucket bucket(rate, quota.burst, 0, now);
  double level = TakeoverLevel();
  if (is_first_owner) level = bucket.Capacity();
  if (is_owner) level += rate * ToSeconds(now - m_last_owner_change_at);
  bucket = QuotaBucket(rate, quota.burst, level, now);
  return m_buckets
      .emplace(quota.workspace, OwnedBucket{bucket, quota, is_owner, now})
      .first->second;
}

void QuotaOwner::ForgetUnused(TimePoint now) {
  if (m_buckets.size() < kMinBucketsToForget) return;
  std::erase_if(m_buckets, [now](const auto& entry) {
    return now - entry.second.used_at > kForgetAfter;
  });
}

QuotaOwner::Grant QuotaOwner::Take(const WorkspaceQuota& quota,
                                   std::uint32_t wanted, TimePoint now) {
  OwnedBucket& owned = BucketOf(quota, now);
  owned.used_at = now;
  QuotaBucket& bucket = owned.bucket;
  const double level = bucket.Level(now);
  if (level < 1) return {0, bucket.TimeToNextToken(now), true};
  const double spare = level - bucket.Capacity() * kAmpleLevelRatio;
  const double granted = std::clamp(spare, 1.0, static_cast<double>(wanted));
  const auto tokens = static_cast<std::uint32_t>(granted);
  bucket.Take(tokens, now);
  return {tokens, {}, IsScarce(bucket, now)};
}

bool QuotaOwner::Spend(const WorkspaceQuota& quota, std::uint32_t tokens,
                       TimePoint now) {
  OwnedBucket& owned = BucketOf(quota, now);
  owned.used_at = now;
  owned.bucket.Spend(tokens, now);
  return IsScarce(owned.bucket, now);
}

}  // namespace chicoryvale
