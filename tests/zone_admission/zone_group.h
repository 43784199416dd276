#ifndef CHICORYVALE_TESTS_ZONE_ADMISSION_ZONE_GROUP_H_
#define CHICORYVALE_TESTS_ZONE_ADMISSION_ZONE_GROUP_H_

#include <memory>
#include <string>
#include <vector>

#include "fakes/changing_members.h"
#include "fakes/fake_network.h"
#include "fakes/fake_scheduler.h"
#include "fakes/shared_gossip.h"
#include "membership/entry_members.h"
#include "zone_admission/zone_admission_client.h"

namespace chicoryvale {

/// The entries of a zone, and one of another, on virtual time.
class ZoneGroup {
 public:
  struct Entry {
    std::unique_ptr<FakePeerTransport> peers;
    std::unique_ptr<ChangingMembers> members;
    std::unique_ptr<ZoneAdmissionClient> client;
  };

  explicit ZoneGroup(int entry_count) {
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(entry_count) + 1);
    for (int i = 0; i <= entry_count; ++i) {
      members.push_back({Info(i, entry_count), MemberState::kAlive, 1});
    }
    m_entries.resize(members.size());
    for (int i = 0; i <= entry_count; ++i) {
      Entry& entry = At(i);
      const MemberInfo info = Info(i, entry_count);
      entry.peers = std::make_unique<FakePeerTransport>(
          &m_network, info.address, &m_scheduler);
      entry.members = std::make_unique<ChangingMembers>(info, members);
      entry.client = std::make_unique<ZoneAdmissionClient>(
          ZoneAdmissionClient::Ports{&m_scheduler, entry.peers.get(),
                                     entry.members.get(), &m_gossip},
          static_cast<std::uint64_t>(i));
    }
    m_scheduler.RunFor(seconds(10));
  }

  Entry& At(int index) { return m_entries[static_cast<std::size_t>(index)]; }
  FakeScheduler& scheduler() { return m_scheduler; }
  FakeNetwork& network() { return m_network; }

  static Address AddressOf(int index) {
    return {"10.0.0." + std::to_string(index) + ":1"};
  }

  /// Returns the entry that owns the group `name`.
  int OwnerOf(const std::string& name) {
    const Address owner =
        EntryMembers(*At(0).members, "a").OwnersOf(name, 1).front();
    int index = 0;
    while (AddressOf(index) != owner) ++index;
    return index;
  }

 private:
  static MemberInfo Info(int index, int entry_count) {
    return {std::to_string(index), AddressOf(index),
            index < entry_count ? "a" : "b", MemberRole::kEntry};
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  SharedGossip m_gossip;
  std::vector<Entry> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_ZONE_ADMISSION_ZONE_GROUP_H_
