#ifndef CHICORYVALE_SRC_QUOTA_QUOTA_MEMBERS_H_
#define CHICORYVALE_SRC_QUOTA_QUOTA_MEMBERS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ports/member_view.h"

namespace chicoryvale {

/// The entries that may own quotas, as this entry knows them. Not thread safe.
class QuotaMembers {
 public:
  /// Reads the entries of `members`.
  explicit QuotaMembers(const MemberView& members);

  [[nodiscard]] const Address& Self() const { return m_self; }

  /// Returns the entries that are alive, those that should be asked for tokens
  /// of `workspace` first, by rendezvous hashing, at most `count` of them.
  [[nodiscard]] std::vector<Address> OwnersOf(const std::string& workspace,
                                              std::size_t count) const;

  /// Returns whether this entry owns the quota of `workspace`.
  [[nodiscard]] bool IsOwner(const std::string& workspace) const;

  /// Returns whether an entry that is alive in `earlier` no longer is, so that
  /// another one has become the owner of its quotas.
  [[nodiscard]] bool LacksEntryOf(const QuotaMembers& earlier) const;

  /// Returns the number of entries that are alive divided by the number of
  /// those that may be running, from 0 to 1. Entries that are cut off from each
  /// other see complementary shares.
  [[nodiscard]] double LiveShare() const;

  /// Returns the incarnation of this entry, which rises when others had taken
  /// it for dead.
  [[nodiscard]] std::uint64_t OwnIncarnation() const {
    return m_own_incarnation;
  }

 private:
  Address m_self;
  /// In ascending order, this entry included.
  std::vector<Address> m_live;
  std::size_t m_possibly_running = 0;
  std::uint64_t m_own_incarnation = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUOTA_QUOTA_MEMBERS_H_
