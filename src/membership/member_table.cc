#include "membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chicoryvale {
namespace {

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

bool Wins(const Member& update, const Member& over) {
  return std::tie(update.incarnation, update.state) >
         std::tie(over.incarnation, over.state);
}

}  // namespace

MemberTable::Outcome MemberTable::Merge(const MemberUpdate& update,
                                        TimePoint now) {
  const std::string& id = update.member.info.id;
  const auto [entry, is_new] = m_records.try_emplace(id);
  Record& record = entry->second;
  if (!is_new && !Wins(update.member, record.member)) {
    const bool confirms =
        update.member.state == MemberState::kSuspect &&
        update.member.state == record.member.state &&
        update.member.incarnation == record.member.incarnation &&
        update.accuser != record.accuser;
    if (!confirms) return Outcome::kKnown;
    record.accuser = update.accuser;
    return Outcome::kConfirmed;
  }
  record.member = update.member;
  record.accuser = update.accuser;
  record.changed = now;
  UpdateLive(&record);
  return Outcome::kChanged;
}

void MemberTable::UpdateLive(Record* record) {
  const std::string& id = record->member.info.id;
  const bool live = IsLive(record->member.state) && id != m_self_id;
  if (live == (record->live_index != kNotLive)) return;
  if (live) {
    record->live_index = m_live.size();
    m_live.push_back(id);
    return;
  }
  const std::size_t index = std::exchange(record->live_index, kNotLive);
  std::swap(m_live[index], m_live.back());
  m_live.pop_back();
  if (index < m_live.size()) m_records.at(m_live[index]).live_index = index;
}

const MemberTable::Record* MemberTable::Find(const std::string& id) const {
  const auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : &found->second;
}

std::vector<Member> MemberTable::RandomLive(
    std::size_t count, std::mt19937_64* random,
    const std::function<bool(const Member&)>& accept,
    std::size_t tries_per_member) const {
  std::vector<Member> chosen;
  if (m_live.empty()) return chosen;
  // A bounded number of tries keeps the cost constant at any group size.
  std::uniform_int_distribution<std::size_t> index(0, m_live.size() - 1);
  for (std::size_t i = 0; i < count * tries_per_member; ++i) {
    if (chosen.size() == std::min(count, m_live.size())) break;
    const Member& member = m_records.at(m_live[index(*random)]).member;
    const bool again =
        std::ranges::any_of(chosen, [&member](const Member& other) {
          return other.info.id == member.info.id;
        });
    if (!again && accept(member)) chosen.push_back(member);
  }
  return chosen;
}

const MemberTable::Record* MemberTable::RandomDead(
    std::mt19937_64* random) const {
  const std::size_t dead_or_gone = m_records.size() - m_live.size();
  if (dead_or_gone <= 1) return nullptr;
  std::vector<const Record*> dead;
  for (const auto& [id, record] : m_records) {
    const MemberState state = record.member.state;
    if (state == MemberState::kDead || state == MemberState::kLeaseExpired) {
      dead.push_back(&record);
    }
  }
  if (dead.empty()) return nullptr;
  std::uniform_int_distribution<std::size_t> index(0, dead.size() - 1);
  return dead[index(*random)];
}

void MemberTable::Forget(TimePoint limit) {
  std::erase_if(m_records, [limit](const auto& entry) {
    return !HoldsShare(entry.second.member.state) &&
           entry.second.changed < limit;
  });
}

}  // namespace chicoryvale
