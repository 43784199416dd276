// A randomized soak of real processes. CI runs each of the seeds below for
// kCiDurationSeconds. To run other seeds by hand, for example fifty seeds for
// twenty seconds each:
//   CHICORYVALE_SOAK_FIRST=100 CHICORYVALE_SOAK_SEEDS=50
//   CHICORYVALE_SOAK_SECONDS=20 build/soak_tests --gtest_filter='*ByHand*'

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "soak/soak_run.h"

namespace chicoryvale {
namespace {

constexpr int kCiDurationSeconds = 6;

std::uint64_t ReadNumberFromEnvironment(const char* variable,
                                        std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::stoull(text);
}

void RunSoak(std::uint64_t seed, std::uint64_t duration_s) {
  SoakRun run(seed);
  run.Run(seconds(static_cast<std::int64_t>(duration_s)));
  std::printf("%s\n", run.Summary().c_str());
}

/// Fixed seeds. A seed that has failed is added, with a line on the cause.
class SoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SoakTest, GuaranteesHoldUnderFaults) {
  RunSoak(GetParam(), kCiDurationSeconds);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, testing::Values(1, 2));

TEST(SoakByHandTest, GuaranteesHoldOnSeedsFromEnvironment) {
  const std::uint64_t first =
      ReadNumberFromEnvironment("CHICORYVALE_SOAK_FIRST", 0);
  const std::uint64_t count =
      ReadNumberFromEnvironment("CHICORYVALE_SOAK_SEEDS", 0);
  const std::uint64_t duration_s =
      ReadNumberFromEnvironment("CHICORYVALE_SOAK_SECONDS", kCiDurationSeconds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    RunSoak(seed, duration_s);
  }
}

}  // namespace
}  // namespace chicoryvale
