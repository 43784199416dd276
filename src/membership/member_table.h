#ifndef CHICORYVALE_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define CHICORYVALE_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/packet.h"
#include "ports/member_view.h"

namespace chicoryvale {

/// Table of all known members. Merging updates is commutative and idempotent:
/// the update with the greater incarnation wins, then the one with the later
/// state in the order of MemberState. Not thread safe.
class MemberTable {
 public:
  /// The effect of merging an update.
  enum class MergeResult : std::uint8_t {
    kUnchanged,
    /// Another member confirmed an existing suspicion.
    kConfirmed,
    kChanged,
  };

  struct Record {
    Member member;
    std::string accuser;
    TimePoint changed_at{};
    /// Index in `live_ids()`; kNotLive for members that are not live.
    std::size_t live_index = kNotLive;
  };
  static constexpr std::size_t kNotLive = static_cast<std::size_t>(-1);

  /// `self_id` is the id of this process, which is never listed as live.
  explicit MemberTable(std::string self_id) : m_self_id(std::move(self_id)) {}

  MergeResult Merge(const MemberUpdate& update, TimePoint now);

  /// Returns the record of `id`, or nullptr.
  [[nodiscard]] const Record* Find(const std::string& id) const;

  [[nodiscard]] const std::map<std::string, Record>& records() const {
    return m_records;
  }

  /// Returns the ids of the members that are alive or suspect, without this
  /// process.
  [[nodiscard]] const std::vector<std::string>& live_ids() const {
    return m_live_ids;
  }

  /// Returns up to `count` distinct random live members for which `accept`
  /// returns true. The number of draws is at most `count` times
  /// `max_draws_per_member`, so fewer members may be returned.
  std::vector<Member> RandomLive(
      std::size_t count, std::mt19937_64* random,
      const std::function<bool(const Member&)>& accept,
      std::size_t max_draws_per_member = 4) const;

  /// Returns a random member that is believed dead or whose lease expired and
  /// that may therefore return; nullptr if there is none.
  const Record* RandomDead(std::mt19937_64* random) const;

  /// Removes the members that hold no share any more and whose last change was
  /// before `changed_before`. Members that still hold their share always stay.
  void RemoveInactive(TimePoint changed_before);

 private:
  // Adds or removes the member of `record` in the list of live members.
  void UpdateLiveIndex(Record* record);

  std::string m_self_id;
  std::map<std::string, Record> m_records;
  std::vector<std::string> m_live_ids;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_MEMBER_TABLE_H_
