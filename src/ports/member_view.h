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

/// What a member is believed to be. Of two reports of one incarnation the
/// later state in this order wins.
enum class MemberState : std::uint8_t {
  kAlive,
  /// Did not answer probes; may still refute.
  kSuspect,
  /// Unseen for long. May be cut off and at work: its share is its own.
  kDead,
  /// Its lease ran out and it has given up its leased share.
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

/// What a member says of itself.
struct MemberInfo {
  /// Unique among the members; stays the same over restarts of one VM.
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

/// Returns whether the share of connections of a member in `state` is still
/// its own. Others take the share only when this is false.
constexpr bool OwnsConnectionShare(MemberState state) {
  return state != MemberState::kLeaseExpired && state != MemberState::kLeft;
}

/// Port: the members of the group. Not thread safe.
class MemberView {
 public:
  using Listener = std::function<void()>;
  virtual ~MemberView() = default;

  /// Returns all known members, this process included, ordered by id.
  [[nodiscard]] std::vector<Member> Members() const { return OnMembers(); }

  /// Returns this process.
  [[nodiscard]] const MemberInfo& Self() const { return OnSelf(); }

  /// Returns whether this process's lease holds now. Without it, it uses no
  /// more of the upstreams' limits than its fixed part.
  [[nodiscard]] bool OwnLeaseHeld() const { return OnOwnLeaseHeld(); }

  /// Adds a function that is called after each change of a member, and when
  /// the own lease is taken or found lost. It may not change the members.
  void AddListener(Listener listener) { OnAddListener(std::move(listener)); }

 protected:
  [[nodiscard]] virtual std::vector<Member> OnMembers() const = 0;
  [[nodiscard]] virtual const MemberInfo& OnSelf() const = 0;
  [[nodiscard]] virtual bool OnOwnLeaseHeld() const = 0;
  virtual void OnAddListener(Listener listener) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_MEMBER_VIEW_H_
