#include "quota/quota_members.h"

#include <algorithm>
#include <functional>

#include "base/hash.h"
#include "base/rendezvous.h"

namespace chicoryvale {

QuotaMembers::QuotaMembers(const MemberView& members)
    : m_self(members.Self().address) {
  m_live.push_back(m_self);
  m_possibly_running = 1;
  for (const Member& member : members.Members()) {
    if (member.info.role != MemberRole::kEntry) continue;
    if (member.info.address == m_self) {
      m_own_incarnation = member.incarnation;
      continue;
    }
    if (!OwnsConnectionShare(member.state)) continue;
    ++m_possibly_running;
    // A suspected entry may only be slow. If it lost its quotas, two entries
    // would grant them as soon as it refutes the suspicion.
    const bool is_live = member.state == MemberState::kAlive ||
                         member.state == MemberState::kSuspect;
    if (is_live) m_live.push_back(member.info.address);
  }
  std::ranges::sort(m_live, {}, &Address::host_port);
}

bool QuotaMembers::LacksEntryOf(const QuotaMembers& earlier) const {
  return !std::ranges::includes(m_live, earlier.m_live, {}, &Address::host_port,
                                &Address::host_port);
}

std::vector<Address> QuotaMembers::OwnersOf(const std::string& workspace,
                                            std::size_t count) const {
  const std::uint64_t key = HashBytes(workspace);
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

bool QuotaMembers::IsOwner(const std::string& workspace) const {
  return OwnersOf(workspace, 1).front() == m_self;
}

double QuotaMembers::LiveShare() const {
  return static_cast<double>(m_live.size()) /
         static_cast<double>(m_possibly_running);
}

}  // namespace chicoryvale
