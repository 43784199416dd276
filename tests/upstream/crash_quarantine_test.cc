#include "upstream/crash_quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace chicoryvale {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1000));
constexpr Duration kSlowRunThreshold = milliseconds(15);
const Address kFirst{"r1"};
const Address kSecond{"r2"};
const Address kThird{"r3"};

CrashKey Key(std::uint64_t fingerprint, std::uint64_t workspace = 1) {
  return {fingerprint, workspace, 7};
}

class CrashQuarantineTest : public testing::Test {
 protected:
  CrashQuarantine::Admission Admit(
      const CrashKey& key, ShardId shard = 0,
      AttemptPurpose purpose = AttemptPurpose::kFirst) {
    return m_quarantine.Admit(key, shard, purpose, kSlowRunThreshold, m_now);
  }

  void End(const CrashQuarantine::Admission& admission, RunOutcome outcome,
           const Address& replica) {
    ASSERT_EQ(admission.verdict, RunVerdict::kRun);
    m_quarantine.OnRunEnded(admission.run, outcome, replica, m_now);
  }

  /// Runs the request once with the given outcome.
  void Run(const CrashKey& key, RunOutcome outcome, const Address& replica) {
    End(Admit(key), outcome, replica);
  }

  TimePoint m_now = kStart;
  CrashQuarantine m_quarantine{CrashSettings{}};
};

TEST_F(CrashQuarantineTest, OneUpstreamMustSurviveBeforeManyRunTheRequest) {
  const auto canary = Admit(Key(1), 0);
  const auto deferred = Admit(Key(1), 1);
  EXPECT_EQ(deferred.verdict, RunVerdict::kWait);
  EXPECT_EQ(deferred.recheck_at, m_now + kSlowRunThreshold);
  End(canary, RunOutcome::kSurvived, kFirst);
  EXPECT_EQ(m_quarantine.PopReady(), std::vector<std::uint64_t>{1});
  EXPECT_EQ(Admit(Key(1), 1).verdict, RunVerdict::kRun);
  EXPECT_EQ(Admit(Key(1), 2).verdict, RunVerdict::kRun);
}

TEST_F(CrashQuarantineTest, SlowFirstRunAllowsASecondRun) {
  const auto canary = Admit(Key(1), 0);
  m_now += kSlowRunThreshold;
  EXPECT_EQ(Admit(Key(1), 1).verdict, RunVerdict::kRun);
  EXPECT_EQ(Admit(Key(1), 2).verdict, RunVerdict::kWait);
  End(canary, RunOutcome::kCrashed, kFirst);
  EXPECT_EQ(Admit(Key(1), 2).verdict, RunVerdict::kWait);
}

TEST_F(CrashQuarantineTest, SecondCrashQuarantines) {
  Run(Key(1), RunOutcome::kCrashed, kFirst);
  EXPECT_EQ(Admit(Key(1), 0, AttemptPurpose::kHedge).verdict,
            RunVerdict::kTryLater);
  Run(Key(1), RunOutcome::kCrashed, kSecond);
  EXPECT_EQ(Admit(Key(1)).verdict, RunVerdict::kQuarantined);
  EXPECT_TRUE(m_quarantine.IsQuarantined(1));
}

TEST_F(CrashQuarantineTest, SecondCrashOfTheSameReplicaQuarantines) {
  Run(Key(1), RunOutcome::kCrashed, kFirst);
  Run(Key(1), RunOutcome::kCrashed, kFirst);
  EXPECT_TRUE(m_quarantine.IsQuarantined(1));
}

TEST_F(CrashQuarantineTest, SurvivedRetryClearsTheMark) {
  Run(Key(1), RunOutcome::kCrashed, kFirst);
  Run(Key(1), RunOutcome::kSurvived, kSecond);
  Run(Key(1), RunOutcome::kCrashed, kThird);
  EXPECT_FALSE(m_quarantine.IsQuarantined(1));
}

