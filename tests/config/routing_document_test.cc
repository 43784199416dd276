#include <gtest/gtest.h>

#include <random>
#include <string>

#include "config/config_delta.h"
#include "config/config_state.h"
#include "fakes/routing_text.h"

namespace chicoryvale {
namespace {

Change MakeChange(std::uint64_t version, const std::string& text,
                  std::uint64_t expected = 0) {
  Change change;
  change.operation_id = std::to_string(version) + text;
  change.expected_version = expected;
  change.payload = ReplaceRouting{{version, text}};
  return change;
}

TEST(RoutingDocumentTest, TheHighestVersionIsInForceWhateverVersionIsExpected) {
  ConfigState state;
  EXPECT_EQ(state.Apply(MakeChange(7, "seven", 99)).outcome,
            ChangeOutcome::kAccepted);
  EXPECT_EQ(state.Config().version, 1U);
  for (const auto& [version, text] :
       {std::pair<std::uint64_t, std::string>{6, "six"}, {7, "other"}}) {
    EXPECT_EQ(state.Apply(MakeChange(version, text)).outcome,
              ChangeOutcome::kAccepted);
  }
  EXPECT_EQ(state.Config().version, 1U);
  EXPECT_EQ(state.Config().routing, (RoutingDocument{7, "seven"}));
  state.Apply(MakeChange(20, "twenty"));
  EXPECT_EQ(state.Config().version, 2U);
  EXPECT_EQ(state.Config().routing.version, 20U);
}

TEST(RoutingDocumentTest, IsPartOfTheEncodedState) {
  ConfigState state;
  state.Apply(MakeChange(7, "seven"));
  ConfigState copy;
  ASSERT_TRUE(copy.DecodeState(state.EncodeState()));
  EXPECT_EQ(copy.Config().routing, state.Config().routing);
}

TEST(RoutingDocumentTest, RefusesADocumentThatIsTooLarge) {
  ConfigState state;
  EXPECT_EQ(state.Apply(MakeChange(7, std::string((1 << 20) + 1, 'x'))).outcome,
            ChangeOutcome::kInvalidChange);
}

TEST(RoutingDocumentTest, ADeltaContainsOnlyTheChangedText) {
  ClusterConfig from;
  from.version = 1;
  from.routing = {1, std::string(50'000, 'a') + "old" + std::string(50, 'b')};
  ClusterConfig to = from;
  to.version = 2;
  to.routing = {2, std::string(50'000, 'a') + "newer" + std::string(50, 'b')};
  const auto delta = MakeDelta(from, to);
  ASSERT_TRUE(delta);
  EXPECT_LT(delta->bytes.size(), 200U);
  ASSERT_TRUE(ApplyDelta(*delta, &from));
  EXPECT_EQ(from, to);
}

// The version at the head and a route at the end made the delta nearly the
// whole text, which entries then received for each change of a storm.
TEST(RoutingDocumentTest, ADeltaOfDistantChangesWeighsWhatTheyChange) {
  constexpr std::size_t kMaxDeltaBytes = 1000;
  for (const std::size_t routes : {20U, 1400U, 5600U}) {
    ClusterConfig from;
    from.version = 1;
    from.routing = {1, MakeRoutingText(1, routes)};
    ClusterConfig to = from;
    to.version = 2;
    to.routing = {2, MakeRoutingText(2, routes, routes - 1)};
    const auto delta = MakeDelta(from, to);
    ASSERT_TRUE(delta);
    EXPECT_LT(delta->bytes.size(), kMaxDeltaBytes) << routes;
    ASSERT_TRUE(ApplyDelta(*delta, &from));
    EXPECT_EQ(from, to);
  }
}

TEST(RoutingDocumentTest, DeltasBetweenRandomTextsGiveTheNewText) {
  constexpr int kTrials = 500;
  std::mt19937 random(11);
  const auto text = [&random] {
    std::string result(random() % 6, 'a');
    for (char& letter : result) letter = static_cast<char>('a' + random() % 2);
    return result;
  };
  for (int i = 0; i < kTrials; ++i) {
    ClusterConfig from;
    from.routing = {1, text()};
    ClusterConfig to;
    to.version = 1;
    to.routing = {2, text()};
    const auto delta = MakeDelta(from, to);
    ASSERT_TRUE(delta);
    ASSERT_TRUE(ApplyDelta(*delta, &from));
    EXPECT_EQ(from, to);
  }
}

}  // namespace
}  // namespace chicoryvale
