#include "membership/entry_members.h"

#include <algorithm>
#include <functional>

#include "base/hash.h"
#include "base/rendezvous.h"

namespace chicoryvale {

EntryMembers::EntryMembers(const MemberView& members,
                           const std::optional<std::string>& zone)
    : m_self(members.Self().address) {
  m_live.push_back(m_self);
  m_possibly_running = 1;
  for (const Member& member : members.Members()) {
    if (member.info.role != MemberRole::kEntry) continue;
    if (member.info.address == m_self) {
      m_own_incarnation = member.incarnation;
      continue;
    }
    if (zone && member.info.availability_zone != *zone) continue;
    if (!OwnsConnectionShare(member.state)) continue;
    ++m_possibly_running;
    // A suspected entry may only be slow. If it lost what it owns, two entries
    // would own it as soon as it refutes the suspicion.
    const bool is_live = member.state == MemberState::kAlive ||
                         member.state == MemberState::kSuspect;
    if (is_live) m_live.push_back(member.info.address);
  }
  std::ranges::sort(m_live, {}, &Address::host_port);
}

bool EntryMembers::LacksEntryOf(const EntryMembers& earlier) const {
  return !std::ranges::includes(m_live, earlier.m_live, {}, &Address::host_port,
                                &Address::host_port);
}

std::vector<Address> EntryMembers::OwnersOf(const std::string& name,
                                            std::size_t count) const {
  const std::uint64_t key = HashBytes(name);
  std::vector<Address> owners(std::min(count, m_live.size()));
  std::ranges::partial_sort_copy(
      m_live, owners, std::ranges::greater{},
      [key](const Address& entry) {
        return RendezvousWeight(entry.host_port, key);
      },
      [key](const Address& entry) {
        return RendezvousWeight(entry.host_port, key);
      });
  return owners;
}

bool EntryMembers::IsOwner(const std::string& name) const {
  return OwnersOf(name, 1).front() == m_self;
}

std::size_t EntryMembers::RankOf(const std::string& name) const {
  const std::uint64_t key = HashBytes(name);
  const std::uint64_t own = RendezvousWeight(m_self.host_port, key);
  return static_cast<std::size_t>(
      std::ranges::count_if(m_live, [key, own](const Address& entry) {
        return RendezvousWeight(entry.host_port, key) > own;
      }));
}

double EntryMembers::LiveShare() const {
  return static_cast<double>(m_live.size()) /
         static_cast<double>(m_possibly_running);
}

}  // namespace chicoryvale
