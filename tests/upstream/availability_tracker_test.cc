#include "upstream/availability_tracker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chicoryvale {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1000));
const Address kReplica{"127.0.0.1:1"};

/// What happens to a replica, or is reported about it, in a row of the fault
/// table.
enum class EventKind {
  kAnswerDraining,
  kAnswerServing,
  kConnectFailure,
  kListLeaving,
  kListLive,
  kOperatorDrains,
  kPeerDrains,
};

struct Event {
  int at_ms;
  EventKind kind;
  /// Send time of the answered attempt.
  int sent_ms = 0;
};

struct Row {
  std::string name;
  std::vector<Event> events;
  int checked_ms;
  bool unavailable;
};

TimePoint At(int ms) { return kStart + milliseconds(ms); }

void Play(const Event& event, AvailabilityTracker* tracker) {
  AvailabilityTracker::Record* record = tracker->FindOrCreateRecord(kReplica);
  const TimePoint now = At(event.at_ms);
  switch (event.kind) {
    case EventKind::kAnswerDraining:
      tracker->OnAnswer(record, true, At(event.sent_ms), now);
      break;
    case EventKind::kAnswerServing:
      tracker->OnAnswer(record, false, At(event.sent_ms), now);
      break;
    case EventKind::kConnectFailure:
      tracker->OnConnectFailure(record, now);
      break;
    case EventKind::kListLeaving:
      tracker->OnPlatformList({{kReplica, true}}, now);
      break;
    case EventKind::kListLive:
      tracker->OnPlatformList({{kReplica, false}}, now);
      break;
    case EventKind::kOperatorDrains:
      record->operator_draining = true;
      break;
    case EventKind::kPeerDrains:
      tracker->Merge({kReplica, AvailabilitySource::kDrainHeader, true, 1},
                     now);
      break;
  }
}

class AvailabilityTableTest : public testing::TestWithParam<Row> {};

TEST_P(AvailabilityTableTest, DecidesByTheMostRecentSignal) {
  AvailabilityTracker tracker{AvailabilitySettings{}};
  for (const Event& event : GetParam().events) Play(event, &tracker);
  const AvailabilityTracker::Record& record =
      *tracker.FindOrCreateRecord(kReplica);
  const TimePoint now = At(GetParam().checked_ms);
  EXPECT_EQ(
      tracker.IsDraining(record, now) || tracker.IsUnreachable(record, now),
      GetParam().unavailable);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, AvailabilityTableTest,
    testing::Values(
        Row{"NoSignals", {}, 0, false},
        Row{"DrainHeader", {{0, EventKind::kAnswerDraining}}, 0, true},
        Row{"ListLagsBehindDrain",
            {{0, EventKind::kAnswerDraining}, {1000, EventKind::kListLive}},
            9000,
            true},
        Row{"ListTurnsLiveAfterDrain",
            {{0, EventKind::kListLeaving},
             {1, EventKind::kAnswerDraining},
             {5000, EventKind::kListLive}},
            9000,
            true},
        Row{"AnswerOlderThanDrain",
            {{10, EventKind::kAnswerDraining},
             {20, EventKind::kAnswerServing, 5}},
            20,
            true},
        Row{"AnswerOlderThanPeersDrain",
            {{10, EventKind::kPeerDrains}, {20, EventKind::kAnswerServing, 5}},
            20,
            true},
        Row{"AnswerNewerThanDrain",
            {{10, EventKind::kAnswerDraining},
             {20, EventKind::kAnswerServing, 15}},
            20,
            false},
        Row{"PeerSawDrain", {{0, EventKind::kPeerDrains}}, 1, true},
        Row{"ListAloneTakesEffectWithin3s",
            {{0, EventKind::kListLeaving}},
            3000,
            true},
        Row{"ListIsWrongAndReplicaServes",
            {{0, EventKind::kListLeaving},
             {500, EventKind::kAnswerServing, 400}},
            3000,
            false},
        Row{"ListLeavingAnswerOlderThanList",
            {{100, EventKind::kListLeaving},
             {500, EventKind::kAnswerServing, 50}},
            3000,
            true},
        Row{"ListTurnsLive",
            {{0, EventKind::kListLeaving}, {2000, EventKind::kListLive}},
            3000,
            false},
        Row{"ListLiveButOperatorDrains",
            {{0, EventKind::kOperatorDrains},
             {10, EventKind::kListLive},
             {20, EventKind::kAnswerServing, 15}},
            3000,
            true},
        Row{"OneConnectFailure", {{0, EventKind::kConnectFailure}}, 1, false},
        Row{"ConnectFailures",
            {{0, EventKind::kConnectFailure},
             {1, EventKind::kConnectFailure},
             {2, EventKind::kConnectFailure}},
            3,
            true},
        Row{"ConnectFailuresThenAnswer",
            {{0, EventKind::kConnectFailure},
             {1, EventKind::kConnectFailure},
             {2, EventKind::kConnectFailure},
             {9, EventKind::kAnswerServing, 3}},
            9,
            false},
        Row{"ConnectFailuresAgainstLiveList",
            {{0, EventKind::kListLive},
             {0, EventKind::kConnectFailure},
             {1, EventKind::kConnectFailure},
             {2, EventKind::kConnectFailure}},
            3,
            true}),
    [](const testing::TestParamInfo<Row>& info) { return info.param.name; });

TEST(AvailabilityTrackerTest, MergesAreCommutativeAndIdempotent) {
  constexpr std::uint64_t kSeed = 11;
  std::mt19937_64 random(kSeed);
  std::vector<AvailabilitySignal> signals;
  signals.reserve(30);
  for (int i = 0; i < 30; ++i) {
    signals.push_back({kReplica, static_cast<AvailabilitySource>(random() % 2),
                       random() % 2 == 0, 1 + random() % 5});
  }
  std::optional<std::vector<AvailabilitySignal>> expected;
  for (int round = 0; round < 100; ++round) {
    std::ranges::shuffle(signals, random);
    AvailabilityTracker tracker{AvailabilitySettings{}};
    tracker.FindOrCreateRecord(kReplica);
    for (int twice = 0; twice < 2; ++twice) {
      for (const AvailabilitySignal& s : signals) tracker.Merge(s, kStart);
    }
    if (!expected) expected = tracker.Signals();
    ASSERT_EQ(tracker.Signals(), *expected) << "seed " << kSeed;
  }
}

TEST(AvailabilityTrackerTest, ChangesReachAPeerOnce) {
  AvailabilityTracker first{AvailabilitySettings{}};
  AvailabilityTracker second{AvailabilitySettings{}};
  second.FindOrCreateRecord(kReplica);
  first.OnAnswer(first.FindOrCreateRecord(kReplica), true, kStart, kStart);
  first.OnAnswer(first.FindOrCreateRecord(kReplica), true, kStart, kStart);
  const std::vector<AvailabilitySignal> changes = first.PopChanges();
  ASSERT_EQ(changes.size(), 1);
  EXPECT_TRUE(first.PopChanges().empty());
  EXPECT_TRUE(second.Merge(changes[0], kStart));
  EXPECT_FALSE(second.Merge(changes[0], kStart));
  EXPECT_TRUE(second.IsDraining(*second.FindOrCreateRecord(kReplica), kStart));
}

}  // namespace
}  // namespace chicoryvale
