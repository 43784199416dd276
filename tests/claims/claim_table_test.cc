#include "claims/claim_table.h"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicoryvale {
namespace {

using enum ClaimAction;
using enum ClaimStatus;

constexpr std::uint64_t kNowMs = 1'800'000'000'000;
constexpr std::uint64_t kRetentionMs = 60'000;

ClaimTableOptions SmallTableOptions() {
  ClaimTableOptions options;
  options.retention = std::chrono::milliseconds(kRetentionMs);
  options.max_future_skew = std::chrono::milliseconds(1000);
  options.max_claims = 3;
  options.max_outcome_bytes = 8;
  options.max_total_outcome_bytes = 12;
  return options;
}

RequestId IdAt(std::uint64_t unix_ms, std::uint64_t low = 1) {
  return {unix_ms << 16, low};
}

/// Returns a command of entry "e" at kNowMs for a request id of kNowMs.
ClaimCommand Command(ClaimAction action, std::uint64_t arrival_id = 1) {
  ClaimCommand command;
  command.action = action;
  command.leader_unix_ms = kNowMs;
  command.request_id = IdAt(kNowMs);
  command.fingerprint = 42;
  command.owner = {"e", arrival_id};
  command.outcome = action == kRecordOutcome ? "booked" : "";
  return command;
}

struct Case {
  std::string name;
  std::vector<ClaimCommand> preceding;
  ClaimCommand last_command;
  ClaimStatus status;
};

TEST(ClaimTableTest, StatusDependsOnThePrecedingCommands) {
  const ClaimCommand claim = Command(kClaim);
  const ClaimCommand other = Command(kClaim, 2);
  const ClaimCommand release = Command(kRelease);
  const ClaimCommand record = Command(kRecordOutcome);
  ClaimCommand reused = other;
  reused.fingerprint = 43;
  ClaimCommand expired = claim;
  expired.request_id = IdAt(kNowMs - kRetentionMs - 1);
  ClaimCommand future = claim;
  future.request_id = IdAt(kNowMs + 1001);
  ClaimCommand without_entry_id = claim;
  without_entry_id.owner.entry_id.clear();
  ClaimCommand oversized = record;
  oversized.outcome = "too large";
  const std::vector<Case> cases = {
      {"first", {}, claim, kGranted},
      {"duplicate from its owner", {claim}, claim, kGranted},
      {"resend by the caller", {claim}, other, kClaimedByOther},
      {"after its outcome", {claim, record}, other, kRecorded},
      {"owner after its outcome", {claim, record}, claim, kRecorded},
      {"after a large outcome",
       {claim, oversized},
       other,
       kRecordedWithoutOutcome},
      {"after release", {claim, release}, other, kGranted},
      {"duplicate claim after release", {claim, release}, claim, kReleased},
      {"release before claim", {release}, claim, kReleased},
      {"resend after early release", {release}, other, kGranted},
      {"release by another arrival", {claim}, Command(kRelease, 2), kNotOwner},
      {"late release by old owner",
       {claim, release, other},
       release,
       kNotOwner},
      {"duplicate release", {claim, release}, release, kDone},
      {"release after outcome", {claim, record}, release, kNotOwner},
      {"outcome without claim", {}, record, kNotOwner},
      {"outcome after release", {claim, release}, record, kNotOwner},
      {"outcome from another arrival",
       {claim},
       Command(kRecordOutcome, 2),
       kNotOwner},
      {"duplicate outcome", {claim, record}, record, kDone},
      {"id reused", {claim}, reused, kIdReused},
      {"older than the retention", {}, expired, kExpired},
      {"too far in the future", {}, future, kInvalid},
      {"no entry id", {}, without_entry_id, kInvalid},
  };
  for (const Case& c : cases) {
    ClaimTable table(SmallTableOptions());
    for (const ClaimCommand& command : c.preceding) table.Apply(command);
    const ClaimResult result = table.Apply(c.last_command);
    EXPECT_EQ(result.status, c.status)
        << c.name << ": " << ClaimStatusName(result.status);
    EXPECT_EQ(result.outcome, c.status == kRecorded ? "booked" : "") << c.name;
  }
}

TEST(ClaimTableTest, RemovedClaimIsNeverGrantedAgainUnderAnyLeaderClock) {
  ClaimTable table(SmallTableOptions());
  table.Apply(Command(kClaim));
  ClaimCommand later = Command(kClaim, 2);
  later.leader_unix_ms = kNowMs + kRetentionMs + 1;
  EXPECT_EQ(table.Apply(later).status, kExpired);
  EXPECT_EQ(table.Size(), 0U);
  EXPECT_EQ(table.Apply(Command(kClaim, 3)).status, kExpired);
}

TEST(ClaimTableTest, ClockJumpOfOneLeaderDoesNotAffectTheNext) {
  ClaimTable table(SmallTableOptions());
  table.Apply(Command(kClaim));
  ClaimCommand jumped = Command(kClaim);
  jumped.leader_unix_ms = kNowMs + 1'000'000'000;
  EXPECT_EQ(table.Apply(jumped).status, kExpired);
  ClaimCommand next = Command(kClaim);
  next.request_id = IdAt(kNowMs + 1);
  EXPECT_EQ(table.Apply(next).status, kGranted);
}

TEST(ClaimTableTest, FullTableRefusesClaimsAndKeepsTheExistingOnes) {
  ClaimTable table(SmallTableOptions());
  ClaimCommand command = Command(kClaim);
  for (std::uint64_t low = 1; low <= 3; ++low) {
    command.request_id.low = low;
    EXPECT_EQ(table.Apply(command).status, kGranted);
  }
  command.request_id.low = 4;
  EXPECT_EQ(table.Apply(command).status, kTableFull);
  EXPECT_EQ(ClaimError(kTableFull).ran, Ran::kNo);
  command.request_id.low = 1;
  command.owner.arrival_id = 2;
  EXPECT_EQ(table.Apply(command).status, kClaimedByOther);
}

TEST(ClaimTableTest, OutcomesBeyondTheTotalSizeLimitAreNotStored) {
  ClaimTable table(SmallTableOptions());
  for (std::uint64_t low = 1; low <= 3; ++low) {
    ClaimCommand command = Command(kClaim);
    command.request_id.low = low;
    table.Apply(command);
    command.action = kRecordOutcome;
    command.outcome = "booked";
    table.Apply(command);
  }
  ClaimCommand resend = Command(kClaim, 2);
  resend.request_id.low = 2;
  EXPECT_EQ(table.Apply(resend).status, kRecorded);
  resend.request_id.low = 3;
  EXPECT_EQ(table.Apply(resend).status, kRecordedWithoutOutcome);
}

TEST(ClaimTableTest, StatusesWithoutAnOutcomeMapToErrors) {
  EXPECT_EQ(ClaimError(kClaimedByOther).kind, ErrorKind::kMayHaveRun);
  EXPECT_EQ(ClaimError(kRecordedWithoutOutcome).kind, ErrorKind::kAlreadyRan);
  EXPECT_EQ(ClaimError(kExpired).kind, ErrorKind::kRequestIdExpired);
  EXPECT_EQ(ClaimError(kIdReused).kind, ErrorKind::kRequestIdReused);
  EXPECT_EQ(ClaimError(kInvalid).kind, ErrorKind::kMalformedRequest);
}

// Applies random commands with duplicates, reordering and differing leader
// clocks. At most one owner of each request id may dispatch without having
// released its claim.
TEST(ClaimTableTest, RandomCommandsGrantEachIdToOneDispatcher) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    ClaimTable table(SmallTableOptions());
    std::vector<ClaimCommand> sent;
    std::set<std::pair<std::uint64_t, std::uint64_t>> released;
    std::map<std::uint64_t, std::uint64_t> dispatcher;
    for (int step = 0; step < 60; ++step) {
      ClaimCommand command = Command(kClaim, random() % 4);
      const std::uint64_t id = random() % 2;
      command.request_id.low = id;
      const bool is_duplicate = !sent.empty() && random() % 3 == 0;
      if (is_duplicate) command = sent[random() % sent.size()];
      command.leader_unix_ms = kNowMs + random() % (kRetentionMs * 2);
      const std::pair key(command.request_id.low, command.owner.arrival_id);
      const bool dispatched =
          dispatcher.contains(key.first) && dispatcher[key.first] == key.second;
      if (command.action == kClaim && !dispatched && random() % 4 == 0) {
        command.action = kRelease;
        released.insert(key);
      }
      sent.push_back(command);
      const ClaimResult result = table.Apply(command);
      if (result.status == kGranted && !released.contains(key)) {
        const auto [first, is_new] = dispatcher.emplace(key);
        EXPECT_TRUE(is_new || first->second == key.second);
      }
      ClaimTable restored(SmallTableOptions());
      ASSERT_TRUE(restored.DecodeState(table.EncodeState()));
      ASSERT_EQ(restored.Hash(), table.Hash());
      if (random() % 4 == 0) table = restored;
    }
  }
}

TEST(RequestIdTest, ParsesOnlyTheFormatThatItWrites) {
  std::mt19937_64 random(7);
  const RequestId id = MakeRequestId(kNowMs, &random);
  const std::string text = FormatRequestId(id);
  EXPECT_EQ(text.size(), 32U);
  EXPECT_EQ(ParseRequestId(text), id);
  EXPECT_EQ(id.UnixMs(), kNowMs);
  EXPECT_LT(id, MakeRequestId(kNowMs + 1, &random));
  EXPECT_EQ(ParseRequestId("019F0A7C-1234").has_value(), false);
  EXPECT_FALSE(ParseRequestId(text + "0"));
  EXPECT_FALSE(ParseRequestId("g" + text.substr(1)));
  EXPECT_FALSE(ParseRequestId("-" + text.substr(1)));
}

}  // namespace
}  // namespace chicoryvale
