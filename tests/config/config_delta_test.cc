#include "config/config_delta.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "config/config_history.h"

namespace chicoryvale {
namespace {

ServiceConfig Service(const std::string& name, std::size_t shards) {
  ServiceConfig service;
  service.name = name;
  service.shards.resize(shards);
  for (ShardConfig& shard : service.shards) {
    shard.replicas = {{{"10.1.0.1:9000"}, "a", false}};
  }
  return service;
}

ClusterConfig Base() {
  ClusterConfig config;
  config.version = 4;
  config.schema_text = std::string(2000, 's');
  config.services = {Service("a", 100), Service("b", 3)};
  return config;
}

TEST(ConfigDeltaTest, GivesTheNewConfigurationForEachKindOfChange) {
  struct Case {
    const char* name;
    std::function<void(ClusterConfig*)> edit;
    std::size_t max_bytes;
  };
  const std::vector<Case> cases = {
      {"nothing", [](ClusterConfig*) {}, 50},
      {"schema", [](ClusterConfig* c) { c->schema_text = "new"; }, 100},
      {"limits", [](ClusterConfig* c) { c->services[0].limits.slots = 9; },
       200},
      {"drain one replica",
       [](ClusterConfig* c) {
         c->services[0].shards[50].replicas[0].draining = true;
       },
       250},
      {"more shards", [](ClusterConfig* c) { c->services[1].shards.resize(9); },
       300},
      {"fewer shards",
       [](ClusterConfig* c) { c->services[0].shards.resize(9); }, 200},
      {"new service",
       [](ClusterConfig* c) { c->services.push_back(Service("c", 2)); }, 400},
      {"service removed",
       [](ClusterConfig* c) { c->services.erase(c->services.begin()); }, 100},
      {"quarantine", [](ClusterConfig* c) { c->services[1].quarantined = {7}; },
       200},
  };
  for (const Case& test : cases) {
    ClusterConfig to = Base();
    ++to.version;
    test.edit(&to);
    const auto delta = MakeDelta(Base(), to);
    ASSERT_TRUE(delta) << test.name;
    EXPECT_LE(delta->bytes.size(), test.max_bytes) << test.name;
    ClusterConfig config = Base();
    EXPECT_TRUE(ApplyDelta(*delta, &config)) << test.name;
    EXPECT_EQ(config, to) << test.name;
    for (std::size_t size = 0; size < delta->bytes.size(); ++size) {
      ClusterConfig damaged = Base();
      EXPECT_FALSE(
          ApplyDelta({delta->header, delta->bytes.substr(0, size)}, &damaged));
    }
    EXPECT_FALSE(ApplyDelta(*delta, &config)) << "applied twice";
  }
}

TEST(ConfigDeltaTest, RefusesReorderedServices) {
  ClusterConfig to = Base();
  ++to.version;
  std::swap(to.services[0], to.services[1]);
  EXPECT_FALSE(MakeDelta(Base(), to));
}

TEST(ConfigHistoryTest, DropsTheOldestDeltasBeyondItsBound) {
  ConfigHistory history(50);
  for (std::uint64_t version = 1; version < 10; ++version) {
    history.Add({{version, version + 1, 0}, std::string(10, 'd')});
  }
  EXPECT_LE(history.bytes(), 50U);
  EXPECT_EQ(history.DeltasSince(5).size(), 5U);
  EXPECT_EQ(history.DeltasSince(9).size(), 1U);
  EXPECT_TRUE(history.DeltasSince(2).empty());
  EXPECT_TRUE(history.DeltasSince(10).empty());
  history.Add({{20, 21, 0}, "gap"});
  EXPECT_TRUE(history.DeltasSince(9).empty());
  EXPECT_EQ(history.DeltasSince(20).size(), 1U);
}

}  // namespace
}  // namespace chicoryvale
