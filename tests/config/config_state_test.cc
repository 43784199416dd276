#include "config/config_state.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "config/schema_rules.h"

namespace chicoryvale {
namespace {

using enum ChangeOutcome;

const char kService[] = "macchie.EyepieceDesk";

std::vector<ShardConfig> MakeShards(const std::string& port = "9000") {
  return {{{{{"127.0.0.1:" + port}, "a", false}}},
          {{{{"127.0.0.2:" + port}, "b", false}}}};
}

Change MakeChange(std::string id, std::uint64_t version, ChangePayload payload,
                  std::string service = kService) {
  return {std::move(id), version, std::move(service), std::move(payload)};
}

/// A state at version 1 with one placed service.
ConfigState MakeStateWithService(const SchemaRules* rules = nullptr,
                                 std::size_t retained_operations = 100) {
  ConfigState state(rules, retained_operations);
  EXPECT_EQ(
      state.Apply(MakeChange("place", 0, SetPlacement{MakeShards(), {}, 7}))
          .outcome,
      kAccepted);
  return state;
}

struct Case {
  std::string name;
  Change change;
  ChangeOutcome outcome;
  std::uint64_t version;
};

TEST(ConfigStateTest, AcceptsOrRefusesEachKindOfChange) {
  const std::vector<Case> cases = {
      {"schema", MakeChange("x", 1, ApplySchema{"s"}, ""), kAccepted, 2},
      {"empty schema", MakeChange("x", 1, ApplySchema{""}, ""), kInvalidChange,
       1},
      {"schema with service", MakeChange("x", 1, ApplySchema{"s"}),
       kInvalidChange, 1},
      {"old version", MakeChange("x", 0, SetLimits{{3, 9}}), kVersionConflict,
       1},
      {"new version", MakeChange("x", 2, SetLimits{{3, 9}}), kVersionConflict,
       1},
      {"limits", MakeChange("x", 1, SetLimits{{3, 9}}), kAccepted, 2},
      {"no slots", MakeChange("x", 1, SetLimits{{0, 9}}), kInvalidChange, 1},
      {"no connections", MakeChange("x", 1, SetLimits{{3, 0}}), kInvalidChange,
       1},
      {"unknown service", MakeChange("x", 1, SetLimits{{3, 9}}, "no"),
       kInvalidChange, 1},
      {"drain", MakeChange("x", 1, DrainReplica{{"127.0.0.1:9000"}, true}),
       kAccepted, 2},
      {"drain unknown",
       MakeChange("x", 1, DrainReplica{{"127.0.0.9:9000"}, true}),
       kInvalidChange, 1},
      {"publish", MakeChange("x", 1, PublishIndex{8}), kAccepted, 2},
      {"publish older", MakeChange("x", 1, PublishIndex{6}), kInvalidChange, 1},
      {"quarantine", MakeChange("x", 1, Quarantine{5, false}), kAccepted, 2},
      {"release unknown", MakeChange("x", 1, Quarantine{5, true}),
       kInvalidChange, 1},
      {"empty map", MakeChange("x", 1, SetPlacement{{}, {}, 0}), kInvalidChange,
       1},
      {"empty shard", MakeChange("x", 1, SetPlacement{{{}}, {}, 0}),
       kInvalidChange, 1},
      {"bad address",
       MakeChange("x", 1,
                  SetPlacement{{{{{{"127.0.0.1:0"}, "a", false}}}}, {}, 0}),
       kInvalidChange, 1},
      {"replica twice",
       MakeChange("x", 1,
                  SetPlacement{
                      {{{{{"1.1.1.1:1"}, "a"}, {{"1.1.1.1:1"}, "b"}}}}, {}, 0}),
       kInvalidChange, 1},
      {"placement with older index",
       MakeChange("x", 1, SetPlacement{MakeShards(), {}, 6}), kInvalidChange,
       1},
      {"empty id", MakeChange("", 1, SetLimits{{3, 9}}), kInvalidChange, 1},
      {"long id", MakeChange(std::string(129, 'x'), 1, SetLimits{{3, 9}}),
       kInvalidChange, 1},
      {"resend", MakeChange("place", 0, SetPlacement{MakeShards(), {}, 7}),
       kAccepted, 1},
      {"other content",
       MakeChange("place", 0, SetPlacement{MakeShards(), {}, 8}),
       kOperationIdReused, 1},
      {"other version",
       MakeChange("place", 1, SetPlacement{MakeShards(), {}, 7}),
       kOperationIdReused, 1},
  };
  for (const Case& c : cases) {
    ConfigState state = MakeStateWithService();
    const ChangeResult result = state.Apply(c.change);
    EXPECT_EQ(result.outcome, c.outcome) << c.name << ": " << result.message;
    EXPECT_EQ(result.version, c.version) << c.name;
    EXPECT_EQ(result.message.empty(), c.outcome == kAccepted) << c.name;
    EXPECT_EQ(state.Config().version, c.outcome == kAccepted ? c.version : 1)
        << c.name;
  }
}

TEST(ConfigStateTest, VersionZeroIsNotAWildcard) {
  ConfigState state = MakeStateWithService();
  const ChangeResult result =
      state.Apply(MakeChange("y", 0, SetLimits{{3, 9}}));
  EXPECT_EQ(result.outcome, kVersionConflict);
  EXPECT_EQ(result.message, "expected version 0, current version 1");
}

TEST(ConfigStateTest, AcceptsOnlyOneOfTwoConcurrentChanges) {
  ConfigState state = MakeStateWithService();
  EXPECT_EQ(state.Apply(MakeChange("a", 1, SetLimits{{3, 9}})).outcome,
            kAccepted);
  EXPECT_EQ(state.Apply(MakeChange("b", 1, SetLimits{{4, 9}})).outcome,
            kVersionConflict);
  EXPECT_EQ(FindService(state.Config(), kService)->limits.slots, 3U);
}

TEST(ConfigStateTest, ResendGetsTheFirstResultAfterLaterChangesAndRestart) {
  ConfigState state = MakeStateWithService();
  const std::vector<Change> sent = {MakeChange("a", 1, SetLimits{{3, 9}}),
                                    MakeChange("b", 1, SetLimits{{4, 9}}),
                                    MakeChange("c", 2, PublishIndex{1})};
  std::vector<ChangeResult> first;
  std::ranges::transform(
      sent, std::back_inserter(first),
      [&](const Change& change) { return state.Apply(change); });
  ConfigState restored(nullptr, 100);
  ASSERT_TRUE(restored.DecodeState(state.EncodeState()));
  EXPECT_EQ(restored.Hash(), state.Hash());
  for (std::size_t i = 0; i < sent.size(); ++i) {
    EXPECT_EQ(restored.Apply(sent[i]), first[i]) << i;
  }
  EXPECT_EQ(restored.Hash(), state.Hash());
}

TEST(ConfigStateTest, OperationThatIsNotRetainedCannotTakeEffectTwice) {
  ConfigState state = MakeStateWithService(nullptr, 2);
  const Change change = MakeChange("a", 1, SetLimits{{3, 9}});
  state.Apply(change);
  state.Apply(MakeChange("b", 2, SetLimits{{4, 9}}));
  state.Apply(MakeChange("c", 3, SetLimits{{5, 9}}));
  EXPECT_EQ(state.Apply(change).outcome, kVersionConflict);
  EXPECT_EQ(FindService(state.Config(), kService)->limits.slots, 5U);
}

TEST(ConfigStateTest, MapEpochIncreasesOnlyWithTheShardMap) {
  ConfigState state = MakeStateWithService();
  const auto epoch = [&] {
    return FindService(state.Config(), kService)->map_epoch;
  };
  EXPECT_EQ(epoch(), 1U);
  auto shards = MakeShards();
  shards[0].replicas[0].draining = true;
  state.Apply(MakeChange("a", 1, SetPlacement{shards, ReplicaLimits{3, 9}, 0}));
  EXPECT_EQ(epoch(), 1U);
  state.Apply(MakeChange("b", 2, SetPlacement{MakeShards("9001"), {}, 3}));
  EXPECT_EQ(epoch(), 2U);
  const ServiceConfig* service = FindService(state.Config(), kService);
  EXPECT_EQ(service->index_version, 3U);
  EXPECT_EQ(service->limits.slots, 3U);
}

TEST(ConfigStateTest, DrainMarksTheReplicaInEveryShard) {
  ConfigState state = MakeStateWithService();
  auto shards = MakeShards();
  shards[1] = shards[0];
  state.Apply(MakeChange("a", 1, SetPlacement{shards, {}, 0}));
  state.Apply(MakeChange("b", 2, DrainReplica{{"127.0.0.1:9000"}, true}));
  for (const ShardConfig& shard :
       FindService(state.Config(), kService)->shards) {
    EXPECT_TRUE(shard.replicas[0].draining);
  }
}

class RefusingRules : public SchemaRules {
 protected:
  [[nodiscard]] std::optional<std::string> OnCheckSchema(
      const ClusterConfig& current, const std::string&) const override {
    if (current.services.empty()) return std::nullopt;
    return "drops service " + current.services.front().name;
  }
  [[nodiscard]] std::optional<std::string> OnCheckPlacement(
      const ClusterConfig&, const std::string&,
      std::size_t shard_count) const override {
    if (shard_count == 2) return std::nullopt;
    return "wants 2 shards";
  }
};

TEST(ConfigStateTest, SchemaRulesRefuseWithTheirReason) {
  const RefusingRules rules;
  ConfigState state = MakeStateWithService(&rules);
  EXPECT_EQ(state.Apply(MakeChange("a", 1, ApplySchema{"s"}, "")).message,
            "drops service macchie.EyepieceDesk");
  auto shards = MakeShards();
  shards.pop_back();
  EXPECT_EQ(
      state.Apply(MakeChange("b", 1, SetPlacement{shards, {}, 0})).message,
      "wants 2 shards");
}

TEST(ConfigStateTest, RefusesEveryTruncationOfTheState) {
  ConfigState state = MakeStateWithService();
  const std::string bytes = state.EncodeState();
  const std::uint64_t before = state.Hash();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(state.DecodeState(bytes.substr(0, size))) << size;
  }
  EXPECT_EQ(state.Hash(), before);
}

TEST(ChangeTest, DecodesToTheSameChangeAndRefusesExtraBytes) {
  const Change change = MakeChange("a", 1, Quarantine{5, true});
  std::string bytes = EncodeChange(change);
  Change decoded;
  ASSERT_TRUE(DecodeChange(bytes, &decoded));
  EXPECT_EQ(decoded, change);
  EXPECT_EQ(ChangeKindName(KindOf(decoded)), "quarantine");
  EXPECT_FALSE(DecodeChange(bytes + "x", &decoded));
}

}  // namespace
}  // namespace chicoryvale
