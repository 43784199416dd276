#include "membership/member_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chicoryvale {
namespace {

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

bool Supersedes(const Member& update, const Member& current) {
  return std::tie(update.incarnation, update.state) >
         std::tie(current.incarnation, current.state);
}

}  // namespace

MemberTable::MergeResult MemberTable::Merge(const MemberUpdate& update,
                                            TimePoint now) {
  const std::string& id = update.member.info.id;
  const auto [entry, is_new] = m_records.try_emplace(id);
  Record& record = entry->second;
  if (!is_new && !Supersedes(update.member, record.member)) {
    const bool confirms =
        update.member.state == MemberState::kSuspect &&
        update.member.state == record.member.state &&
        update.member.incarnation == record.member.incarnation &&
        update.accuser != record.accuser;
    if (!confirms) return MergeResult::kUnchanged;
    record.accuser = update.accuser;
    return MergeResult::kConfirmed;
  }
  record.member = update.member;
  record.accuser = update.accuser;
  record.changed_at = now;
  UpdateLiveIndex(&record);
  return MergeResult::kChanged;
}

void MemberTable::UpdateLiveIndex(Record* record) {
  const std::string& id = record->member.info.id;
  const bool is_live = IsLive(record->member.state) && id != m_self_id;
  if (is_live == (record->live_index != kNotLive)) return;
  if (is_live) {
    record->live_index = m_live_ids.size();
    m_live_ids.push_back(id);
    return;
  }
  const std::size_t gap = std::exchange(record->live_index, kNotLive);
  std::swap(m_live_ids[gap], m_live_ids.back());
  m_live_ids.pop_back();
  if (gap < m_live_ids.size()) m_records.at(m_live_ids[gap]).live_index = gap;
}

const MemberTable::Record* MemberTable::Find(const std::string& id) const {
  const auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : &found->second;
}

std::vector<Member> MemberTable::RandomLive(
    std::size_t count, std::mt19937_64* random,
    const std::function<bool(const Member&)>& accept,
    std::size_t max_draws_per_member) const {
  std::vector<Member> chosen;
  if (m_live_ids.empty()) return chosen;
  // Bounding the number of draws keeps the cost independent of the group size.
  std::uniform_int_distribution<std::size_t> index(0, m_live_ids.size() - 1);
  for (std::size_t i = 0; i < count * max_draws_per_member; ++i) {
    if (chosen.size() == std::min(count, m_live_ids.size())) break;
    const Member& member = m_records.at(m_live_ids[index(*random)]).member;
    const bool already_chosen =
        std::ranges::any_of(chosen, [&member](const Member& other) {
          return other.info.id == member.info.id;
        });
    if (!already_chosen && accept(member)) chosen.push_back(member);
  }
  return chosen;
}

const MemberTable::Record* MemberTable::RandomDead(
    std::mt19937_64* random) const {
  const std::size_t not_live_count = m_records.size() - m_live_ids.size();
  if (not_live_count <= 1) return nullptr;
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

void MemberTable::RemoveInactive(TimePoint changed_before) {
  std::erase_if(m_records, [changed_before](const auto& entry) {
    return !OwnsConnectionShare(entry.second.member.state) &&
           entry.second.changed_at < changed_before;
  });
}

}  // namespace chicoryvale
