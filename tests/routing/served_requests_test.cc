#include "routing/served_requests.h"

#include <gtest/gtest.h>

#include <cstdint>

#include "base/hash.h"

namespace chicoryvale {
namespace {

std::uint64_t Fingerprint(std::uint64_t number) { return MixHash(number); }

TEST(ServedRequestsTest, OnlyRecordedRequestsAreRemembered) {
  ServedRequests served;
  served.Record(Fingerprint(1));
  EXPECT_TRUE(served.Contains(Fingerprint(1)));
  EXPECT_FALSE(served.Contains(Fingerprint(2)));
}

// A page that many read must not be forgotten because of requests that are
// sent once.
TEST(ServedRequestsTest, ARequestThatComesOftenIsNotForgotten) {
  constexpr std::uint64_t kOthers = 1'000'000;
  ServedRequests served;
  for (std::uint64_t i = 2; i < kOthers; ++i) {
    if (i % 1000 == 0) served.Record(Fingerprint(1));
    served.Record(Fingerprint(i));
  }
  EXPECT_TRUE(served.Contains(Fingerprint(1)));
  EXPECT_FALSE(served.Contains(Fingerprint(2)));
}

}  // namespace
}  // namespace chicoryvale