TEST_F(CrashQuarantineTest, MarkedRequestsOfAServiceRunOneAtATime) {
  Run(Key(1), RunOutcome::kSurvived, kFirst);
  Run(Key(2), RunOutcome::kSurvived, kFirst);
  const auto first = Admit(Key(1));
  const auto second = Admit(Key(2));
  End(first, RunOutcome::kCrashed, kFirst);
  End(second, RunOutcome::kCrashed, kFirst);
  const auto retry = Admit(Key(1));
  ASSERT_EQ(retry.verdict, RunVerdict::kRun);
  EXPECT_EQ(Admit(Key(2)).verdict, RunVerdict::kWait);
  End(retry, RunOutcome::kCrashed, kSecond);
  EXPECT_EQ(m_quarantine.PopReady(), std::vector<std::uint64_t>{2});
  Run(Key(2), RunOutcome::kSurvived, kThird);
  EXPECT_TRUE(m_quarantine.IsQuarantined(1));
  EXPECT_FALSE(m_quarantine.IsQuarantined(2));
}

TEST_F(CrashQuarantineTest, ProvenRequestIsClearedOnlyOnItsShard) {
  Run(Key(1), RunOutcome::kSurvived, kFirst);
  const auto other_shard = Admit(Key(1), 5);
  End(Admit(Key(1), 3), RunOutcome::kCrashed, kFirst);
  End(other_shard, RunOutcome::kSurvived, kSecond);
  End(Admit(Key(1), 3), RunOutcome::kCrashed, kThird);
  EXPECT_TRUE(m_quarantine.IsQuarantined(1));
}

TEST_F(CrashQuarantineTest, AnswerToAnOlderRequestRetractsTheCrash) {
  Run(Key(1), RunOutcome::kCrashed, kFirst);
  m_quarantine.OnReplicaSurvived(kFirst, m_now - milliseconds(1));
  Run(Key(1), RunOutcome::kCrashed, kSecond);
  EXPECT_FALSE(m_quarantine.IsQuarantined(1));
}

TEST_F(CrashQuarantineTest, SimultaneousCrashesOfManyUpstreamsDoNotQuarantine) {
  Run(Key(1), RunOutcome::kCrashed, kFirst);
  Run(Key(1), RunOutcome::kCrashed, kSecond);
  Run(Key(2, 2), RunOutcome::kCrashed, {"r4"});
  Run(Key(3, 3), RunOutcome::kCrashed, {"r5"});
  EXPECT_EQ(Admit(Key(1)).verdict, RunVerdict::kTryLater);
  m_now += seconds(6);
  Run(Key(1), RunOutcome::kCrashed, kThird);
  EXPECT_EQ(Admit(Key(1)).verdict, RunVerdict::kQuarantined);
}

TEST_F(CrashQuarantineTest, CrashesOfManyShardsAtOnceCountOnce) {
  Run(Key(1), RunOutcome::kSurvived, kFirst);
  const auto shard_a = Admit(Key(1), 1);
  const auto shard_b = Admit(Key(1), 2);
  End(shard_a, RunOutcome::kCrashed, kSecond);
  End(shard_b, RunOutcome::kCrashed, kThird);
  EXPECT_FALSE(m_quarantine.IsQuarantined(1));
  End(Admit(Key(1), 1), RunOutcome::kCrashed, {"r4"});
  EXPECT_TRUE(m_quarantine.IsQuarantined(1));
}

TEST_F(CrashQuarantineTest, VariantsOfOneOriginAreNotACommonCause) {
  Run(Key(1), RunOutcome::kCrashed, kFirst);
  Run(Key(2), RunOutcome::kCrashed, {"r4"});
  Run(Key(3), RunOutcome::kCrashed, {"r5"});
  Run(Key(1), RunOutcome::kCrashed, kSecond);
  EXPECT_TRUE(m_quarantine.IsQuarantined(1));
}

