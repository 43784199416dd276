// A request that many callers send, and that replicas serve, beside crashes of
// those replicas.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_scheduler.h"
#include "fakes/shared_gossip.h"
#include "routing/crash_guard.h"
#include "routing/crashing_replicas.h"
#include "routing/test_entry.h"

namespace chicoryvale {
namespace {

constexpr char kPage[] = "/page";
constexpr char kPoison[] = "/poison";
/// Requests for the page come at this interval, to each entry in turn.
constexpr Duration kPageInterval = milliseconds(20);
/// A sound request is served again at the latest this long after the last crash
/// (`recoverS` of the users' platform).
constexpr Duration kMaxOutage = seconds(12);

/// The gossip of one run of an entry: nothing reaches it after its end.
class GossipOfRun : public PeerGossip {
 public:
  explicit GossipOfRun(PeerGossip* shared) : m_shared(shared) {}

 protected:
  void OnSetOwnDigest(const ConfigDigest& /*digest*/) override {}
  void OnAddDigestListener(DigestListener /*listener*/) override {}
  void OnPublish(const GossipItem& item) override { m_shared->Publish(item); }
  void OnAddItemListener(ItemListener listener) override {
    m_shared->AddItemListener(
        [alive = std::weak_ptr<int>(m_alive),
         listener = std::move(listener)](const GossipItem& item) {
          if (!alive.expired()) listener(item);
        });
  }
  [[nodiscard]] std::vector<GossipItem> OnItems(
      GossipKind kind) const override {
    return m_shared->Items(kind);
  }
  std::vector<MemberInfo> OnRandomPeers(std::size_t /*count*/) override {
    return {};
  }

 private:
  PeerGossip* m_shared;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// Three entries that share their marks, and a service whose replicas crash.
class ServedRequestQuarantineTest : public testing::Test {
 protected:
  struct Entry {
    std::unique_ptr<TestEntry> parts;
    std::unique_ptr<SendTracker> sends;
    std::unique_ptr<GossipOfRun> gossip;
    std::unique_ptr<CrashGuard> guard;
  };

  ServedRequestQuarantineTest() {
    m_scheduler.RunFor(seconds(100));
    SetUpReplicas(4);
    std::vector<Member> members;
    for (const char* name : {"a", "b", "c"}) {
      members.push_back(
          {{name, {std::string("10.0.0.1:") + name}, "z", MemberRole::kEntry},
           MemberState::kAlive,
           1});
    }
    for (const Member& member : members) {
      Entry entry;
      entry.parts = std::make_unique<TestEntry>(&m_scheduler, &m_network,
                                                member.info, members);
      entry.sends = std::make_unique<SendTracker>(
          &m_scheduler, &m_replicas, &entry.parts->pool, &entry.parts->log);
      entry.parts->context.sends = entry.sends.get();
      m_entries.push_back(std::move(entry));
      Restart(m_entries.size() - 1);
    }
  }

  void SetUpReplicas(int count) {
    m_ids.clear();
    for (int i = 0; i < count; ++i) m_ids.push_back("r" + std::to_string(i));
    for (std::size_t i = 0; i < m_entries.size(); ++i) Restart(i);
  }

  /// Starts an entry anew, without memory of what was served.
  void Restart(std::size_t index) {
    Entry& entry = m_entries[index];
    TestEntry& parts = *entry.parts;
    parts.guarded_router.reset();
    entry.gossip = std::make_unique<GossipOfRun>(&m_gossip);
    entry.guard = std::make_unique<CrashGuard>(
        CrashGuard::Ports{&m_scheduler, entry.gossip.get(), &parts.log,
                          &parts.view},
        parts.view.Self().id + std::to_string(++m_starts));
    entry.guard->Start();
    parts.context.crash_guard = entry.guard.get();
    parts.guarded_router = std::make_unique<Router>(parts.context, 5);
    parts.guarded_router->SetConfig(Config());
    std::vector<ListedReplica> replicas;
    for (const std::string& id : m_ids) {
      ListedReplica replica;
      replica.id = id;
      replica.service = "portal";
      replica.address = {"10.0.0.2:" + id};
      replica.availability_zone = "z";
      replica.slots = 12;
      replicas.push_back(replica);
    }
    parts.pool.SetReplicas(replicas, m_scheduler.Now());
  }

  static std::shared_ptr<const RoutingConfig> Config() {
    Route route = ScatteredRoute();
    route.scatter = {};
    route.services = {{"portal", 1}};
    route.timeout = seconds(5);
    route.target_latency = milliseconds(500);
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    config->routes.push_back(route);
    return config;
  }

  void Send(std::size_t entry, const std::string& target,
            std::function<void(const RoutedAnswer&)> callback) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id-" + std::to_string(++m_request_count);
    request->method = "GET";
    request->target = target;
    request->headers = {{"Host", "h"}};
    m_entries[entry].parts->guarded_router->Handle(
        {request, "h", target, std::nullopt},
        [callback = std::move(callback)](const RoutedAnswer& answer) {
          callback(answer);
        });
  }

  /// Sends requests for the page for `time`, and returns the share of them that
  /// was served.
  double LoadPage(Duration time) {
    int sent = 0;
    auto served = std::make_shared<int>(0);
    const TimePoint end = m_scheduler.Now() + time;
    while (m_scheduler.Now() < end) {
      Send(static_cast<std::size_t>(sent) % m_entries.size(), kPage,
           [served](const RoutedAnswer& answer) {
             if (!answer.error && answer.status == 200) ++*served;
           });
      ++sent;
      m_scheduler.RunFor(kPageInterval);
    }
    m_scheduler.RunFor(CrashingReplicas::kWorkTime);
    return static_cast<double>(*served) / sent;
  }

