#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fake_group.h"
#include "upstream/gate_gossip.h"
#include "upstream/tests_support.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

using upstream_test::MakeAnswered;
using upstream_test::MakeOutcome;
using upstream_test::MakeServiceConfig;

/// 16 entries with one gate each, connected by the real membership.
class GossipGroup {
 public:
  explicit GossipGroup(std::uint64_t seed) : m_group(kEntries, 4, seed) {
    m_group.network().datagram_loss_ratio = 0.1;
    for (std::size_t i = 0; i < kEntries; ++i) {
      UpstreamGateOptions options;
      options.scheduler = &m_group.scheduler();
      options.seed = seed + i;
      options.availability_zone = "a";
      m_gates.push_back(UpstreamGate::Make(options));
      m_gates[i]->ApplyConfig(MakeServiceConfig({{"r1", "a"}, {"r2", "a"}}));
      m_gossip.push_back(std::make_unique<GateGossip>(
          m_gates[i].get(), m_group.node(i).membership.get(),
          &m_group.scheduler(), std::to_string(i)));
      m_gossip.back()->Start();
    }
    m_group.scheduler().RunFor(seconds(20));
  }

  /// Runs one attempt at entry `i`; returns the chosen replica, or nullopt if
  /// the attempt was refused.
  std::optional<std::string> Attempt(std::size_t i, std::uint64_t fingerprint,
                                     const SubOutcome& outcome) {
    AttemptSpec spec;
    spec.service = "s";
    spec.fingerprint = fingerprint;
    spec.deadline = m_group.scheduler().Now() + seconds(1);
    const GateTicket ticket = m_gates[i]->NewTicket();
    std::optional<std::string> replica;
    m_gates[i]->Request(spec, ticket, [&](const Result<ReplicaChoice>& choice) {
      if (choice) replica = choice->replica.host_port;
    });
    if (replica) m_gates[i]->Finish(ticket, outcome, milliseconds(5));
    return replica;
  }

  void RunFor(Duration duration) { m_group.scheduler().RunFor(duration); }

  static constexpr std::size_t kEntries = 16;

 private:
  FakeGroup m_group;
  std::vector<std::unique_ptr<UpstreamGate>> m_gates;
  std::vector<std::unique_ptr<GateGossip>> m_gossip;
};

TEST(GateGossipGroupTest, NoEntrySendsToADrainingReplicaAfterThreeSeconds) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    GossipGroup group(seed);
    SubOutcome draining = MakeAnswered();
    draining.report.draining = true;
    const auto replica = group.Attempt(0, 0, draining);
    ASSERT_TRUE(replica);
    group.RunFor(seconds(3));
    for (int round = 0; round < 20; ++round) {
      for (std::size_t i = 0; i < GossipGroup::kEntries; ++i) {
        EXPECT_NE(group.Attempt(i, 0, MakeAnswered()), replica)
            << "entry " << i;
      }
      group.RunFor(milliseconds(500));
    }
  }
}

TEST(GateGossipGroupTest, EveryEntryRefusesAQuarantinedRequest) {
  constexpr std::uint64_t kFingerprint = 9;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    GossipGroup group(seed);
    const SubOutcome lost = MakeOutcome(SubOutcomeKind::kConnectionLost);
    ASSERT_TRUE(group.Attempt(0, kFingerprint, lost));
    group.RunFor(seconds(1));
    ASSERT_TRUE(group.Attempt(1, kFingerprint, lost));
    group.RunFor(seconds(1));
    for (std::size_t i = 0; i < GossipGroup::kEntries; ++i) {
      EXPECT_FALSE(group.Attempt(i, kFingerprint, MakeAnswered()))
          << "entry " << i;
      EXPECT_TRUE(group.Attempt(i, 100 + i, MakeAnswered())) << "entry " << i;
    }
  }
}

}  // namespace
}  // namespace chicoryvale
