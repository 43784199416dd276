#include "upstream/crash_trials.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "base/hash.h"
#include "fakes/fixed_members.h"
#include "upstream/crash_quarantine.h"

namespace chicoryvale {
namespace {

/// Returns the trials of `count` entries that know each other.
std::vector<CrashTrials> TrialsOfEntries(int count) {
  std::vector<Member> members;
  for (int i = 0; i < count; ++i) {
    const std::string name = "e" + std::to_string(i);
    members.push_back({{name, {"10.0.0.1:" + name}, "z", MemberRole::kEntry},
                       MemberState::kAlive,
                       1});
  }
  std::vector<CrashTrials> trials;
  for (const Member& member : members) {
    trials.emplace_back(CrashTrialSettings{})
        .SetEntries(EntryMembers(FixedMembers(member.info, members)));
  }
  return trials;
}

CrashMark ServedMark() {
  CrashMark mark;
  mark.key.fingerprint = MixHash(7);
  mark.served_before = true;
  return mark;
}

// Guards BUDGET: if all entries tried a request that crashes its upstreams at
// the same time, each would lose one.
TEST(CrashTrialsTest, EntriesTakeTurnsAlthoughTheyLearnOfACrashLate) {
  constexpr int kEntries = 5;
  constexpr Duration kMaxDelay = seconds(4);
  const auto trials = TrialsOfEntries(kEntries);
  std::vector<int> turns(kEntries);
  for (Duration since{}; since < seconds(120); since += milliseconds(250)) {
    int due = 0;
    for (int i = 0; i < kEntries; ++i) {
      const Duration late = kMaxDelay * i / (kEntries - 1);
      if (!trials[static_cast<std::size_t>(i)].IsDue(ServedMark(),
                                                     since - late)) {
        continue;
      }
      ++due;
      ++turns[static_cast<std::size_t>(i)];
    }
    EXPECT_LE(due, 1) << since.count();
  }
  EXPECT_EQ(std::ranges::count(turns, 0), 0);
}

TEST(CrashTrialsTest, OnlyRequestsThatWereServedBeforeAreTried) {
  const CrashTrials trials{CrashTrialSettings{}};
  CrashMark mark = ServedMark();
  EXPECT_FALSE(trials.IsDue(mark, seconds(4)));
  EXPECT_TRUE(trials.IsDue(mark, seconds(5)));
  mark.served_before = false;
  EXPECT_FALSE(trials.IsDue(mark, seconds(3600)));
}

TEST(CrashTrialsTest, EachFailureDelaysTheNextTrialAndTheThirdIsTheLast) {
  const CrashTrials trials{CrashTrialSettings{}};
  CrashMark mark = ServedMark();
  mark.failed_trials = 1;
  EXPECT_FALSE(trials.IsDue(mark, seconds(19)));
  EXPECT_TRUE(trials.IsDue(mark, seconds(20)));
  mark.failed_trials = 3;
  EXPECT_FALSE(trials.IsDue(mark, seconds(3600)));
}

/// The quarantine of the query path, which admits single runs.
class CrashTrialAdmissionTest : public testing::Test {
 protected:
  static constexpr CrashKey kKey{1, 2, 3};

  CrashQuarantine::Admission Admit(
      ShardId shard = 0, AttemptPurpose purpose = AttemptPurpose::kFirst) {
    return m_quarantine.Admit(kKey, shard, purpose, milliseconds(15), m_now);
  }

  void Run(RunOutcome outcome, const std::string& replica) {
    const auto admission = Admit();
    ASSERT_EQ(admission.verdict, RunVerdict::kRun);
    m_quarantine.OnRunEnded(admission.run, outcome, {replica}, m_now);
  }

  void Quarantine() {
    Run(RunOutcome::kCrashed, "r1");
    Run(RunOutcome::kCrashed, "r2");
    ASSERT_EQ(Admit().verdict, RunVerdict::kQuarantined);
  }

  TimePoint m_now = TimePoint(seconds(1000));
  CrashQuarantine m_quarantine{CrashSettings{}};
};

// A query that upstreams had served was refused for an hour after it had been
// lost with two of them.
TEST_F(CrashTrialAdmissionTest, AServedRequestIsTriedAndRunsAgain) {
  Run(RunOutcome::kSurvived, "r1");
  Quarantine();
  m_now += seconds(5);
  const auto trial = Admit();
  ASSERT_EQ(trial.verdict, RunVerdict::kRun);
  EXPECT_EQ(Admit().verdict, RunVerdict::kWait);
  EXPECT_EQ(Admit(0, AttemptPurpose::kHedge).verdict, RunVerdict::kQuarantined);
  m_quarantine.OnRunEnded(trial.run, RunOutcome::kSurvived, {"r1"}, m_now);
  EXPECT_EQ(m_quarantine.PopReady(), std::vector<std::uint64_t>{1});
  EXPECT_EQ(Admit(0).verdict, RunVerdict::kRun);
  EXPECT_EQ(Admit(1).verdict, RunVerdict::kRun);
}

TEST_F(CrashTrialAdmissionTest, ARequestThatWasNeverServedIsNotTried) {
  Quarantine();
  m_now += seconds(3000);
  EXPECT_EQ(Admit().verdict, RunVerdict::kQuarantined);
}

TEST_F(CrashTrialAdmissionTest, TrialsThatMayHaveRunAreLimited) {
  Run(RunOutcome::kSurvived, "r1");
  Quarantine();
  for (const RunOutcome outcome :
       {RunOutcome::kNotRun, RunOutcome::kNotConnected, RunOutcome::kUnknown,
        RunOutcome::kCrashed, RunOutcome::kCrashed}) {
    m_now += seconds(400);
    Run(outcome, "r3");
  }
  m_now += seconds(400);
  EXPECT_EQ(Admit().verdict, RunVerdict::kQuarantined);
}

// An answer of another shard doesn't show that the request is harmless there.
TEST_F(CrashTrialAdmissionTest, ATrialRunsAtAShardWhereTheRequestCrashed) {
  Run(RunOutcome::kSurvived, "r1");
  Quarantine();
  m_now += seconds(5);
  EXPECT_EQ(Admit(1).verdict, RunVerdict::kWait);
  EXPECT_EQ(Admit(0).verdict, RunVerdict::kRun);
}

// Marks are cut to fit into a message. Entries that get a cut mark must still
// agree that the request is quarantined.
TEST(CrashMarkTest, AMarkThatIsCutCountsAsManyCrashes) {
  CrashMark mark;
  for (std::uint64_t replica = 0; replica < 20; ++replica) {
    AddCrash({replica, 0, 0, true}, &mark);
  }
  AddCrash({99, 0, 5, true}, &mark);
  const std::uint32_t count = CountCrashes(mark);
  EXPECT_EQ(count, 2U);
  TrimCrashes(8, &mark);
  EXPECT_EQ(mark.crashes.size(), 8U);
  EXPECT_EQ(CountCrashes(mark), count);
}

}  // namespace
}  // namespace chicoryvale
