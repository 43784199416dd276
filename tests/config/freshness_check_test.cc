#include "config/freshness_check.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "control/version_service.h"
#include "fakes/fake_cluster.h"
#include "fakes/local_control_group.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kEntry = FakeCluster::kControlCount;

/// One entry, and control VMs that confirm `confirmed_version`.
class FreshnessCheckTest : public testing::Test {
 protected:
  FreshnessCheckTest() {
    m_cluster.group.scheduler().RunFor(seconds(10));
    for (std::size_t i = 0; i < FakeCluster::kControlCount; ++i) {
      m_cluster.distributor(i).SetConfirmVersion(
          [this](bool, const ConfigDistributor::VersionCallback& callback) {
            ++m_requests;
            callback(m_confirmed_version);
          });
    }
    GroupNode& entry = m_cluster.group.node(kEntry);
    m_options.scheduler = entry.scheduler.get();
    m_options.transport = entry.calls.get();
    m_options.members = entry.membership.get();
    m_check = std::make_unique<FreshnessCheck>(
        m_options,
        [this](const Address&, const ConfigDigest&) { ++m_sources; });
  }

  void RunFor(Duration duration) {
    m_cluster.group.scheduler().RunFor(duration);
  }

  /// Makes control VM `i` receive requests and never answer.
  void Silence(std::size_t i) {
    m_cluster.group.node(i).calls->SetHandler(
        PeerChannel::kConfig, [](const Address&, const std::string&,
                                 const PeerTransport::Responder&) {});
  }

  void Confirm() {
    m_check->Confirm(
        [this](bool is_current) { m_results.push_back(is_current); });
  }

  FakeCluster m_cluster{1, 1, 5};
  FreshnessOptions m_options;
  std::unique_ptr<FreshnessCheck> m_check;
  std::optional<std::uint64_t> m_confirmed_version = 3;
  int m_requests = 0;
  int m_sources = 0;
  std::vector<bool> m_results;
};

TEST_F(FreshnessCheckTest, OneConfirmationServesAllCallersForAWhile) {
  m_check->OnApplied(3);
  for (int i = 0; i < 100; ++i) Confirm();
  RunFor(milliseconds(50));
  for (int i = 0; i < 100; ++i) Confirm();
  EXPECT_EQ(m_results, std::vector<bool>(200, true));
  EXPECT_EQ(m_requests, 1);
  RunFor(m_options.max_age);
  Confirm();
  RunFor(milliseconds(50));
  EXPECT_EQ(m_results.size(), 201U);
  EXPECT_EQ(m_requests, 2);
}

TEST_F(FreshnessCheckTest, ACallerWaitsForTheConfirmedVersion) {
  m_check->OnApplied(2);
  Confirm();
  RunFor(milliseconds(100));
  EXPECT_TRUE(m_results.empty());
  EXPECT_EQ(m_sources, 1);
  m_check->OnApplied(3);
  EXPECT_EQ(m_results, std::vector<bool>{true});
}

// An entry that was behind asked control VMs anew for each caller.
TEST_F(FreshnessCheckTest, AnEntryThatIsBehindAsksNoMoreThanOthers) {
  m_check->OnApplied(2);
  for (int i = 0; i < 200; ++i) {
    Confirm();
    RunFor(milliseconds(10));
  }
  EXPECT_LE(m_requests, 3);
  RunFor(m_options.max_wait);
  EXPECT_EQ(m_results, std::vector<bool>(200, false));
}

TEST_F(FreshnessCheckTest, ACallerIsToldSoonThatNothingIsConfirmed) {
  m_check->OnApplied(2);
  Confirm();
  m_confirmed_version.reset();
  m_check->OnApplied(3);
  for (int i = 0; i < 3; ++i) {
    RunFor(m_options.max_age);
    Confirm();
    RunFor(m_options.max_wait + milliseconds(1));
    EXPECT_FALSE(m_results.back());
  }
  m_confirmed_version = 3;
  Confirm();
  RunFor(milliseconds(200));
  EXPECT_TRUE(m_results.back());
}

TEST_F(FreshnessCheckTest, ASilentControlVmDoesNotHoldTheConfirmationBack) {
  m_check->OnApplied(3);
  for (std::size_t i = 0; i + 1 < FakeCluster::kControlCount; ++i) Silence(i);
  for (int i = 0; i < 20; ++i) {
    Confirm();
    RunFor(m_options.max_wait);
    ASSERT_EQ(m_results.size(), static_cast<std::size_t>(i) + 1);
    EXPECT_TRUE(m_results.back()) << i;
    RunFor(m_options.max_age);
  }
}

TEST_F(FreshnessCheckTest, NoCallerWaitsLongerThanItsLimit) {
  for (std::size_t i = 0; i < FakeCluster::kControlCount; ++i) Silence(i);
  for (int i = 0; i < 3000; ++i) Confirm();
  EXPECT_EQ(m_results.size(), 3000 - m_options.max_waiting);
  RunFor(m_options.max_wait);
  EXPECT_EQ(m_results, std::vector<bool>(3000, false));
}

TEST_F(FreshnessCheckTest, AConfirmationIsNoOlderThanItsRound) {
  m_check->OnApplied(3);
  Confirm();
  RunFor(milliseconds(50));
  ASSERT_EQ(m_results, std::vector<bool>{true});
  // A version that is accepted now is missed for the maximum age at most.
  m_confirmed_version = 4;
  RunFor(m_options.max_age);
  Confirm();
  RunFor(m_options.max_wait);
  EXPECT_FALSE(m_results.back());
}

/// Control VM 0 is the leader of all.
TEST(VersionServiceTest, AnyControlVmTellsTheVersionThatTheLeaderConfirms) {
  FakeCluster cluster(1, 1, 5);
  const auto address = [&](std::size_t i) {
    return cluster.group.node(i).info.address;
  };
  LocalControlGroup group(address(0));
  std::vector<std::unique_ptr<VersionService>> services;
  for (std::size_t i = 0; i < FakeCluster::kControlCount; ++i) {
    services.push_back(std::make_unique<VersionService>(
        &group, cluster.group.node(i).calls.get(), address(i)));
    cluster.distributor(i).SetConfirmVersion(
        [&services, i](bool may_forward,
                       ConfigDistributor::VersionCallback callback) {
          services[i]->Confirm(may_forward, std::move(callback));
        });
  }
  group.Propose({"a", 0, "", ReplaceRouting{{7, "text"}}},
                [](const Result<ChangeResult>&) {});
  for (std::size_t i = 0; i < FakeCluster::kControlCount; ++i) {
    std::optional<std::uint64_t> version;
    services[i]->Confirm(true, [&](auto confirmed) { version = confirmed; });
    cluster.group.scheduler().RunFor(milliseconds(100));
    EXPECT_EQ(version, group.Config().version) << i;
  }
  // A lost leader is not asked for ever, and requests don't go round.
  cluster.Crash(0);
  bool called = false;
  std::optional<std::uint64_t> version = 1;
  services[1]->Confirm(true, [&](auto confirmed) {
    called = true;
    version = confirmed;
  });
  cluster.group.scheduler().RunFor(milliseconds(300));
  EXPECT_TRUE(called);
  EXPECT_EQ(version, std::nullopt);
  services[1]->Confirm(false, [&](auto confirmed) { version = confirmed; });
  EXPECT_EQ(version, std::nullopt);
}

}  // namespace
}  // namespace chicoryvale
