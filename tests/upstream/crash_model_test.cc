#include "upstream/crash_model.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace chicoryvale::upstream_test {
namespace {

/// Target of the product: maximum number of upstreams lost to one request.
constexpr std::uint64_t kMaxLost = 2;
constexpr std::uint64_t kSeeds = 3;

struct Row {
  std::string name;
  CallerKind caller;
  double other_crashes_per_second;
  std::size_t mass_crash;
};

class CrashModelTest : public testing::TestWithParam<Row> {};

TEST_P(CrashModelTest, FewUpstreamsAreLostAndNoHealthyRequestIsQuarantined) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    CrashModelOptions options;
    options.caller = GetParam().caller;
    options.other_crashes_per_second = GetParam().other_crashes_per_second;
    options.mass_crash = GetParam().mass_crash;
    options.length = seconds(10);
    options.seed = seed;
    const CrashModelResult result = CrashModel(options).Run();
    EXPECT_GT(result.healthy, 500);
    EXPECT_LE(result.max_lost_per_request, kMaxLost);
    EXPECT_EQ(result.healthy_quarantined, 0);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Callers, CrashModelTest,
    testing::Values(
        Row{"Resends", CallerKind::kResends, 0.0, 0},
        Row{"RacesThroughAllEntries", CallerKind::kRaces, 0.0, 0},
        Row{"VariesItsRequest", CallerKind::kVaries, 0.0, 0},
        Row{"UpstreamsCrashForOtherCauses", CallerKind::kNone, 1.0, 0},
        Row{"HalfTheUpstreamsCrashTogether", CallerKind::kNone, 0.0, 20}),
    [](const testing::TestParamInfo<Row>& info) { return info.param.name; });

}  // namespace
}  // namespace chicoryvale::upstream_test
