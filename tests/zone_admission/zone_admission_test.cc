// Entries of a zone that share the admission of requests: messages, failures.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "zone_admission/zone_group.h"

namespace chicoryvale {
namespace {

constexpr int kEntries = 6;
constexpr Duration kTarget = seconds(2);

class ZoneAdmissionTest : public testing::Test {
 protected:
  ZoneAdmissionTest() {
    m_owner = m_group.OwnerOf("g");
    m_other = (m_owner + 1) % kEntries;
  }

  AdmissionId Submit(int entry) {
    const AdmissionId id = ++m_last_id;
    m_group.At(entry).client->Submit(
        id, {"g", "w", 1, kTarget, seconds(5)},
        [this, id](const ZoneAdmissionDecision& decision) {
          (decision.is_admitted ? m_admitted : m_refused).push_back(id);
        });
    return id;
  }

  void Finish(int entry, AdmissionId id, AdmittedOutcome outcome) {
    m_group.At(entry).client->Finish(id, outcome);
  }

  // Saturates the group by a request of `m_other` that is not served in time.
  // Leaves `in_flight` others in flight, and the share of the workspace.
  void Saturate(int in_flight) {
    const AdmissionId missed = Submit(m_other);
    for (int i = 0; i < in_flight; ++i) Submit(m_other);
    m_group.scheduler().RunFor(milliseconds(300));
    Finish(m_other, missed, AdmittedOutcome::kNotServedInTime);
    m_group.scheduler().RunFor(milliseconds(200));
    const auto share = static_cast<int>(GroupAdmission::kLimitOptions.min);
    for (int i = 0; i < share; ++i) Submit(m_other);
    m_group.scheduler().RunFor(milliseconds(20));
    m_admitted.clear();
  }

  [[nodiscard]] std::uint64_t Count(int entry, ZoneAdmissionCounter counter) {
    return m_group.At(entry).client->Counters().Get(counter);
  }

