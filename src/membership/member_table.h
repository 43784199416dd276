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

/// All known members. Merging updates is commutative and idempotent: the
/// greater incarnation wins, then the later state. Not thread safe.
class MemberTable {
 public:
  /// What an update did.
  enum class Outcome : std::uint8_t {
    kKnown,
    /// Another member suspects what was suspected already.
    kConfirmed,
    kChanged,
  };

  struct Record {
    Member member;
    std::string accuser;
    TimePoint changed{};
    /// Place in the list of live members; kNotLive for others.
    std::size_t live_index = kNotLive;
  };
  static constexpr std::size_t kNotLive = static_cast<std::size_t>(-1);

  /// `self_id` is kept out of the random choices.
  explicit MemberTable(std::string self_id) : m_self_id(std::move(self_id)) {}

  Outcome Merge(const MemberUpdate& update, TimePoint now);

  /// Returns the record of `id`, or nullptr.
  [[nodiscard]] const Record* Find(const std::string& id) const;

  [[nodiscard]] const std::map<std::string, Record>& records() const {
    return m_records;
  }

  /// Ids of the members, without this process, that are alive or suspect.
  [[nodiscard]] const std::vector<std::string>& live() const { return m_live; }

  /// Returns up to `count` different live members at random that `accept`.
  std::vector<Member> RandomLive(
      std::size_t count, std::mt19937_64* random,
      const std::function<bool(const Member&)>& accept,
      std::size_t tries_per_member = 4) const;

  /// Returns a member at random that is believed dead and may return, or
  /// nullptr.
  const Record* RandomDead(std::mt19937_64* random) const;

  /// Removes members that are in no part of the group any more and changed
  /// before `limit`. Members whose share is their own always stay.
  void Forget(TimePoint limit);

 private:
  void UpdateLive(Record* record);

  std::string m_self_id;
  std::map<std::string, Record> m_records;
  std::vector<std::string> m_live;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_MEMBER_TABLE_H_
