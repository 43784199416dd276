#include "routing/replica_list.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/rendezvous.h"
#include "fakes/fake_network.h"
#include "fakes/silent_log.h"
#include "routing/replica_list_messages.h"
#include "routing/replica_list_sync.h"

namespace chicoryvale {
namespace {

ListedReplica Replica(const std::string& id, const std::string& service = "s") {
  ListedReplica replica;
  replica.id = id;
  replica.service = service;
  replica.address = {"10.0.0.1:" + id};
  replica.availability_zone = "a";
  return replica;
}

constexpr TimePoint At(int ms) { return TimePoint{} + milliseconds(ms); }

TEST(ReplicaListTest, UpdatesLeadFromEachRememberedStateToTheLast) {
  ReplicaList source;
  ReplicaList behind;
  source.Replace({Replica("a"), Replica("b")}, At(1));
  EXPECT_TRUE(behind.Apply(source.Since(0, At(1)), At(1)));
  EXPECT_EQ(behind.Version(), source.Version());
  source.Replace({Replica("b", "other"), Replica("c")}, At(2));
  source.Replace({Replica("b", "other"), Replica("c"), Replica("d")}, At(3));
  const ReplicaListUpdate update = source.Since(behind.Version(), At(3));
  EXPECT_FALSE(update.whole);
  EXPECT_EQ(update.changed.size(), 3U);
  EXPECT_EQ(update.gone, std::vector<std::string>{"a"});
  EXPECT_TRUE(behind.Apply(update, At(3)));
  EXPECT_EQ(behind.Version(), source.Version());
  EXPECT_EQ(behind.Replicas(At(3)), source.Replicas(At(3)));
}

TEST(ReplicaListTest, ListsReadApartAgreeOnTheirVersion) {
  ReplicaList one;
  ReplicaList other;
  one.Replace({Replica("a"), Replica("b")}, At(1));
  other.Replace({Replica("b")}, At(2));
  other.Replace({Replica("b"), Replica("a")}, At(3));
  EXPECT_EQ(one.Version(), other.Version());
  EXPECT_TRUE(other.Since(one.Version(), At(3)).same);
}

TEST(ReplicaListTest, AnOlderListChangesNothing) {
  ReplicaList list;
  list.Replace({Replica("a")}, At(5));
  EXPECT_FALSE(list.Replace({Replica("b")}, At(4)));
  EXPECT_EQ(list.Replicas(At(5)).front().id, "a");
}

TEST(ReplicaListTest, AnUnknownStateGetsTheWholeList) {
  ReplicaList list;
  list.Replace({Replica("a")}, At(5));
  EXPECT_TRUE(list.Since(12345, At(5)).whole);
}

TEST(ReplicaListTest, TheTimeUntilAReplicaIsWarmRunsOn) {
  ReplicaList list;
  ListedReplica cold = Replica("a");
  cold.warmup_left = milliseconds(500);
  list.Replace({cold}, At(1000));
  EXPECT_EQ(list.Replicas(At(1200)).front().warmup_left, milliseconds(300));
  EXPECT_EQ(list.Replicas(At(2000)).front().warmup_left, Duration::zero());
}

/// The platform: one list for all, counted reads.
class FakeDirectory : public ReplicaDirectory {
 public:
  FakeDirectory(FakeScheduler* scheduler, std::vector<ListedReplica>* replicas)
      : m_scheduler(scheduler), m_replicas(replicas) {}
  std::size_t reads = 0;
  bool down = false;

 protected:
  void OnRead(Callback callback) override {
    ++reads;
    m_scheduler->Schedule(
        milliseconds(5), [this, callback = std::move(callback)] {
          if (!down) return callback(*m_replicas);
          callback(MakeError(ErrorKind::kUpstreamUnavailable, "down"));
        });
  }

 private:
  FakeScheduler* m_scheduler;
  std::vector<ListedReplica>* m_replicas;
};

/// Members as the test sets them; one for all entries.
class SharedMembers : public MemberView {
 public:
  SharedMembers(MemberInfo self, const std::vector<Member>* members)
      : m_self(std::move(self)), m_members(members) {}

