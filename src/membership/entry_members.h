#ifndef CHICORYVALE_SRC_MEMBERSHIP_ENTRY_MEMBERS_H_
#define CHICORYVALE_SRC_MEMBERSHIP_ENTRY_MEMBERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "ports/member_view.h"

namespace chicoryvale {

/// The entries among which work is divided without agreement, by rendezvous
/// hashing, as this entry knows them. Not thread safe.
class EntryMembers {
 public:
  /// Reads the entries of `members`, this one included: all of them, or those
  /// of one availability zone.
  explicit EntryMembers(const MemberView& members,
                        const std::optional<std::string>& zone = std::nullopt);

  [[nodiscard]] const Address& Self() const { return m_self; }

  /// Returns the entries that are alive in the order in which they own `name`,
  /// the owner first, at most `count` of them.
  [[nodiscard]] std::vector<Address> OwnersOf(const std::string& name,
                                              std::size_t count) const;

  /// Returns whether this entry owns `name`.
  [[nodiscard]] bool IsOwner(const std::string& name) const;

  /// Returns the position of this entry among the owners of `name`, 0 for the
  /// owner.
  [[nodiscard]] std::size_t RankOf(const std::string& name) const;

  /// Returns the number of entries that are alive, at least 1.
  [[nodiscard]] std::size_t CountLive() const { return m_live.size(); }

  /// Returns whether an entry that is alive in `earlier` no longer is, so that
  /// another one owns what it owned.
  [[nodiscard]] bool LacksEntryOf(const EntryMembers& earlier) const;

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

#endif  // CHICORYVALE_SRC_MEMBERSHIP_ENTRY_MEMBERS_H_
