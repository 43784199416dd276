// Zones under load, with entries that decide alone. The bounds are those of the
// requirement: neither nothing nor everything leaves, without swings, and not
// at the cost of the other zone's callers.

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "placement/zone_model.h"

namespace chicoryvale {
namespace {

constexpr double kCapacity = ZoneModel::kCapacity;
constexpr Duration kSettled = seconds(5);

class ZoneOverflowLoadTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  static ZoneModel Model(const std::vector<ModelZone>& zones,
                         bool enabled = true) {
    return {zones, enabled, GetParam()};
  }

  // Expects that the callers of the first zone get as many answers in time as
  // without the module, but for the chance of a random load.
  static void ExpectNoLessThanWithoutIt(const std::vector<ModelZone>& zones) {
    ZoneModel on = Model(zones);
    ZoneModel off = Model(zones, false);
    on.RunFor(kSettled);
    off.RunFor(kSettled);
    EXPECT_GE(on.RunFor(seconds(20))[0].InTime(),
              off.RunFor(seconds(20))[0].InTime() - 0.01);
  }
};

// Guards against paying for the way to another zone without need: a queue of a
// moment was reason enough for the constant cost.
TEST_P(ZoneOverflowLoadTest, NothingLeavesWhileThereIsRoom) {
  ZoneModel model = Model({{.requests_per_s = 0.5 * kCapacity},
                           {.requests_per_s = 0.2 * kCapacity}});
  model.RunFor(kSettled);
  const auto outcomes = model.RunFor(seconds(20));
  EXPECT_LE(outcomes[0].ShareElsewhere(), 0.01);
  EXPECT_LE(outcomes[1].ShareElsewhere(), 0.01);
}

TEST_P(ZoneOverflowLoadTest, TheExcessLeavesAndNotAll) {
  ZoneModel model = Model({{.requests_per_s = 1.4 * kCapacity},
                           {.requests_per_s = 0.1 * kCapacity}});
  model.RunFor(kSettled);
  const auto outcomes = model.RunFor(seconds(20));
  // An excess of 0.4 / 1.4 does not fit; the rest of the slots need not idle.
  EXPECT_GE(outcomes[0].ShareElsewhere(), 0.2);
  EXPECT_LE(outcomes[0].ShareElsewhere(), 0.5);
  EXPECT_GE(outcomes[0].InTime(), 0.9);
  EXPECT_GE(outcomes[1].InTime(), 0.95);
}

// Entries with the same information that all switch at once would fill the
// zones in turn.
TEST_P(ZoneOverflowLoadTest, TheShareDoesNotSwing) {
  ZoneModel model = Model({{.requests_per_s = 1.4 * kCapacity},
                           {.requests_per_s = 0.1 * kCapacity}});
  model.RunFor(kSettled);
  for (int second = 0; second < 30; ++second) {
    const double share = model.RunFor(seconds(1))[0].ShareElsewhere();
    EXPECT_GE(share, 0.05) << second;
    EXPECT_LE(share, 0.6) << second;
  }
}

// Both zones together are short of room. Without the module, the callers of the
// zone that had room for its own were late too.
TEST_P(ZoneOverflowLoadTest, CallersGetMoreThanWithoutItUnderOverload) {
  const std::vector<ModelZone> zones = {{.requests_per_s = 1.4 * kCapacity},
                                        {.requests_per_s = 0.85 * kCapacity}};
  const auto in_time = [&zones](bool enabled) {
    ZoneModel model = Model(zones, enabled);
    model.RunFor(kSettled);
    const auto outcomes = model.RunFor(seconds(20));
    return outcomes[0].in_time + outcomes[1].in_time;
  };
  EXPECT_GT(in_time(true), in_time(false));
}

// With room elsewhere, the cost of a queue alone serves nearly all requests in
// time, so the module can't serve more; it must not serve fewer.
TEST_P(ZoneOverflowLoadTest, CallersGetNoLessThanWithoutItWithRoomElsewhere) {
  ExpectNoLessThanWithoutIt({{.requests_per_s = 1.4 * kCapacity},
                             {.requests_per_s = 0.1 * kCapacity}});
}

// The other zone has less room, but more than the excess.
TEST_P(ZoneOverflowLoadTest, CallersGetNoLessThanWithoutItWithASmallExcess) {
  ExpectNoLessThanWithoutIt({{.requests_per_s = 1.1 * kCapacity},
                             {.requests_per_s = 0.6 * kCapacity}});
}

// The own callers of a zone come before those of others.
TEST_P(ZoneOverflowLoadTest, AFullZoneGetsNothingFromOthers) {
  ZoneModel model = Model({{.requests_per_s = 1.4 * kCapacity},
                           {.requests_per_s = 0.85 * kCapacity}});
  model.RunFor(kSettled);
  const auto outcomes = model.RunFor(seconds(20));
  EXPECT_LE(outcomes[0].ShareElsewhere(), 0.1);
  ZoneModel alone =
      Model({{.requests_per_s = 0.01}, {.requests_per_s = 0.85 * kCapacity}});
  alone.RunFor(kSettled);
  EXPECT_GE(outcomes[1].InTime(), alone.RunFor(seconds(20))[1].InTime() - 0.05);
}

// Two zones that are both short of room must not send to each other.
TEST_P(ZoneOverflowLoadTest, TwoZonesInNeedUseTheThird) {
  ZoneModel model = Model({{.requests_per_s = 1.2 * kCapacity},
                           {.requests_per_s = 1.2 * kCapacity},
                           {.requests_per_s = 0.1 * kCapacity}});
  model.RunFor(kSettled);
  const auto outcomes = model.RunFor(seconds(20));
  for (const std::size_t zone : {0U, 1U}) {
    EXPECT_GE(outcomes[zone].ShareElsewhere(), 0.1);
    EXPECT_LE(outcomes[zone].ShareElsewhere(), 0.5);
    EXPECT_GE(outcomes[zone].InTime(), 0.9);
  }
  EXPECT_GE(outcomes[2].InTime(), 0.95);
}

TEST_P(ZoneOverflowLoadTest, RequestsLeaveAZoneOfSlowReplicas) {
  const std::vector<ModelZone> zones = {
      {.requests_per_s = 0.1 * kCapacity, .replicas = 4, .slowness = 6},
      {.requests_per_s = 0.1 * kCapacity}};
  ZoneModel model = Model(zones);
  model.RunFor(kSettled);
  const auto outcomes = model.RunFor(seconds(20));
  EXPECT_GE(outcomes[0].ShareElsewhere(), 0.4);
  EXPECT_GE(outcomes[1].InTime(), 0.95);
  // The mean latencies of the replicas become low again with their answers, of
  // which an entry gets one in some seconds here. Callers must not notice.
  model.SetZone(0, {.requests_per_s = 0.1 * kCapacity});
  EXPECT_GE(model.RunFor(seconds(30))[0].InTime(), 0.95);
  EXPECT_LE(model.RunFor(seconds(10))[0].ShareElsewhere(), 0.05);
}

TEST_P(ZoneOverflowLoadTest, AnEvacuatedZoneIsLeftAtOnce) {
  ZoneModel model = Model({{.requests_per_s = 0.3 * kCapacity},
                           {.requests_per_s = 0.3 * kCapacity}});
  model.RunFor(kSettled);
  model.SetEvacuated({"a"});
  EXPECT_EQ(model.RunFor(seconds(1))[0].ShareElsewhere(), 1);
  const auto outcomes = model.RunFor(seconds(10));
  EXPECT_EQ(outcomes[0].ShareElsewhere(), 1);
  EXPECT_GE(outcomes[0].InTime(), 0.95);
  model.SetEvacuated({});
  model.RunFor(kSettled);
  EXPECT_LE(model.RunFor(seconds(10))[0].ShareElsewhere(), 0.01);
}

TEST_P(ZoneOverflowLoadTest, AZoneOfUnknownLoadGetsAtMostATenth) {
  ZoneModel model = Model({{.requests_per_s = 1.4 * kCapacity},
                           {.requests_per_s = 0.1 * kCapacity}});
  model.HideLoad(1);
  model.RunFor(kSettled);
  const double share = model.RunFor(seconds(20))[0].ShareElsewhere();
  EXPECT_GT(share, 0.01);
  // A tenth, and the chance of the draws.
  EXPECT_LE(share, 0.11);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ZoneOverflowLoadTest,
                         testing::Values(1, 2, 3, 4));

}  // namespace
}  // namespace chicoryvale