 protected:
  [[nodiscard]] std::vector<Member> OnMembers() const override {
    return *m_members;
  }
  [[nodiscard]] const MemberInfo& OnSelf() const override { return m_self; }
  [[nodiscard]] bool OnOwnLeaseHeld() const override { return true; }
  void OnAddListener(Listener /*listener*/) override {}

 private:
  MemberInfo m_self;
  const std::vector<Member>* m_members;
};

struct ListEntry {
  ListEntry(FakeScheduler* scheduler, FakeNetwork* network,
            const MemberInfo& self, const std::vector<Member>* members,
            std::vector<ListedReplica>* replicas, std::uint64_t seed,
            bool first_start = false)
      : directory(scheduler, replicas),
        peers(network, self.address, scheduler),
        view(self, members),
        sync({scheduler, &directory, &peers, &view, &log},
             {.first_start = first_start}, seed) {
    sync.Start();
  }

  FakeDirectory directory;
  FakePeerTransport peers;
  SharedMembers view;
  SilentLog log;
  ReplicaListSync sync;
};

/// Entries of three zones that follow one list.
class ReplicaListSyncTest : public testing::Test {
 protected:
  static constexpr int kZones = 3;
  static constexpr int kPerZone = 8;
  /// Replicas serve this long after the list shows that they leave.
  static constexpr Duration kDrainTime = seconds(3);

  ReplicaListSyncTest() {
    m_scheduler.RunFor(seconds(100));
    for (int i = 0; i < kZones * kPerZone; ++i) {
      m_members.push_back({Info(i), MemberState::kAlive, 1});
    }
    for (int i = 0; i < kZones * kPerZone; ++i) {
      m_entries.push_back(std::make_unique<ListEntry>(
          &m_scheduler, &m_network, Info(i), &m_members, &m_replicas, i + 1));
    }
    m_scheduler.RunFor(seconds(10));
  }

  static MemberInfo Info(int number) {
    const std::string zone(1, static_cast<char>('a' + number % kZones));
    const std::string name = "10.0.0." + std::to_string(number) + ":7";
    return {name, {name}, zone, MemberRole::kEntry};
  }

  [[nodiscard]] std::size_t Reads() const {
    std::size_t reads = 0;
    for (const auto& entry : m_entries) reads += entry->directory.reads;
    return reads;
  }

  [[nodiscard]] bool Knows(const ListEntry& entry, std::size_t count) const {
    return entry.sync.List().Replicas(m_scheduler.Now()).size() == count;
  }

  [[nodiscard]] bool AllKnow(std::size_t count) const {
    return std::ranges::all_of(
        m_entries, [&](const auto& entry) { return Knows(*entry, count); });
  }

