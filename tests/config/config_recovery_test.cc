#include "config/config_recovery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_scheduler.h"

namespace chicoryvale {
namespace {

constexpr Duration kAnswerDelay = milliseconds(1);

Address Control(std::size_t number) {
  return {"10.0.0." + std::to_string(number) + ":7000"};
}

std::vector<Address> Controls(const std::vector<std::size_t>& numbers) {
  std::vector<Address> addresses;
  std::ranges::transform(numbers, std::back_inserter(addresses), Control);
  return addresses;
}

/// Peers that answer each request with a fixed answer, or not at all.
class FixedPeers : public PeerTransport {
 public:
  explicit FixedPeers(FakeScheduler* scheduler) : m_scheduler(scheduler) {}

  std::map<Address, DistributionAnswer> answers;

 protected:
  void OnCall(const Address& to, PeerChannel /*channel*/,
              std::string /*request*/, Duration timeout,
              Callback callback) override {
    const auto answer = answers.find(to);
    if (answer == answers.end()) {
      m_scheduler->Schedule(timeout, [callback = std::move(callback)] {
        callback(MakeError(ErrorKind::kDeadlineExceeded, "no answer"));
      });
      return;
    }
    m_scheduler->Schedule(
        kAnswerDelay, [callback = std::move(callback),
                       bytes = Encode(answer->second)] { callback(bytes); });
  }
  void OnSetHandler(PeerChannel /*channel*/, Handler /*handler*/) override {}

 private:
  FakeScheduler* m_scheduler;
};

/// Gossip of a process that knows no member.
class NoGossip : public PeerGossip {
 protected:
  void OnSetOwnDigest(const ConfigDigest& /*digest*/) override {}
  void OnAddDigestListener(DigestListener /*listener*/) override {}
  void OnPublish(const GossipItem& /*item*/) override {}
  void OnAddItemListener(ItemListener /*listener*/) override {}
  [[nodiscard]] std::vector<GossipItem> OnItems(
      GossipKind /*kind*/) const override {
    return {};
  }
  std::vector<MemberInfo> OnRandomPeers(std::size_t /*count*/) override {
    return {};
  }
};

/// An entry whose settings name three control VMs.
class ConfigRecoveryTest : public testing::Test {
 protected:
  ConfigRecoveryTest() {
    RecoveryOptions options;
    options.control_addresses = Controls({0, 1, 2});
    options.scheduler = &m_scheduler;
    options.transport = &m_peers;
    options.gossip = &m_gossip;
    m_recovery.emplace(
        options, [](const Address&, const ConfigDigest&) {},
        [this](const RecoveryRound& round) {
          if (!round.has_quorum) return;
          m_last_version = round.min_version;
          if (m_quorum_version) return;
          m_quorum_version = round.min_version;
          m_quorum_after = m_scheduler.Now() - TimePoint{};
        });
  }

  /// Lets control VM `number` answer that it has `version` in its log, and
  /// `adopted` in force.
  void Answer(std::size_t number, std::uint64_t version,
              const ControlGroupView& group, std::uint64_t adopted = 4) {
    DistributionAnswer answer;
    answer.digest.version = adopted;
    answer.known_version = version;
    answer.group = group;
    if (std::ranges::find(group.voters, Control(number)) !=
        group.voters.end()) {
      answer.group.voter = Control(number);
    }
    m_peers.answers[Control(number)] = answer;
  }

  FakeScheduler m_scheduler;
  FixedPeers m_peers{&m_scheduler};
  NoGossip m_gossip;
  std::optional<ConfigRecovery> m_recovery;
  /// Minimum version of the first round with a quorum, and when it ended.
  std::optional<std::uint64_t> m_quorum_version;
  Duration m_quorum_after{};
  /// Minimum version of the last round with a quorum.
  std::uint64_t m_last_version = 0;
};

const ControlGroupView kGroupOfSeven{9, Controls({0, 1, 2, 3, 4, 5, 6}),
                                     Address{}};

// Two of three named VMs were taken for a quorum of a group of seven, so that
// an entry came back with a configuration that a change had replaced.
TEST_F(ConfigRecoveryTest, TwoNamedVmsAreNoQuorumOfALargerGroup) {
  Answer(0, 4, kGroupOfSeven);
  Answer(1, 4, kGroupOfSeven);
  m_recovery->Start();
  m_scheduler.RunFor(seconds(5));
  EXPECT_FALSE(m_quorum_version) << *m_quorum_version;
  for (const std::size_t number : {3, 4, 5, 6}) {
    Answer(number, 5, kGroupOfSeven);
  }
  m_scheduler.RunFor(seconds(5));
  EXPECT_EQ(m_quorum_version, 5U);
}

// A VM that had lost its disk, and knew nothing, was counted in the quorum.
TEST_F(ConfigRecoveryTest, AVmWithoutStateCountsInNoQuorum) {
  Answer(0, 0, {});
  Answer(1, 4, {1, Controls({0, 1, 2}), {}});
  m_recovery->Start();
  m_scheduler.RunFor(seconds(5));
  EXPECT_FALSE(m_quorum_version) << *m_quorum_version;
  Answer(2, 5, {1, Controls({0, 1, 2}), {}});
  m_scheduler.RunFor(seconds(5));
  EXPECT_EQ(m_quorum_version, 5U);
}

// An entry knows the voters by the settings only, and must not wait for gossip.
TEST_F(ConfigRecoveryTest, AsksTheVotersThatTheSettingsDontName) {
  for (std::size_t number = 0; number < 7; ++number) {
    Answer(number, number == 6 ? 5 : 4, kGroupOfSeven);
  }
  m_recovery->Start();
  m_scheduler.RunFor(seconds(1));
  EXPECT_TRUE(m_quorum_version);
  EXPECT_LE(m_quorum_after, 2 * kAnswerDelay);
}

TEST_F(ConfigRecoveryTest, TheNewestGroupDecides) {
  const ControlGroupView newer{12, Controls({1, 3, 4}), Address{}};
  Answer(0, 4, {9, Controls({0, 1, 2}), Address{}});
  Answer(1, 4, newer);
  m_recovery->Start();
  m_scheduler.RunFor(seconds(5));
  EXPECT_FALSE(m_quorum_version) << *m_quorum_version;
  Answer(4, 6, newer);
  m_scheduler.RunFor(seconds(5));
  EXPECT_EQ(m_quorum_version, 6U);
}

// Entries had no configuration for the rest of a day: a VM that had been
// removed from the group, and would never learn what was committed, raised the
// version that they waited for.
TEST_F(ConfigRecoveryTest, ARemovedVmDoesNotRaiseTheVersion) {
  Answer(0, 99, {2, Controls({0, 1, 2}), Address{}});
  for (const std::size_t number : {1, 2, 3}) {
    Answer(number, 5, {9, Controls({1, 2, 3}), Address{}});
  }
  m_recovery->Start();
  m_scheduler.RunFor(seconds(5));
  EXPECT_EQ(m_quorum_version, 5U);
}

// The same, with a voter that has lost its leader and has logged changes that
// were refused.
TEST_F(ConfigRecoveryTest, OneVoterWithRefusedChangesDoesNotRaiseTheVersion) {
  const ControlGroupView group{9, Controls({0, 1, 2}), Address{}};
  Answer(0, 99, group);
  Answer(1, 5, group);
  Answer(2, 5, group);
  m_recovery->Start();
  m_scheduler.RunFor(seconds(5));
  EXPECT_EQ(m_last_version, 5U);
}

}  // namespace
}  // namespace chicoryvale
