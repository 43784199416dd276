// Evacuated availability zones in the replicated configuration.

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/change_rules.h"
#include "config/config_delta.h"
#include "config/config_state.h"

namespace chicoryvale {
namespace {

Change Order(const std::string& id, const std::string& zone, bool evacuated) {
  Change change;
  change.operation_id = id;
  change.payload = SetEvacuation{zone, evacuated};
  return change;
}

class EvacuationTest : public testing::Test {
 protected:
  std::uint64_t Apply(const std::string& zone, bool evacuated) {
    const ChangeResult result =
        m_state.Apply(Order(std::to_string(++m_last_id), zone, evacuated));
    EXPECT_EQ(result.outcome, ChangeOutcome::kAccepted) << result.message;
    return result.version;
  }

  ConfigState m_state;
  int m_last_id = 0;
};

TEST_F(EvacuationTest, ZonesAreEvacuatedAndReturnWhateverVersionIsExpected) {
  EXPECT_EQ(Apply("b", true), 1U);
  EXPECT_EQ(Apply("a", true), 2U);
  EXPECT_EQ(m_state.Config().evacuated_zones,
            (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(Apply("b", false), 3U);
  EXPECT_EQ(m_state.Config().evacuated_zones, std::vector<std::string>{"a"});
}

TEST_F(EvacuationTest, AnOrderThatChangesNothingMakesNoVersion) {
  EXPECT_EQ(Apply("a", false), 0U);
  EXPECT_EQ(Apply("a", true), 1U);
  EXPECT_EQ(Apply("a", true), 1U);
}

TEST_F(EvacuationTest, IsPartOfTheEncodedStateAndOfDeltas) {
  const ClusterConfig none = m_state.Config();
  Apply("a", true);
  const ClusterConfig evacuated = m_state.Config();
  ConfigState copy;
  ASSERT_TRUE(copy.DecodeState(m_state.EncodeState()));
  EXPECT_EQ(copy.Config(), evacuated);
  Apply("a", false);
  const std::vector<ClusterConfig> versions = {none, evacuated,
                                               m_state.Config()};
  for (std::size_t i = 1; i < versions.size(); ++i) {
    const auto delta = MakeDelta(versions[i - 1], versions[i]);
    ASSERT_TRUE(delta);
    ClusterConfig applied = versions[i - 1];
    ASSERT_TRUE(ApplyDelta(*delta, &applied));
    EXPECT_EQ(applied, versions[i]);
  }
}

// Without evacuations, builds that don't know them must read the state.
TEST_F(EvacuationTest, WithoutEvacuationsTheBytesHaveNoTrace) {
  ClusterConfig config;
  config.version = 5;
  const std::size_t bytes = EncodeConfig(config).size();
  config.evacuated_zones = {"a"};
  EXPECT_GT(EncodeConfig(config).size(), bytes);
  ClusterConfig decoded;
  ASSERT_TRUE(DecodeConfig(EncodeConfig(config), &decoded));
  EXPECT_EQ(decoded, config);
  config.evacuated_zones.clear();
  EXPECT_EQ(EncodeConfig(config).size(), bytes);
  ASSERT_TRUE(DecodeConfig(EncodeConfig(config), &decoded));
  EXPECT_EQ(decoded, config);
}

TEST_F(EvacuationTest, RefusesNamesThatAreNoZones) {
  for (const std::string& name : {std::string(), std::string("a/b"),
                                  std::string("a\n"), std::string(129, 'a')}) {
    EXPECT_FALSE(IsZoneName(name));
    EXPECT_EQ(m_state.Apply(Order("id" + name, name, true)).outcome,
              ChangeOutcome::kInvalidChange);
  }
  EXPECT_TRUE(IsZoneName("zone a-1"));
}

}  // namespace
}  // namespace chicoryvale
