#include "routing/replica_list.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/rendezvous.h"
#include "fakes/fake_network.h"
#include "fakes/recording_log.h"
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

TEST(ReplicaListTest, UpdateLeadsFromARememberedVersionToTheCurrentOne) {
  ReplicaList source;
  ReplicaList follower;
  source.Replace({Replica("a"), Replica("b")}, At(1));
  EXPECT_TRUE(follower.Apply(source.UpdateSince(0, At(1)), At(1)));
  EXPECT_EQ(follower.Version(), source.Version());
  source.Replace({Replica("b", "other"), Replica("c")}, At(2));
  source.Replace({Replica("b", "other"), Replica("c"), Replica("d")}, At(3));
  const ReplicaListUpdate update =
      source.UpdateSince(follower.Version(), At(3));
  EXPECT_FALSE(update.full);
  EXPECT_EQ(update.updated.size(), 3U);
  EXPECT_EQ(update.removed_ids, std::vector<std::string>{"a"});
  EXPECT_TRUE(follower.Apply(update, At(3)));
  EXPECT_EQ(follower.Version(), source.Version());
  EXPECT_EQ(follower.Replicas(At(3)), source.Replicas(At(3)));
}

TEST(ReplicaListTest, IndependentlyReadListsHaveTheSameVersion) {
  ReplicaList one;
  ReplicaList other;
  one.Replace({Replica("a"), Replica("b")}, At(1));
  other.Replace({Replica("b")}, At(2));
  other.Replace({Replica("b"), Replica("a")}, At(3));
  EXPECT_EQ(one.Version(), other.Version());
  EXPECT_TRUE(other.UpdateSince(one.Version(), At(3)).unchanged);
}

// A follower with the version of its source gets no update. If the sum of many
// small changes of the hashes is 0, it keeps sending to replicas that drain.
TEST(ReplicaListTest, ListsWithDifferentDrainingReplicasHaveDifferentVersions) {
  constexpr std::size_t kReplicas = 1000;
  constexpr std::size_t kDrainingPerList = 100;
  constexpr int kLists = 2000;
  std::vector<ListedReplica> replicas;
  replicas.reserve(kReplicas);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    replicas.push_back(Replica("i-" + std::to_string(i * 7919)));
  }
  std::set<std::uint64_t> versions;
  std::mt19937_64 random(1);
  for (int i = 0; i < kLists; ++i) {
    std::vector<ListedReplica> listed = replicas;
    for (std::size_t k = 0; k < kDrainingPerList; ++k) {
      listed[random() % kReplicas].draining = true;
    }
    ReplicaList list;
    list.Replace(listed, At(1));
    versions.insert(list.Version());
  }
  EXPECT_EQ(versions.size(), static_cast<std::size_t>(kLists));
}

TEST(ReplicaListTest, AnOlderListIsIgnored) {
  ReplicaList list;
  list.Replace({Replica("a")}, At(5));
  EXPECT_FALSE(list.Replace({Replica("b")}, At(4)));
  EXPECT_EQ(list.Replicas(At(5)).front().id, "a");
}

TEST(ReplicaListTest, AnUnknownVersionGetsTheFullList) {
  ReplicaList list;
  list.Replace({Replica("a")}, At(5));
  EXPECT_TRUE(list.UpdateSince(12345, At(5)).full);
}

