#include "base/memory_account.h"

#include <gtest/gtest.h>

namespace chicoryvale {
namespace {

TEST(MemoryAccountTest, IsTightBeforeItIsOver) {
  MemoryAccount account(100);
  account.Add(75);
  EXPECT_FALSE(account.IsTight());
  account.Add(25);
  EXPECT_TRUE(account.IsTight());
  EXPECT_FALSE(account.IsOver());
  account.Add(1);
  EXPECT_TRUE(account.IsOver());
  account.Release(101);
  EXPECT_FALSE(account.IsTight());
  EXPECT_EQ(account.HeldBytes(), 0U);
  EXPECT_EQ(account.PeakBytes(), 101U);
}

// Bytes that are never released would refuse callers for ever.
TEST(MemoryAccountTest, AHolderReleasesItsBytesWhenItIsDestroyed) {
  MemoryAccount account(100);
  {
    AccountedBytes first(&account);
    AccountedBytes second(&account);
    first.Set(10);
    second.Set(20);
    first.Set(5);
    EXPECT_EQ(account.HeldBytes(), 25U);
  }
  EXPECT_EQ(account.HeldBytes(), 0U);
  EXPECT_EQ(account.PeakBytes(), 30U);
}

}  // namespace
}  // namespace chicoryvale
