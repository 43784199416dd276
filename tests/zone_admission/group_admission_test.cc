// The decisions of the entry that owns a group of replicas.

#include "zone_admission/group_admission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fakes/fake_scheduler.h"

namespace chicoryvale {
namespace {

constexpr Duration kTarget = milliseconds(200);
constexpr Duration kTimeLimit = seconds(2);

class GroupAdmissionTest : public testing::Test {
 protected:
  GroupAdmissionTest() { m_scheduler.RunFor(seconds(10)); }

  AdmissionTicket Submit(const std::string& workspace,
                         std::uint32_t priority = 1,
                         Duration target = kTarget) {
    const std::size_t before = m_admitted.size();
    const AdmissionTicket ticket = m_admission.Submit(
        {"g", workspace, priority, target, kTimeLimit},
        [this, workspace](const ZoneAdmissionDecision& decision) {
          (decision.is_admitted ? m_admitted : m_refused).push_back(workspace);
          m_retry_after = decision.retry_after;
        });
    if (m_admitted.size() > before) m_running.push_back(ticket);
    return ticket;
  }

  // Makes the limit known: of 20 requests in flight, the first is not served in
  // time after `time`. Leaves as many in flight as the limit. They are of
  // different workspaces, so that the share of each is below one request.
  void Saturate(Duration time = milliseconds(40)) {
    for (int i = 0; i < 20; ++i) Submit("first" + std::to_string(i));
    m_scheduler.RunFor(time);
    m_admission.Finish(m_running.front(), AdmittedOutcome::kNotServedInTime);
    m_running.erase(m_running.begin());
    while (static_cast<double>(m_running.size()) > m_admission.Limit()) {
      EndOne();
    }
    m_admitted.clear();
  }

  // Ends one request in flight, which says nothing about the limit.
  void EndOne() {
    m_admission.Finish(m_running.front(), AdmittedOutcome::kUnknown);
    m_running.erase(m_running.begin());
  }

  [[nodiscard]] std::uint64_t Count(GroupAdmissionCounter counter) const {
    return m_counters.Get(counter);
  }