// The list of a replica that became cold again under its id differs only in its
// warmup time, and was taken for unchanged: the replica got the full load.
TEST(ReplicaListTest, AReplicaThatBecomesColdAgainIsKnownToAllEntries) {
  ReplicaList source;
  ReplicaList follower;
  ReplicaList second_follower;
  ListedReplica replica = Replica("a");
  source.Replace({replica, Replica("b")}, At(1000));
  follower.Apply(source.UpdateSince(0, At(0)), At(1000));
  second_follower.Apply(follower.UpdateSince(0, At(0)), At(1000));
  // It becomes cold, and later once more while it is cold.
  for (const int read_at_ms : {2000, 12'000}) {
    replica.warmup_left = seconds(30);
    EXPECT_TRUE(source.Replace({replica, Replica("b")}, At(read_at_ms)));
    EXPECT_TRUE(follower.Apply(
        source.UpdateSince(follower.Version(), follower.ReadAt()),
        At(read_at_ms)));
    EXPECT_TRUE(
        second_follower.Apply(follower.UpdateSince(second_follower.Version(),
                                                   second_follower.ReadAt()),
                              At(read_at_ms)));
    for (const ReplicaList* list : {&source, &follower, &second_follower}) {
      const auto replicas = list->Replicas(At(read_at_ms + 1000));
      EXPECT_EQ(replicas.front().warmup_left, seconds(29));
      EXPECT_EQ(replicas.back().warmup_left, Duration::zero());
      EXPECT_EQ(list->Version(), source.Version());
    }
  }
}

// Each read of the same warmup differs by the lag of the list.
TEST(ReplicaListTest, AReplicaThatStaysColdIsNoChange) {
  ReplicaList list;
  ListedReplica replica = Replica("a");
  for (int second = 0; second < 20; ++second) {
    const int lag_ms = second % 2 == 0 ? 0 : 400;
    replica.warmup_left = seconds(30 - second) + milliseconds(lag_ms);
    EXPECT_EQ(list.Replace({replica}, At(1000 + 1000 * second)), second == 0);
  }
  EXPECT_TRUE(list.UpdateSince(list.Version(), At(0)).cold_again.empty());
}

TEST(ReplicaListTest, ADelayedRequestStillGetsWhatBecameColdAgain) {
  ReplicaList source;
  ListedReplica replica = Replica("a");
  source.Replace({replica}, At(1000));
  replica.warmup_left = seconds(30);
  source.Replace({replica}, At(2000));
  // The age that the request states makes its list look newer than it is.
  EXPECT_EQ(source.UpdateSince(source.Version(), At(4000)).cold_again.size(),
            1U);
  EXPECT_TRUE(
      source.UpdateSince(source.Version(), At(9000)).cold_again.empty());
}

// An entry that follows another one must not take a replica for warm earlier
// than that one does.
TEST(ReplicaListTest, TheWarmupEndsAtTheSameTimeAtAllEntries) {
  ReplicaList source;
  ReplicaList follower;
  ListedReplica replica = Replica("a");
  replica.warmup_left = seconds(30);
  source.Replace({replica}, At(1000));
  follower.Apply(source.UpdateSince(0, At(0)), At(1000));
  EXPECT_EQ(follower.Replicas(At(30'900)).front().warmup_left,
            milliseconds(100));
}

TEST(ReplicaListTest, RemainingWarmupTimeDecreases) {
  ReplicaList list;
  ListedReplica cold = Replica("a");
  cold.warmup_left = milliseconds(500);
  list.Replace({cold}, At(1000));
  EXPECT_EQ(list.Replicas(At(1200)).front().warmup_left, milliseconds(300));
  EXPECT_EQ(list.Replicas(At(2000)).front().warmup_left, Duration::zero());
}

/// Platform with one list for all entries that counts the reads.
class FakeDirectory : public ReplicaDirectory {
 public:
  FakeDirectory(FakeScheduler* scheduler, std::vector<ListedReplica>* replicas)
      : m_scheduler(scheduler), m_replicas(replicas) {}
  std::size_t reads = 0;
  bool unavailable = false;

 protected:
  void OnRead(Callback callback) override {
    ++reads;
    m_scheduler->Schedule(
        milliseconds(5), [this, callback = std::move(callback)] {
          if (!unavailable) return callback(*m_replicas);
          callback(MakeError(ErrorKind::kUpstreamUnavailable, "down"));
        });
  }

 private:
  FakeScheduler* m_scheduler;
  std::vector<ListedReplica>* m_replicas;
};

/// Members that the test sets and all entries share.
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

struct TestListEntry {
  TestListEntry(FakeScheduler* scheduler, FakeNetwork* network,
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
  RecordingLog log;
  ReplicaListSync sync;
};

/// Entries of three availability zones that follow one list.
class ReplicaListSyncTest : public testing::Test {
 protected:
  static constexpr int kZones = 3;
  static constexpr int kEntriesPerZone = 8;
  /// Time for which replicas continue to serve after they are listed as
  /// draining.
  static constexpr Duration kDrainTime = seconds(3);

  ReplicaListSyncTest() {
    m_scheduler.RunFor(seconds(100));
    for (int i = 0; i < kZones * kEntriesPerZone; ++i) {
      m_members.push_back({Info(i), MemberState::kAlive, 1});
    }
    for (int i = 0; i < kZones * kEntriesPerZone; ++i) {
      m_entries.push_back(std::make_unique<TestListEntry>(
          &m_scheduler, &m_network, Info(i), &m_members, &m_replicas, i + 1));
    }
    m_scheduler.RunFor(seconds(10));
  }

  static MemberInfo Info(int number) {
    const std::string zone(1, static_cast<char>('a' + number % kZones));
    const std::string name = "10.0.0." + std::to_string(number) + ":7";
    return {name, {name}, zone, MemberRole::kEntry};
  }

  [[nodiscard]] std::size_t TotalReads() const {
    std::size_t reads = 0;
    for (const auto& entry : m_entries) reads += entry->directory.reads;
    return reads;
  }

  [[nodiscard]] bool HasReplicas(const TestListEntry& entry,
                                 std::size_t count) const {
    return entry.sync.List().Replicas(m_scheduler.Now()).size() == count;
  }

  [[nodiscard]] bool AllHaveReplicas(std::size_t count) const {
    return std::ranges::all_of(m_entries, [&](const auto& entry) {
      return HasReplicas(*entry, count);
    });
  }

  // Returns the entry with the most reads of the platform.
  TestListEntry& Reader() {
    return **std::ranges::max_element(m_entries, {}, [](const auto& entry) {
      return entry->directory.reads;
    });
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  std::vector<ListedReplica> m_replicas = {Replica("a"), Replica("b")};
  std::vector<Member> m_members;
  std::vector<std::unique_ptr<TestListEntry>> m_entries;
};

TEST_F(ReplicaListSyncTest, OneEntryReadsThePlatformForAll) {
  EXPECT_TRUE(AllHaveReplicas(2));
  const std::size_t before = TotalReads();
  m_scheduler.RunFor(seconds(20));
  EXPECT_LE(TotalReads() - before, 22U);
  EXPECT_GE(TotalReads() - before, 16U);
}

TEST_F(ReplicaListSyncTest, ChangesReachAllEntriesWithinOneAndAQuarterPeriods) {
  for (std::size_t count = 3; count < 8; ++count) {
    m_replicas.push_back(Replica("n" + std::to_string(count)));
    m_scheduler.RunFor(milliseconds(1250));
    EXPECT_TRUE(AllHaveReplicas(count));
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
    EXPECT_TRUE(HasReplicas(*entry, 3));
  }
}

TEST_F(ReplicaListSyncTest, APartitionedZoneReadsThePlatformItself) {
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
  EXPECT_TRUE(AllHaveReplicas(3));
}

// Guards against slow recovery after a power loss of the whole system: callers
// are present as soon as the entries restart.
TEST_F(ReplicaListSyncTest, RestartedEntriesHaveTheListWithinHalfASecond) {
  for (auto& entry : m_entries) entry.reset();
  m_scheduler.RunFor(milliseconds(500));
  for (int i = 0; i < kZones * kEntriesPerZone; ++i) {
    m_entries[i] = std::make_unique<TestListEntry>(
        &m_scheduler, &m_network, Info(i), &m_members, &m_replicas, i + 50);
  }
  m_scheduler.RunFor(milliseconds(500));
  EXPECT_TRUE(AllHaveReplicas(2));
  EXPECT_LE(TotalReads(), 3U);
}

TEST_F(ReplicaListSyncTest,
       OneEntryReadsThePlatformWhenAllStartForTheFirstTime) {
  for (auto& entry : m_entries) entry.reset();
  for (int i = 0; i < kZones * kEntriesPerZone; ++i) {
    m_entries[i] =
        std::make_unique<TestListEntry>(&m_scheduler, &m_network, Info(i),
                                        &m_members, &m_replicas, i + 50, true);
  }
  m_scheduler.RunFor(milliseconds(3500));
  EXPECT_TRUE(AllHaveReplicas(2));
  EXPECT_LE(TotalReads(), 3U);
}

TEST_F(ReplicaListSyncTest, ARestartedEntryFollowsImmediately) {
  const int number = 4;
  m_entries[number].reset();
  m_scheduler.RunFor(milliseconds(500));
  m_entries[number] = std::make_unique<TestListEntry>(
      &m_scheduler, &m_network, Info(number), &m_members, &m_replicas, 99);
  m_scheduler.RunFor(milliseconds(100));
  EXPECT_TRUE(HasReplicas(*m_entries[number], 2));
  EXPECT_EQ(m_entries[number]->directory.reads, 0U);
}

TEST_F(ReplicaListSyncTest, AnUnavailablePlatformGetsFewCallsUntilItRecovers) {
  for (const auto& entry : m_entries) entry->directory.unavailable = true;
  m_scheduler.RunFor(seconds(10));
  const std::size_t before = TotalReads();
  m_scheduler.RunFor(seconds(10));
  // Each entry reads by itself, at most about once in 1.5 seconds.
  EXPECT_LE(TotalReads() - before, m_entries.size() * 8);
  for (const auto& entry : m_entries) entry->directory.unavailable = false;
  m_replicas.push_back(Replica("c"));
  m_scheduler.RunFor(kDrainTime);
  EXPECT_TRUE(AllHaveReplicas(3));
}

TEST_F(ReplicaListSyncTest, UndecodableRequestsGetNoList) {
  std::optional<std::string> answer;
  m_entries[0]->peers.Call(
      Info(1).address, PeerChannel::kReplicaList, "damaged", seconds(1),
      [&](const Result<std::string>& bytes) { answer = bytes.value(); });
  m_scheduler.RunFor(seconds(1));
  ReplicaListReply decoded;
  ASSERT_TRUE(answer && Decode(*answer, &decoded));
  EXPECT_FALSE(decoded.has_list);
}

/// Platform that answers a limited number of calls per second and refuses the
/// others.
class RateLimitedDirectory : public ReplicaDirectory {
 public:
  /// Number of reads per second that it answers, for all entries together.
  static constexpr int kReadsPerSecond = 90;

  RateLimitedDirectory(FakeScheduler* scheduler,
                       const std::vector<ListedReplica>* replicas,
                       std::vector<TimePoint>* reads)
      : m_scheduler(scheduler), m_replicas(replicas), m_reads(reads) {}

 protected:
  void OnRead(Callback callback) override {
    const TimePoint now = m_scheduler->Now();
    std::erase_if(*m_reads,
                  [now](TimePoint read) { return now - read > seconds(1); });
    const bool is_overloaded = m_reads->size() >= kReadsPerSecond;
    if (!is_overloaded) m_reads->push_back(now);
    // Time for several pages, read one after the other.
    m_scheduler->Schedule(milliseconds(150), [this, is_overloaded,
                                              callback = std::move(callback)] {
      if (!is_overloaded) return callback(*m_replicas);
      callback(MakeError(ErrorKind::kOverloaded, "too many calls"));
    });
  }

 private:
  FakeScheduler* m_scheduler;
  const std::vector<ListedReplica>* m_replicas;
  std::vector<TimePoint>* m_reads;
};

// Guards against stale lists in a large group in which the entries that others
// follow freeze: if all other entries read the platform at the same time, it
// refuses them and they learn too late which replicas are draining.
TEST(ReplicaListLoadTest,
     ALargeGroupLearnsOfChangesInTimeWhenItsReadersFreeze) {
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
    RateLimitedDirectory directory(&scheduler, &replicas, &reads);
    RecordingLog log;
    for (int i = 0; i < kEntries; ++i) {
      const MemberInfo& info = members[i].info;
      peers.push_back(std::make_unique<FakePeerTransport>(
          &network, info.address, &scheduler));
      views.push_back(std::make_unique<SharedMembers>(info, &members));
      syncs.push_back(std::make_unique<ReplicaListSync>(
          ReplicaListSync::Ports{&scheduler, &directory, peers[i].get(),
                                 views[i].get(), &log},
          ReplicaListOptions{.drain_time = kDrainTime}, seed * 1000 + i));
      syncs[i]->Start();
    }
    scheduler.RunFor(seconds(10));
    // Freezes all entries that others follow, and one more of each zone.
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
    const auto stale_entries =
        std::ranges::count_if(syncs, [&](const auto& sync) {
          const auto index = &sync - syncs.data();
          return !frozen.contains(members[index].info.address) &&
                 sync->List().Replicas(scheduler.Now()).size() != 2;
        });
    EXPECT_EQ(stale_entries, 0) << "seed " << seed;
  }
}

}  // namespace
}  // namespace chicoryvale
