#ifndef CHICORYVALE_SRC_PORTS_MEMBER_VIEW_H_
#define CHICORYVALE_SRC_PORTS_MEMBER_VIEW_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// Last known state of a member. Of two reports about the same incarnation, the
/// state that is later in this order wins.
enum class MemberState : std::uint8_t {
  kAlive,
  /// Did not answer probes. The member may still refute the suspicion.
  kSuspect,
  /// Did not refute the suspicion before its timeout. The member may be
  /// partitioned and still serving requests, so it still owns its connection
  /// share.
  kDead,
  /// Dead, and a quorum of its lease group reported that the grants of its
  /// lease expired. It therefore no longer uses its leased connection share.
  kLeaseExpired,
  /// Announced that it leaves.
  kLeft,
};

inline constexpr std::array<std::string_view, 5> kMemberStateNames = {
    "alive", "suspect", "dead", "lease_expired", "left"};

/// Which program a member runs.
enum class MemberRole : std::uint8_t { kEntry, kControl };

inline constexpr std::array<std::string_view, 2> kMemberRoleNames = {"entry",
                                                                     "control"};

/// Description of a member, announced by the member itself.
struct MemberInfo {
  /// Unique among the members; unchanged by restarts of the VM.
  std::string id;
  Address address;
  std::string availability_zone;
  MemberRole role = MemberRole::kEntry;
  bool operator==(const MemberInfo&) const = default;
};

/// One member as this process knows it.
struct Member {
  MemberInfo info;
  MemberState state = MemberState::kAlive;
  std::uint64_t incarnation = 0;
  bool operator==(const Member&) const = default;
};

/// Returns whether a member in `state` still owns its connection share. Other
/// members use the share only if this is false.
constexpr bool OwnsConnectionShare(MemberState state) {
  return state != MemberState::kLeaseExpired && state != MemberState::kLeft;
}

/// Interface to the members of the group. Not thread safe.
class MemberView {
 public:
  using Listener = std::function<void()>;
  virtual ~MemberView() = default;

  /// Returns all known members, this process included, ordered by id.
  [[nodiscard]] std::vector<Member> Members() const { return OnMembers(); }

  /// Returns the description of this process.
  [[nodiscard]] const MemberInfo& Self() const { return OnSelf(); }

  /// Returns whether this process holds its own lease now. Without the lease,
  /// the process uses only its fixed share of the upstreams' connection limits,
  /// which it owns permanently.
  [[nodiscard]] bool OwnLeaseHeld() const { return OnOwnLeaseHeld(); }

  /// Adds a function that is called after each change of a member, and when
  /// this process acquires its own lease or detects that the lease is lost. The
  /// function must not change the members.
  void AddListener(Listener listener) { OnAddListener(std::move(listener)); }

 protected:
  [[nodiscard]] virtual std::vector<Member> OnMembers() const = 0;
  [[nodiscard]] virtual const MemberInfo& OnSelf() const = 0;
  [[nodiscard]] virtual bool OnOwnLeaseHeld() const = 0;
  virtual void OnAddListener(Listener listener) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_MEMBER_VIEW_H_
