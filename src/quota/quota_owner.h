#ifndef CHICORYVALE_SRC_QUOTA_QUOTA_OWNER_H_
#define CHICORYVALE_SRC_QUOTA_QUOTA_OWNER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "membership/entry_members.h"
#include "ports/request_quota.h"
#include "quota/quota_bucket.h"

namespace chicoryvale {

/// Settings of the quotas.
struct QuotaOptions {
  /// Requests by which a workspace may exceed its quota in a window of some
  /// seconds. Covers what is granted anew when the owner of a quota changes,
  /// and what is sent before all entries know that a quota is scarce.
  double slack = 0;
  /// Part of a quota by which it may be exceeded. An entry that is asked in
  /// place of the owner, which may only be slow, grants this part of the rate.
  double overshoot = 0;
  /// Whether all processes start for the first time, so that no former owner
  /// has granted anything.
  bool first_start = false;
};

/// Grants tokens of the quotas that this entry is asked for. If it is the
/// owner, it grants the part of the rate that corresponds to the entries that
/// it can reach, so that two parts of a divided group together stay within the
/// rate. If it is not, the asking entry could not reach the owner, which may
/// still grant; it then grants a small part of that. Whoever takes over a quota
/// doesn't know what was granted before and starts with a part of the slack
/// only. Not thread safe.
class QuotaOwner {
 public:
  QuotaOwner(const QuotaOptions& options, EntryMembers members, TimePoint now);

  /// Adopts a change of the members.
  void SetMembers(EntryMembers members, TimePoint now);

  /// Tokens granted to an entry, or the time until there is one.
  struct Grant {
    std::uint32_t tokens = 0;
    Duration retry_after{};
    /// Whether so little of the quota is left that requests need tokens.
    bool is_scarce = false;
  };

  /// Grants up to `wanted` tokens. More than one is granted only while much of
  /// the burst is left, because an entry may not use them all. Precondition:
  /// `wanted` is not 0 and the rate of `quota` is positive.
  Grant Take(const WorkspaceQuota& quota, std::uint32_t wanted, TimePoint now);

  /// Records `tokens` requests that an entry has sent without tokens. Returns
  /// whether the quota is scarce.
  bool Spend(const WorkspaceQuota& quota, std::uint32_t tokens, TimePoint now);

  /// Returns whether this entry owns the quota of `workspace`.
  [[nodiscard]] bool Owns(const std::string& workspace) const {
    return m_members.IsOwner(workspace);
  }

  /// Returns the number of workspaces whose tokens were granted here.
  [[nodiscard]] std::size_t Size() const { return m_buckets.size(); }

 private:
  struct OwnedBucket {
    QuotaBucket bucket;
    WorkspaceQuota quota;
    bool is_owner = false;
    TimePoint used_at{};
  };

  /// Number of tokens with which a quota is taken over.
  [[nodiscard]] double TakeoverLevel() const;
  [[nodiscard]] double RateOf(const WorkspaceQuota& quota, bool is_owner) const;
  static bool IsScarce(const QuotaBucket& bucket, TimePoint now);
  OwnedBucket& BucketOf(const WorkspaceQuota& quota, TimePoint now);
  void ForgetUnused(TimePoint now);

  QuotaOptions m_options;
  EntryMembers m_members;
  /// Whether an entry has failed or left, this one included, so that another
  /// one has become the owner of its quotas.
  bool m_has_seen_owner_change = false;
  /// When that was for the last time; before it, the start of this process.
  TimePoint m_last_owner_change_at;
  std::unordered_map<std::string, OwnedBucket> m_buckets;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUOTA_QUOTA_OWNER_H_
