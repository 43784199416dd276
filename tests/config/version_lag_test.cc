#include "config/version_lag.h"

#include <gtest/gtest.h>

#include "fakes/fake_cluster.h"

namespace chicoryvale {
namespace {

const Address kPeer{"10.0.0.1:7000"};

TimePoint At(int offset_ms) { return TimePoint{} + milliseconds(offset_ms); }

TEST(VersionLagTest, CountsFromTheOldestMissingVersion) {
  VersionLag lag;
  EXPECT_FALSE(lag.IsBehind());
  lag.OnHeard(3, kPeer, At(100));
  lag.OnHeard(5, kPeer, At(400));
  lag.OnHeard(4, kPeer, At(500));
  EXPECT_EQ(lag.BehindFor(At(600)), milliseconds(500));
  EXPECT_EQ(lag.Newest()->version, 5U);
  lag.OnAdopted(3);
  EXPECT_EQ(lag.BehindFor(At(600)), milliseconds(200));
  lag.OnAdopted(5);
  EXPECT_FALSE(lag.IsBehind());
  EXPECT_EQ(lag.BehindFor(At(900)), Duration::zero());
  lag.OnHeard(5, kPeer, At(900));
  EXPECT_FALSE(lag.IsBehind());
  EXPECT_EQ(lag.HighestVersion(), 5U);
}

TEST(VersionLagTest, RemembersABoundedNumberOfVersionsAndNeverALaterTime) {
  VersionLag lag;
  for (int version = 1; version <= 1000; ++version) {
    lag.OnHeard(static_cast<std::uint64_t>(version), kPeer, At(version));
  }
  EXPECT_EQ(lag.HighestVersion(), 1000U);
  lag.OnAdopted(500);
  EXPECT_TRUE(lag.IsBehind());
  EXPECT_GE(lag.BehindFor(At(1000)), milliseconds(499));
}

// On-call could not tell whether an entry knew that it was behind.
TEST(ConfigLagLogTest, AnEntryThatIsBehindSaysSoSinceWhenAndWhomItAsked) {
  FakeCluster cluster(1, 1, 5);
  cluster.Change([](ClusterConfig*) {});
  cluster.group.scheduler().RunFor(seconds(10));
  constexpr std::size_t kEntry = FakeCluster::kControlCount;
  ASSERT_EQ(cluster.Version(kEntry), 1U);
  EXPECT_EQ(cluster.log.Count("configuration_behind"), 0U);
  // No control VM answers, but their announcements arrive.
  for (std::size_t i = 0; i < FakeCluster::kControlCount; ++i) {
    cluster.group.node(i).calls->SetHandler(
        PeerChannel::kConfig, [](const Address&, const std::string&,
                                 const PeerTransport::Responder&) {});
  }
  cluster.Change([](ClusterConfig*) {});
  cluster.group.scheduler().RunFor(seconds(4));
  ASSERT_GE(cluster.log.Count("configuration_behind"), 2U);
  const auto line = std::ranges::find(
      cluster.log.Lines(), "configuration_behind", &RecordingLog::Line::event);
  EXPECT_EQ(line->fields.at("version"), "1");
  EXPECT_EQ(line->fields.at("known_version"), "2");
  EXPECT_FALSE(line->fields.at("heard_from").empty());
  EXPECT_FALSE(line->fields.at("asked").empty());
  EXPECT_GE(std::stoi(line->fields.at("behind_ms")), 500);
  EXPECT_GE(cluster.log.Count("configuration_pull_failed"), 1U);
  EXPECT_GE(cluster.distributor(kEntry).BehindFor(), seconds(3));
}

}  // namespace
}  // namespace chicoryvale
