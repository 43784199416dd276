#include "upstream/connection_share.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>

#include "fakes/fake_group.h"

namespace chicoryvale {
namespace {

constexpr std::uint32_t kLimit = 50;

TEST(ConnectionShareTest, SumOfFloorsNeverExceedsTheLimit) {
  for (const std::uint32_t limit : {1U, 10U, 50U, 60U, 80U, 190U}) {
    for (std::uint32_t seats = 1; seats <= 64; ++seats) {
      const ConnectionBudget budget =
          ConnectionShare::Compute({seats, 0.1}, limit, 1, false);
      EXPECT_LE(budget.total * seats, limit);
      EXPECT_LE(budget.usable, budget.total);
    }
  }
}

TEST(ConnectionShareTest, BudgetsOfTheSpecifiedReplicas) {
  struct Row {
    std::uint32_t limit;
    std::uint32_t entries;
    std::uint32_t total;
  };
  for (const Row& row : {Row{50, 16, 2}, Row{50, 12, 3}, Row{60, 16, 3},
                         Row{80, 16, 4}, Row{190, 16, 10}}) {
    const ConnectionBudget budget = ConnectionShare::Compute(
        ConnectionShareSettings{}, row.limit, row.entries, true);
    EXPECT_EQ(budget.total, row.total) << row.limit << " " << row.entries;
    EXPECT_LT(budget.usable, budget.total);
  }
}

TEST(ConnectionShareTest, ProcessWithoutMajorityStaysAtItsFloor) {
  const ConnectionShareSettings settings;
  EXPECT_EQ(ConnectionShare::Compute(settings, kLimit, 1, true).total, 1);
  EXPECT_EQ(ConnectionShare::Compute(settings, kLimit, 10, true).total, 1);
  EXPECT_EQ(ConnectionShare::Compute(settings, kLimit, 11, true).total, 3);
}

/// 16 entries that start, leave, crash and lose contact with each other. Each
/// opens as many connections to one replica as its share allows.
class ShareGroup {
 public:
  explicit ShareGroup(std::uint64_t seed)
      : m_random(seed), m_group(kEntries, kZones, seed) {
    m_group.network().datagram_loss_ratio = 0.05;
    m_running.fill(true);
  }

  void Run(Duration length) {
    const int steps = static_cast<int>(length / kStep);
    for (int step = 0; step < steps; ++step) {
      if (Chance(kDisturbancesPerSecond * ToSeconds(kStep))) Disturb();
      m_group.scheduler().RunFor(kStep);
      std::uint32_t open = 0;
      for (std::size_t i = 0; i < kEntries; ++i) {
        if (!m_running[i]) continue;
        ConnectionShare share{ConnectionShareSettings{}};
        share.Update(*m_group.node(i).membership);
        const std::uint32_t total = share.BudgetFor(kLimit).total;
        open += total;
        above_floor_count += total > 1 ? 1 : 0;
        above_initial_share_count += total > 2 ? 1 : 0;
      }
      max_open = std::max(max_open, open);
    }
  }

  std::uint32_t max_open = 0;
  /// Number of samples in which an entry had more than its floor, and in which
  /// it had more than its share among 16 entries, which includes a part of a
  /// lost member's share.
  std::uint64_t above_floor_count = 0;
  std::uint64_t above_initial_share_count = 0;

 private:
  static constexpr std::size_t kEntries = 16;
  static constexpr std::size_t kZones = 4;
  static constexpr Duration kStep = milliseconds(100);
  static constexpr double kDisturbancesPerSecond = 0.1;

  void Disturb() {
    const std::size_t i = m_random() % kEntries;
    const std::size_t j = m_random() % kEntries;
    switch (m_random() % 6) {
      case 0:
        m_running[i] = false;
        m_group.Crash(i);
        break;
      case 1:
        if (m_running[i]) m_group.node(i).membership->Leave();
        m_group.scheduler().RunFor(seconds(1));
        m_running[i] = false;
        m_group.Crash(i);
        break;
      case 2:
        if (!m_running[i]) m_group.Restart(i);
        m_running[i] = true;
        break;
      case 3:
        if (i != j) m_group.SetCut(i, j, true);
        break;
      case 4:
        m_group.SetZoneCut(RandomZone(), true);
        break;
      default:
        for (std::size_t from = 0; from < kEntries; ++from) {
          for (std::size_t to = 0; to < kEntries; ++to) {
            m_group.SetCut(from, to, false);
          }
        }
        break;
    }
  }

  std::string RandomZone() {
    return std::string(1, static_cast<char>('a' + m_random() % kZones));
  }

  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(m_random);
  }

  std::mt19937_64 m_random;
  FakeGroup m_group;
  std::array<bool, kEntries> m_running{};
};

TEST(ConnectionShareTest, SumStaysWithinTheLimitWhateverMembersObserve) {
  std::uint64_t above_floor_count = 0;
  std::uint64_t above_initial_share_count = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ShareGroup group(seed);
    group.Run(seconds(300));
    EXPECT_LE(group.max_open, kLimit) << "seed " << seed;
    above_floor_count += group.above_floor_count;
    above_initial_share_count += group.above_initial_share_count;
  }
  EXPECT_GT(above_floor_count, 0)
      << "no share ever grew, so the limit was not tested";
  EXPECT_GT(above_initial_share_count, 0)
      << "no entry took over a lost member's share";
}

}  // namespace
}  // namespace chicoryvale
