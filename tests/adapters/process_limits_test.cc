#include "adapters/process_limits.h"

#include <gtest/gtest.h>

namespace chicoryvale {
namespace {

constexpr std::size_t kMb = std::size_t{1} << 20;

// Some hundred callers with bodies of 64 KiB must fit in the smallest entry VM.
TEST(ProcessLimitsTest, TheSmallestEntryVmServesOrdinaryCallers) {
  const ProcessLimits parts =
      DivideResources({.memory_bytes = 112 * kMb, .max_fds = 2870});
  EXPECT_GT(parts.caller_bytes * 3 / 4, 300 * 64 * 1024);
  EXPECT_GT(parts.caller_connections, 1000U);
}

// Copies of all accounted bytes, incomplete responses and the process itself
// must fit in the memory, and all connections in the descriptors.
TEST(ProcessLimitsTest, ThePartsFitInTheWhole) {
  for (const std::size_t memory_mb : {48U, 112U, 256U, 4096U}) {
    for (const std::uint32_t max_fds : {256U, 2870U, 100'000U}) {
      const ProcessLimits parts = DivideResources(
          {.memory_bytes = memory_mb * kMb, .max_fds = max_fds});
      EXPECT_LE(2 * parts.caller_bytes + parts.response_bytes + 8 * kMb,
                memory_mb * kMb);
      EXPECT_LE(parts.caller_connections + parts.replica_connections + 64,
                max_fds);
    }
  }
}

TEST(ProcessLimitsTest, UnsetLimitsComeFromTheKernel) {
  const ProcessLimits parts = DivideResources({});
  EXPECT_GT(parts.caller_bytes, 2 * kMb);
  EXPECT_GT(parts.caller_connections, 1U);
}

}  // namespace
}  // namespace chicoryvale