  // The entry that read the platform most.
  ListEntry& Reader() {
    return **std::ranges::max_element(m_entries, {}, [](const auto& entry) {
      return entry->directory.reads;
    });
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  std::vector<ListedReplica> m_replicas = {Replica("a"), Replica("b")};
  std::vector<Member> m_members;
  std::vector<std::unique_ptr<ListEntry>> m_entries;
};

TEST_F(ReplicaListSyncTest, OneEntryReadsForAll) {
  EXPECT_TRUE(AllKnow(2));
  const std::size_t before = Reads();
  m_scheduler.RunFor(seconds(20));
  EXPECT_LE(Reads() - before, 22U);
  EXPECT_GE(Reads() - before, 16U);
}

TEST_F(ReplicaListSyncTest, ChangesReachAllWithinAPeriodAndAQuarter) {
  for (std::size_t count = 3; count < 8; ++count) {
    m_replicas.push_back(Replica("n" + std::to_string(count)));
    m_scheduler.RunFor(milliseconds(1250));
    EXPECT_TRUE(AllKnow(count));
  }
}

TEST_F(ReplicaListSyncTest, ALostReaderIsReplacedWithinTheDrainTime) {
  const Address reader = Reader().view.Self().address;
  m_network.SetState(reader, NodeState::kCrashed);
  for (const auto& entry : m_entries) {
    m_network.SetCut(entry->view.Self().address, reader, true);
  }
  m_replicas.push_back(Replica("c"));
  m_scheduler.RunFor(kDrainTime);
  for (const auto& entry : m_entries) {
    if (entry->view.Self().address == reader) continue;
    EXPECT_TRUE(Knows(*entry, 3));
  }
}

TEST_F(ReplicaListSyncTest, AZoneThatIsCutOffReadsForItself) {
  for (const auto& one : m_entries) {
    for (const auto& other : m_entries) {
      const MemberInfo& from = one->view.Self();
      const MemberInfo& to = other->view.Self();
      if (from.availability_zone == to.availability_zone) continue;
      m_network.SetCut(from.address, to.address, true);
    }
  }
  m_replicas.push_back(Replica("c"));
  m_scheduler.RunFor(kDrainTime);
  EXPECT_TRUE(AllKnow(3));
}

// Load: a power loss of the whole system, while callers are there.
TEST_F(ReplicaListSyncTest, AllThatStartAgainHaveTheListWithinHalfASecond) {
  for (auto& entry : m_entries) entry.reset();
  m_scheduler.RunFor(milliseconds(500));
  for (int i = 0; i < kZones * kPerZone; ++i) {
    m_entries[i] = std::make_unique<ListEntry>(
        &m_scheduler, &m_network, Info(i), &m_members, &m_replicas, i + 50);
  }
  m_scheduler.RunFor(milliseconds(500));
  EXPECT_TRUE(AllKnow(2));
  EXPECT_LE(Reads(), 3U);
}

TEST_F(ReplicaListSyncTest, OneEntryReadsWhenAllStartForTheFirstTime) {
  for (auto& entry : m_entries) entry.reset();
  for (int i = 0; i < kZones * kPerZone; ++i) {
    m_entries[i] =
        std::make_unique<ListEntry>(&m_scheduler, &m_network, Info(i),
                                    &m_members, &m_replicas, i + 50, true);
  }
  m_scheduler.RunFor(milliseconds(3500));
  EXPECT_TRUE(AllKnow(2));
  EXPECT_LE(Reads(), 3U);
}

TEST_F(ReplicaListSyncTest, AnEntryThatStartsAgainFollowsAtOnce) {
  const int number = 4;
  m_entries[number].reset();
  m_scheduler.RunFor(milliseconds(500));
  m_entries[number] = std::make_unique<ListEntry>(
      &m_scheduler, &m_network, Info(number), &m_members, &m_replicas, 99);
  m_scheduler.RunFor(milliseconds(100));
  EXPECT_TRUE(Knows(*m_entries[number], 2));
  EXPECT_EQ(m_entries[number]->directory.reads, 0U);
}

TEST_F(ReplicaListSyncTest, APlatformThatIsDownCostsFewCallsAndIsFoundAgain) {
  for (const auto& entry : m_entries) entry->directory.down = true;
  m_scheduler.RunFor(seconds(10));
  const std::size_t before = Reads();
  m_scheduler.RunFor(seconds(10));
  // Each entry for itself, at most about once a second and a half.
  EXPECT_LE(Reads() - before, m_entries.size() * 8);
  for (const auto& entry : m_entries) entry->directory.down = false;
  m_replicas.push_back(Replica("c"));
  m_scheduler.RunFor(kDrainTime);
  EXPECT_TRUE(AllKnow(3));
}

TEST_F(ReplicaListSyncTest, DamagedQuestionsGetNoList) {
  std::optional<std::string> answer;
  m_entries[0]->peers.Call(
      Info(1).address, PeerChannel::kReplicaList, "damaged", seconds(1),
      [&](const Result<std::string>& bytes) { answer = bytes.value(); });
  m_scheduler.RunFor(seconds(1));
  ReplicaListAnswer decoded;
  ASSERT_TRUE(answer && Decode(*answer, &decoded));
  EXPECT_FALSE(decoded.has_list);
}

/// A platform that answers few calls a second and refuses the others.
class BusyDirectory : public ReplicaDirectory {
 public:
  /// Reads that all entries together get in a second.
  static constexpr int kReadsPerSecond = 90;