  /// Crashes all replicas soon, while they run requests of the next LoadPage.
  void CrashAllSoon() {
    constexpr Duration kSoon = milliseconds(1010);
    m_scheduler.Schedule(kSoon, [this] { CrashAll(); });
  }

  void CrashAll() {
    for (const std::string& id : m_ids) m_replicas.Crash(id);
  }

  /// Schedules a poisoned request to each entry in turn, for `time`.
  void SendPoison(Duration interval, Duration time) {
    for (Duration at{}; at < time; at += interval) {
      m_scheduler.Schedule(at, [this] {
        Send(++m_poison_count % m_entries.size(), kPoison,
             [](const RoutedAnswer& /*answer*/) {});
      });
    }
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  SharedGossip m_gossip;
  CrashingReplicas m_replicas{&m_scheduler};
  std::vector<std::string> m_ids;
  std::vector<Entry> m_entries;
  int m_starts = 0;
  int m_request_count = 0;
  std::size_t m_poison_count = 0;
};

// All replicas of a service crashed once, and a page that many callers read was
// refused from then on.
TEST_F(ServedRequestQuarantineTest, APageIsServedAfterAllReplicasCrashedOnce) {
  EXPECT_EQ(LoadPage(seconds(5)), 1.0);
  CrashAllSoon();
  LoadPage(seconds(1) + kMaxOutage);
  EXPECT_EQ(LoadPage(seconds(10)), 1.0);
}

// The same, several times, for a service of one replica: requests that were
// lost with one crash of one replica counted as several crashes.
TEST_F(ServedRequestQuarantineTest, APageIsServedAfterItsOnlyReplicaCrashed) {
  SetUpReplicas(1);
  LoadPage(seconds(5));
  for (int i = 0; i < 3; ++i) {
    CrashAllSoon();
    LoadPage(seconds(1) + kMaxOutage);
    EXPECT_EQ(LoadPage(seconds(3)), 1.0) << i;
  }
}

// A request that crashed each replica which ran it took the page out of service
// that those replicas ran beside it.
TEST_F(ServedRequestQuarantineTest, APageIsServedBesideAPoisonedRequest) {
  m_replicas.AddPoison(kPoison);
  LoadPage(seconds(5));
  SendPoison(milliseconds(50), seconds(60));
  LoadPage(kMaxOutage);
  const int poison_runs = m_replicas.CountRuns(kPoison);
  EXPECT_LE(poison_runs, 4);
  EXPECT_EQ(LoadPage(seconds(40)), 1.0);
  EXPECT_EQ(m_replicas.CountRuns(kPoison), poison_runs);
}

// A poisoned request comes again beside crashes of all replicas. It was never
// served, so nothing may let it run again.
TEST_F(ServedRequestQuarantineTest, APoisonedRequestStaysRefusedBesideCrashes) {
  m_replicas.AddPoison(kPoison);
  SendPoison(milliseconds(200), seconds(600));
  LoadPage(seconds(10));
  const int poison_runs = m_replicas.CountRuns(kPoison);
  for (int i = 0; i < 10; ++i) {
    CrashAllSoon();
    LoadPage(seconds(50));
  }
  EXPECT_EQ(m_replicas.CountRuns(kPoison), poison_runs);
}

// A page that was served turns poisonous, for example with another version of
// the replicas. BUDGET allows three more runs of it.
TEST_F(ServedRequestQuarantineTest, APageThatTurnsPoisonousRunsThreeTimesMore) {
  LoadPage(seconds(5));
  m_replicas.AddPoison(kPage);
  LoadPage(seconds(4));
  const int runs = m_replicas.CountRuns(kPage);
  LoadPage(seconds(1800));
  EXPECT_LE(m_replicas.CountRuns(kPage), runs + 3);
}

// The entries that lost the page had just started; another one knows that it
// was served.
TEST_F(ServedRequestQuarantineTest, EvidenceOfOtherEntriesCounts) {
  LoadPage(seconds(5));
  m_scheduler.RunFor(seconds(1));
  Restart(0);
  Restart(1);
  for (int i = 0; i < 2; ++i) {
    Send(i, kPage, [](const RoutedAnswer& /*answer*/) {});
    m_scheduler.RunFor(milliseconds(50));
    CrashAll();
    m_scheduler.RunFor(CrashingReplicas::kDownTime + milliseconds(100));
  }
  LoadPage(3 * kMaxOutage);
  EXPECT_EQ(LoadPage(seconds(10)), 1.0);
}

// All entries restart while the page is quarantined; what is known of it came
// by gossip.
TEST_F(ServedRequestQuarantineTest, AQuarantineEndsAfterARestartOfAllEntries) {
  m_replicas.AddPoison(kPoison);
  LoadPage(seconds(5));
  SendPoison(milliseconds(50), seconds(60));
  LoadPage(seconds(1));
  for (std::size_t i = 0; i < m_entries.size(); ++i) Restart(i);
  LoadPage(3 * kMaxOutage);
  EXPECT_EQ(LoadPage(seconds(10)), 1.0);
}

}  // namespace
}  // namespace chicoryvale
