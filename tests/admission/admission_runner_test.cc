#include "admission/admission_runner.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "fakes/fake_scheduler.h"

namespace chicoryvale {
namespace {

// Holds each query until the test answers it.
class ManualRunner : public QueryRunner {
 public:
  std::vector<QuerySpec> m_specs;
  std::vector<QueryCallback> m_callbacks;

 protected:
  void OnRun(QuerySpec spec, std::shared_ptr<AnswerMergerFactory>,
             QueryCallback callback) override {
    m_specs.push_back(std::move(spec));
    m_callbacks.push_back(std::move(callback));
  }
};

QuerySpec MakeSpec(Duration deadline) {
  QuerySpec spec;
  spec.service = "s";
  spec.workspace = "w";
  spec.timeout = deadline;
  return spec;
}

class AdmissionRunnerTest : public testing::Test {
 protected:
  void Run(Duration deadline) {
    m_runner.Run(MakeSpec(deadline), nullptr, [this](QueryAnswer answer) {
      m_answers.push_back(std::move(answer));
    });
  }

  FakeScheduler m_scheduler;
  ManualRunner m_next;
  AdmissionRunner m_runner{&m_scheduler, &m_next};
  std::vector<QueryAnswer> m_answers;
};

TEST_F(AdmissionRunnerTest, RunsAnAdmittedQueryOnce) {
  Run(milliseconds(400));
  EXPECT_TRUE(m_next.m_specs.empty()) << "started from within Run";
  m_scheduler.RunFor(milliseconds(1));
  ASSERT_EQ(m_next.m_specs.size(), 1U);
  EXPECT_LE(m_next.m_specs[0].timeout, milliseconds(400));
  m_next.m_callbacks[0](QueryAnswer());
  EXPECT_EQ(m_answers.size(), 1U);
  EXPECT_TRUE(m_answers[0].body);
}

TEST_F(AdmissionRunnerTest, RefusedQueriesReportThatTheyDidNotRun) {
  constexpr int kQueries = 3000;
  for (int i = 0; i < kQueries; ++i) Run(milliseconds(400));
  m_scheduler.RunFor(seconds(1));
  const std::size_t started_count = m_next.m_specs.size();
  EXPECT_LT(started_count, static_cast<std::size_t>(kQueries));
  EXPECT_EQ(m_answers.size(), kQueries - started_count);
  for (const QueryAnswer& answer : m_answers) {
    ASSERT_FALSE(answer.body);
    EXPECT_EQ(answer.body.error().ran, Ran::kNo);
  }
}

TEST_F(AdmissionRunnerTest, WaitingQueryRunsWithItsRemainingDeadline) {
  constexpr int kQueries = 200;
  for (int i = 0; i < kQueries; ++i) Run(milliseconds(400));
  m_scheduler.RunFor(milliseconds(100));
  const std::size_t started_immediately = m_next.m_specs.size();
  ASSERT_LT(started_immediately, static_cast<std::size_t>(kQueries));
  m_next.m_callbacks[0](QueryAnswer());
  m_scheduler.RunFor(milliseconds(1));
  ASSERT_GT(m_next.m_specs.size(), started_immediately);
  EXPECT_LE(m_next.m_specs.back().timeout, milliseconds(300));
}

}  // namespace
}  // namespace chicoryvale
