// A randomized soak of real processes. CI plays the seeds below for some
// seconds each. By hand, for example fifty seeds of twenty seconds:
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

constexpr int kCiSeconds = 6;

std::uint64_t NumberFrom(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::stoull(text);
}

void Play(std::uint64_t seed, std::uint64_t play_seconds) {
  SoakRun run(seed);
  run.Run(seconds(static_cast<std::int64_t>(play_seconds)));
  std::printf("%s\n", run.Summary().c_str());
}

/// Fixed seeds, and each that ever failed, with a line on the cause.
class SoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SoakTest, KeepsItsPromises) { Play(GetParam(), kCiSeconds); }

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, testing::Values(1, 2));

TEST(SoakByHandTest, KeepsItsPromisesOnOtherSeeds) {
  const std::uint64_t first = NumberFrom("CHICORYVALE_SOAK_FIRST", 0);
  const std::uint64_t count = NumberFrom("CHICORYVALE_SOAK_SEEDS", 0);
  const std::uint64_t play_seconds =
      NumberFrom("CHICORYVALE_SOAK_SECONDS", kCiSeconds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Play(seed, play_seconds);
  }
}

}  // namespace
}  // namespace chicoryvale