  BusyDirectory(FakeScheduler* scheduler,
                const std::vector<ListedReplica>* replicas,
                std::vector<TimePoint>* reads)
      : m_scheduler(scheduler), m_replicas(replicas), m_reads(reads) {}

 protected:
  void OnRead(Callback callback) override {
    const TimePoint now = m_scheduler->Now();
    std::erase_if(*m_reads,
                  [now](TimePoint read) { return now - read > seconds(1); });
    const bool busy = m_reads->size() >= kReadsPerSecond;
    if (!busy) m_reads->push_back(now);
    // Some pages, one after the other.
    m_scheduler->Schedule(
        milliseconds(150), [this, busy, callback = std::move(callback)] {
          if (!busy) return callback(*m_replicas);
          callback(MakeError(ErrorKind::kOverloaded, "too many calls"));
        });
  }

 private:
  FakeScheduler* m_scheduler;
  const std::vector<ListedReplica>* m_replicas;
  std::vector<TimePoint>* m_reads;
};

// Load: a large group whose readers freeze. Entries that all ask the platform
// at once are refused, and are late with what leaves.
TEST(ReplicaListLoadTest, ALargeGroupWhoseReadersFreezeKnowsWhatLeavesInTime) {
  constexpr int kEntries = 104;
  constexpr Duration kDrainTime = seconds(4);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeScheduler scheduler;
    FakeNetwork network(&scheduler, seed);
    scheduler.RunFor(seconds(100));
    std::vector<ListedReplica> replicas = {Replica("a")};
    std::vector<TimePoint> reads;
    std::vector<Member> members;
    for (int i = 0; i < kEntries; ++i) {
      const std::string name = "10.0.0." + std::to_string(i) + ":7";
      const std::string zone(1, static_cast<char>('a' + i % 4));
      members.push_back(
          {{name, {name}, zone, MemberRole::kEntry}, MemberState::kAlive, 1});
    }
    std::vector<std::unique_ptr<FakePeerTransport>> peers;
    std::vector<std::unique_ptr<SharedMembers>> views;
    std::vector<std::unique_ptr<ReplicaListSync>> syncs;
    BusyDirectory directory(&scheduler, &replicas, &reads);
    SilentLog log;
    for (int i = 0; i < kEntries; ++i) {
      const MemberInfo& info = members[i].info;
      peers.push_back(std::make_unique<FakePeerTransport>(
          &network, info.address, &scheduler));
      views.push_back(std::make_unique<SharedMembers>(info, &members));
      syncs.push_back(std::make_unique<ReplicaListSync>(
          ReplicaListSync::Ports{&scheduler, &directory, peers[i].get(),
                                 views[i].get(), &log},
          ReplicaListOptions{}, seed * 1000 + i));
      syncs[i]->Start();
    }
    scheduler.RunFor(seconds(10));
    // All that others follow, and one more of each zone.
    std::set<Address> frozen;
    for (int round = 0; round < 2; ++round) {
      for (int zone = 0; zone < 4; ++zone) {
        const Member* first = nullptr;
        for (int i = zone; i < kEntries; i += 4) {
          if (frozen.contains(members[i].info.address)) continue;
          if (first == nullptr ||
              RendezvousWeight(members[i].info.address.host_port, 1) >
                  RendezvousWeight(first->info.address.host_port, 1)) {
            first = &members[i];
          }
        }
        frozen.insert(first->info.address);
      }
    }
    for (const Address& address : frozen) {
      network.SetState(address, NodeState::kFrozen);
    }
    replicas.push_back(Replica("b"));
    scheduler.RunFor(kDrainTime);
    const auto behind = std::ranges::count_if(syncs, [&](const auto& sync) {
      const auto index = &sync - syncs.data();
      return !frozen.contains(members[index].info.address) &&
             sync->List().Replicas(scheduler.Now()).size() != 2;
    });
    EXPECT_EQ(behind, 0) << "seed " << seed;
  }
}

}  // namespace
}  // namespace chicoryvale