  ZoneGroup m_group{kEntries};
  int m_owner = 0;
  /// An entry of the zone other than the owner.
  int m_other = 0;
  AdmissionId m_last_id = 0;
  std::vector<AdmissionId> m_admitted;
  std::vector<AdmissionId> m_refused;
};

// The wait for the owner would be most of a low target latency.
TEST_F(ZoneAdmissionTest, RequestsDoNotWaitWhileTheGroupHasRoom) {
  for (int i = 0; i < 50; ++i) Submit(m_other);
  EXPECT_EQ(m_admitted.size(), 50U);
  EXPECT_EQ(Count(m_other, ZoneAdmissionCounter::kAsked), 0U);
}

// With one report for each request, an owner would get as many messages as all
// entries get requests.
TEST_F(ZoneAdmissionTest, RequestsOfAMomentAreReportedTogether) {
  for (int i = 0; i < 50; ++i) {
    Finish(m_other, Submit(m_other), AdmittedOutcome::kServedInTime);
  }
  m_group.scheduler().RunFor(seconds(1));
  EXPECT_EQ(Count(m_other, ZoneAdmissionCounter::kReports), 1U);
}

TEST_F(ZoneAdmissionTest, AllEntriesOfTheZoneAskForASaturatedGroup) {
  Saturate(20);
  for (int entry = 0; entry < kEntries; ++entry) Submit(entry);
  for (int entry = 0; entry < kEntries; ++entry) {
    EXPECT_GE(Count(entry, ZoneAdmissionCounter::kAsked), 1U) << entry;
  }
  EXPECT_TRUE(m_admitted.empty());
  m_group.scheduler().RunFor(seconds(1));
  EXPECT_EQ(m_refused.size(), std::size_t{kEntries});
}

// Each zone has replicas of its own.
TEST_F(ZoneAdmissionTest, AnotherZoneDoesNotAsk) {
  Saturate(20);
  Submit(kEntries);
  EXPECT_EQ(m_admitted.size(), 1U);
}

TEST_F(ZoneAdmissionTest, ARequestWaitsForTheEndOfAnother) {
  Saturate(4);
  const AdmissionId first = Submit(m_other);
  m_group.scheduler().RunFor(milliseconds(10));
  EXPECT_TRUE(m_admitted.empty());
  for (AdmissionId id = 1; id < first; ++id) {
    Finish(m_other, id, AdmittedOutcome::kServedInTime);
  }
  const AdmissionId second = Submit(m_other);
  m_group.scheduler().RunFor(milliseconds(30));
  std::ranges::sort(m_admitted);
  EXPECT_EQ(m_admitted, (std::vector<AdmissionId>{first, second}));
}

// The callers must lose no more than the wait for one reply.
TEST_F(ZoneAdmissionTest, WithoutAnOwnerEachEntryDecidesAlone) {
  Saturate(20);
  m_group.network().SetState(ZoneGroup::AddressOf(m_owner),
                             NodeState::kCrashed);
  Submit(m_other);
  m_group.scheduler().RunFor(GroupAdmission::MaxWait(kTarget) +
                             milliseconds(60));
  EXPECT_EQ(m_admitted.size(), 1U);
  Submit(m_other);
  EXPECT_EQ(m_admitted.size(), 2U);
  EXPECT_EQ(Count(m_other, ZoneAdmissionCounter::kDecidedAlone), 2U);
}

// Requests would have no limit at all once the saturation is forgotten.
TEST_F(ZoneAdmissionTest, AnEntryDecidesAloneAsLongAsTheOwnerDoesNotAnswer) {
  m_group.network().SetState(ZoneGroup::AddressOf(m_owner),
                             NodeState::kCrashed);
  Submit(m_other);
  m_group.scheduler().RunFor(milliseconds(700));
  const std::uint64_t before =
      Count(m_other, ZoneAdmissionCounter::kDecidedAlone);
  Submit(m_other);
  EXPECT_EQ(Count(m_other, ZoneAdmissionCounter::kDecidedAlone), before + 1);
}

// The next owner starts without what the former one knew.
TEST_F(ZoneAdmissionTest, AnotherEntryOwnsTheGroupOfAFailedOne) {
  Saturate(20);
  m_group.network().SetState(ZoneGroup::AddressOf(m_owner),
                             NodeState::kCrashed);
  for (int entry = 0; entry < kEntries; ++entry) {
    m_group.At(entry).members->SetState(ZoneGroup::AddressOf(m_owner),
                                        MemberState::kDead);
  }
  Submit(m_other);
  m_group.scheduler().RunFor(milliseconds(20));
  EXPECT_EQ(m_admitted.size(), 1U);
  EXPECT_EQ(Count(m_other, ZoneAdmissionCounter::kDecidedAlone), 0U);
}

// A caller that disconnects while its request waits must not use up the limit.
TEST_F(ZoneAdmissionTest, ACancelledRequestDoesNotStayInFlight) {
  Saturate(4);
  const AdmissionId first = Submit(m_other);
  m_group.At(m_other).client->Cancel(first);
  for (AdmissionId id = 1; id < first; ++id) {
    Finish(m_other, id, AdmittedOutcome::kServedInTime);
  }
  m_group.scheduler().RunFor(milliseconds(300));
  EXPECT_TRUE(m_admitted.empty());
  EXPECT_EQ(m_group.At(m_other).client->OpenCount(), 0U);
  Submit(m_other);
  m_group.scheduler().RunFor(milliseconds(20));
  EXPECT_EQ(m_admitted.size(), 1U);
}

TEST_F(ZoneAdmissionTest, UnreadableCallsAreAnsweredWithNothing) {
  std::string answer = "none";
  m_group.At(m_other).peers->Call(
      ZoneGroup::AddressOf(m_owner), PeerChannel::kAdmission, "\x01\x02",
      seconds(1),
      [&answer](const Result<std::string>& bytes) { answer = *bytes; });
  m_group.scheduler().RunFor(seconds(1));
  EXPECT_EQ(answer, "");
}

}  // namespace
}  // namespace chicoryvale