  FakeScheduler m_scheduler;
  CounterSet<GroupAdmissionCounter> m_counters;
  GroupAdmission m_admission{&m_scheduler, &m_counters, 1};
  std::vector<AdmissionTicket> m_running;
  std::vector<std::string> m_admitted;
  std::vector<std::string> m_refused;
  Duration m_retry_after{};
};

// A limit that was only guessed must not refuse anything.
TEST_F(GroupAdmissionTest, AdmitsAllWhileAllAreServedInTime) {
  for (int i = 0; i < 500; ++i) Submit("a");
  EXPECT_EQ(m_admitted.size(), 500U);
  EXPECT_FALSE(m_admission.IsSaturated());
}

TEST_F(GroupAdmissionTest, AWorkspaceWithManyRequestsTakesOnlyItsShare) {
  Saturate();
  for (int i = 0; i < 6; ++i) Submit("hot");
  Submit("a");
  Submit("b");
  EXPECT_TRUE(m_admission.IsSaturated());
  EXPECT_TRUE(m_admitted.empty());
  while (m_admitted.size() < 3 && !m_running.empty()) EndOne();
  // One request each, although "hot" came first with all of its own.
  EXPECT_EQ(std::ranges::count(m_admitted, "hot"), 1);
  EXPECT_EQ(std::ranges::count(m_admitted, "a"), 1);
  EXPECT_EQ(std::ranges::count(m_admitted, "b"), 1);
}

TEST_F(GroupAdmissionTest, MoreUrgentRequestsAreAdmittedFirst) {
  Saturate();
  Submit("late", 2);
  Submit("urgent", 0);
  while (m_admitted.empty() && !m_running.empty()) EndOne();
  EXPECT_EQ(m_admitted, std::vector<std::string>{"urgent"});
}

// After the limit has shrunk, more requests of the hot workspace are in flight
// than the limit. Others would be refused until all of these have ended.
TEST_F(GroupAdmissionTest, AWorkspaceBelowItsShareDoesNotWait) {
  for (int i = 0; i < 20; ++i) Submit("hot");
  m_admission.Finish(m_running.front(), AdmittedOutcome::kNotServedInTime);
  m_admitted.clear();
  for (int i = 0; i < 20; ++i) Submit("a");
  EXPECT_EQ(m_admitted.size(),
            static_cast<std::size_t>(m_admission.Limit() / 2));
  Submit("hot");
  EXPECT_EQ(std::ranges::count(m_admitted, "hot"), 0);
}

// A request that waits in vain has cost its caller the time in which another
// entry could have served it.
TEST_F(GroupAdmissionTest, RefusesAtOnceWhatWouldComeTooLate) {
  Saturate(milliseconds(400));
  for (int i = 0; i < 50; ++i) Submit("a");
  EXPECT_GT(m_refused.size(), 0U);
  EXPECT_EQ(Count(GroupAdmissionCounter::kRefusedAtOnce), m_refused.size());
  EXPECT_GE(m_retry_after, GroupAdmission::MaxWait(kTarget));
}

TEST_F(GroupAdmissionTest, RefusesWhatHasWaitedTooLong) {
  Saturate();
  Submit("a");
  m_scheduler.RunFor(GroupAdmission::MaxWait(kTarget));
  EXPECT_EQ(m_refused, std::vector<std::string>{"a"});
  EXPECT_GT(m_retry_after, Duration::zero());
  EXPECT_EQ(m_admission.WaitingCount(), 0U);
}

// The entry of an admitted request may be gone.
TEST_F(GroupAdmissionTest, ARequestWithoutAnEndCountsUntilItsTimeLimit) {
  Submit("a");
  EXPECT_EQ(m_admission.InFlightCount(), 1U);
  m_scheduler.RunFor(kTimeLimit);
  EXPECT_EQ(m_admission.InFlightCount(), 0U);
  EXPECT_EQ(Count(GroupAdmissionCounter::kExpired), 1U);
}

TEST_F(GroupAdmissionTest, ARemovedRequestIsNotAdmitted) {
  Saturate();
  const AdmissionTicket ticket = Submit("a");
  m_admission.Finish(ticket, AdmittedOutcome::kUnknown);
  while (!m_running.empty()) EndOne();
  EXPECT_TRUE(m_admitted.empty());
  EXPECT_TRUE(m_refused.empty());
}

// Requests that were sent without asking use the same replicas.
TEST_F(GroupAdmissionTest, ReportedRequestsCountUntilTheReportIsOld) {
  m_admission.RecordInFlight("e1", 7);
  m_admission.RecordInFlight("e2", 3);
  m_admission.RecordInFlight("e1", 5);
  EXPECT_EQ(m_admission.InFlightCount(), 8U);
  m_scheduler.RunFor(GroupAdmission::kReportTime);
  EXPECT_EQ(m_admission.InFlightCount(), 0U);
}

TEST_F(GroupAdmissionTest, ReportsOfMissesSaturateTheGroup) {
  m_admission.RecordInFlight("e1", 20);
  m_admission.RecordEnd(
      {kTarget, kTarget * 2, AdmittedOutcome::kNotServedInTime});
  m_admission.RecordInFlight("e1", 19);
  EXPECT_TRUE(m_admission.IsSaturated());
  EXPECT_LT(m_admission.Limit(), 20);
}

// A limit that was learned under a load that has ended must not refuse a burst.
TEST_F(GroupAdmissionTest, ForgetsALoadThatHasEnded) {
  Saturate();
  while (!m_running.empty()) EndOne();
  m_scheduler.RunFor(seconds(10));
  EXPECT_FALSE(m_admission.IsSaturated());
  EXPECT_TRUE(m_admission.IsIdle());
  for (int i = 0; i < 100; ++i) Submit("a");
  EXPECT_EQ(m_admitted.size(), 100U);
}

}  // namespace
}  // namespace chicoryvale