TEST_F(CrashQuarantineTest, SuspiciousOriginRunsUnprovenRequestsRarely) {
  Run(Key(9), RunOutcome::kSurvived, kFirst);
  for (const std::uint64_t fingerprint : {1, 2}) {
    Run(Key(fingerprint), RunOutcome::kCrashed, kFirst);
    Run(Key(fingerprint), RunOutcome::kCrashed, kSecond);
  }
  EXPECT_EQ(Admit(Key(3)).verdict, RunVerdict::kTryLater);
  m_now += seconds(1);
  const auto probe = Admit(Key(3));
  EXPECT_EQ(Admit(Key(4)).verdict, RunVerdict::kWait);
  End(probe, RunOutcome::kCrashed, kThird);
  EXPECT_EQ(Admit(Key(3)).verdict, RunVerdict::kTryLater) << "variant";
  EXPECT_EQ(Admit(Key(4)).verdict, RunVerdict::kTryLater);
  EXPECT_EQ(Admit(Key(9)).verdict, RunVerdict::kRun) << "proven";
  EXPECT_EQ(Admit(Key(5, 2)).verdict, RunVerdict::kRun) << "other workspace";
}

TEST_F(CrashQuarantineTest, ConnectFailureWaitsForMarksOfOtherEntries) {
  Run(Key(1), RunOutcome::kNotConnected, kFirst);
  const auto deferred = Admit(Key(1));
  EXPECT_EQ(deferred.verdict, RunVerdict::kWait);
  m_now = *deferred.recheck_at;
  EXPECT_EQ(Admit(Key(1)).verdict, RunVerdict::kRun);
}

TEST_F(CrashQuarantineTest, FingerprintsOnTheOperatorListAreRefused) {
  m_quarantine.SetOperatorList({4});
  EXPECT_EQ(Admit(Key(4)).verdict, RunVerdict::kQuarantined);
}

TEST_F(CrashQuarantineTest, NumberOfMarksIsBounded) {
  CrashSettings settings;
  settings.max_records = 2;
  CrashQuarantine quarantine(settings);
  for (std::uint64_t i = 1; i <= 5; ++i) {
    const auto admission = quarantine.Admit(Key(i), 0, AttemptPurpose::kFirst,
                                            kSlowRunThreshold, kStart);
    quarantine.OnRunEnded(admission.run, RunOutcome::kCrashed, kFirst, kStart);
  }
  EXPECT_LE(quarantine.Marks().size(), 2);
}

TEST(CrashMarkTest, MergesAreCommutativeAndIdempotent) {
  constexpr std::uint64_t kSeed = 5;
  std::mt19937_64 random(kSeed);
  std::vector<CrashMark> marks(12);
  for (CrashMark& mark : marks) {
    mark.key = Key(1);
    mark.epoch = random() % 2;
    mark.crash_limit = 2 + random() % 2;
    mark.crashes = {{random() % 3, 0, static_cast<std::uint32_t>(random() % 2),
                     random() % 2 == 0}};
  }
  std::optional<CrashMark> expected;
  for (int round = 0; round < 100; ++round) {
    std::ranges::shuffle(marks, random);
    CrashMark merged;
    merged.key = Key(1);
    for (const CrashMark& mark : marks) MergeMark(mark, &merged);
    for (const CrashMark& mark : marks) EXPECT_FALSE(MergeMark(mark, &merged));
    if (!expected) expected = merged;
    ASSERT_EQ(merged, *expected) << "seed " << kSeed;
  }
}

TEST(CrashMarkTest, RacingEntriesReportOneCrashOnce) {
  CrashQuarantine first{CrashSettings{}};
  CrashQuarantine second{CrashSettings{}};
  for (CrashQuarantine* entry : {&first, &second}) {
    const auto admission = entry->Admit(Key(1), 0, AttemptPurpose::kFirst,
                                        kSlowRunThreshold, kStart);
    entry->OnRunEnded(admission.run, RunOutcome::kCrashed, kFirst, kStart);
  }
  for (const CrashMark& mark : first.PopChanges()) second.Merge(mark, kStart);
  EXPECT_FALSE(second.IsQuarantined(1));
  const auto admission = second.Admit(Key(1), 0, AttemptPurpose::kRetry,
                                      kSlowRunThreshold, kStart);
  second.OnRunEnded(admission.run, RunOutcome::kCrashed, kSecond, kStart);
  for (const CrashMark& mark : second.PopChanges()) first.Merge(mark, kStart);
  EXPECT_TRUE(first.IsQuarantined(1));
}

}  // namespace
}  // namespace chicoryvale
