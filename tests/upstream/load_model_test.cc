#include "upstream/load_model.h"

#include <gtest/gtest.h>

#include <string>

namespace chicoryvale::upstream_test {
namespace {

struct Row {
  std::string name;
  LoadFault fault;
};

class ReplicaChoiceTest : public testing::TestWithParam<Row> {};

TEST_P(ReplicaChoiceTest, TailLatencyIsNotWorseThanThatOfTheBaselines) {
  LoadModelOptions options;
  options.fault = GetParam().fault;
  options.length = seconds(30);
  SCOPED_TRACE("seed " + std::to_string(options.seed));
  const Duration own = LoadModel(options).Run().p99;
  for (const ChoiceKind baseline :
       {ChoiceKind::kRoundRobin, ChoiceKind::kLeastReportedLoad}) {
    options.choice = baseline;
    EXPECT_LE(own, LoadModel(options).Run().p99);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ReplicaChoiceTest,
    testing::Values(Row{"None", LoadFault::kNone},
                    Row{"ReportsLag", LoadFault::kReportsLag},
                    Row{"ReportsStuck", LoadFault::kReportsStuck},
                    Row{"ReportsInverted", LoadFault::kReportsInverted},
                    Row{"SlowReplica", LoadFault::kSlowReplica},
                    Row{"SlowAndReportsIdle", LoadFault::kSlowAndReportsIdle},
                    Row{"ColdStart", LoadFault::kColdStart}),
    [](const testing::TestParamInfo<Row>& info) { return info.param.name; });

TEST(OverloadTest, GoodputIsMaintainedBeyondTheCapacity) {
  /// Target of the product: at least 90% of the goodput at the capacity.
  constexpr double kTarget = 0.9;
  struct Shape {
    std::size_t entries;
    std::size_t replicas;
    std::uint32_t slots;
  };
  for (const Shape& shape : {Shape{4, 7, 3}, Shape{16, 2, 2}}) {
    LoadModelOptions options;
    options.entries = shape.entries;
    options.replicas = shape.replicas;
    options.slots = shape.slots;
    options.length = seconds(20);
    options.load = 1.0;
    const auto at_capacity =
        static_cast<double>(LoadModel(options).Run().answered_in_time);
    for (const double load : {2.0, 5.0}) {
      options.load = load;
      const LoadModelResult result = LoadModel(options).Run();
      EXPECT_GE(static_cast<double>(result.answered_in_time),
                kTarget * at_capacity)
          << "seed " << options.seed << " load " << load << " replicas "
          << shape.replicas;
    }
  }
}

}  // namespace
}  // namespace chicoryvale::upstream_test
