#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/rank_merger.h"
#include "routing/route_table.h"
#include "routing/routing_rules.h"
#include "routing/split_picker.h"

namespace chicoryvale {
namespace {

Route MakeRoute(const std::string& prefix) {
  Route route;
  route.name = prefix;
  route.host = "Example.org";
  route.path_prefix = prefix;
  route.timeout = seconds(1);
  route.services = {{"s", 1}};
  return route;
}

RoutingConfig MakeConfig() {
  RoutingConfig config;
  config.version = 3;
  config.routes = {MakeRoute("/"), MakeRoute("/a/"), MakeRoute("/a/b/")};
  config.services = {{"s", "/health", 50}, {"t", "/health", 50}};
  return config;
}

TEST(RouteTableTest, FindsTheLongestPrefixOfTheHost) {
  const RouteTable table(std::make_shared<const RoutingConfig>(MakeConfig()));
  EXPECT_EQ(table.Find("example.org", "/a/b/c")->name, "/a/b/");
  EXPECT_EQ(table.Find("EXAMPLE.org:80", "/a/bc")->name, "/a/");
  EXPECT_EQ(table.Find("example.org", "/a")->name, "/");
  EXPECT_EQ(table.Find("other.org", "/a/"), nullptr);
  EXPECT_EQ(table.Find("example.org", "*"), nullptr);
}

// Routes of one host on two ports were taken for one route, and requests for
// the second one ran at the service of the first.
TEST(RouteTableTest, RoutesOfOneHostOnTwoPortsAreKeptApart) {
  RoutingConfig config = MakeConfig();
  config.routes = {MakeRoute("/"), MakeRoute("/"), MakeRoute("/"),
                   MakeRoute("/")};
  const std::vector<std::string> hosts = {"h:8001", "H:8002", "h", "other:80"};
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    config.routes[i].host = hosts[i];
    config.routes[i].name = hosts[i];
  }
  EXPECT_FALSE(FindRoutingConfigError(config));
  const RouteTable table(std::make_shared<const RoutingConfig>(config));
  EXPECT_EQ(table.Find("h:8001", "/")->name, "h:8001");
  EXPECT_EQ(table.Find("h:8002", "/")->name, "H:8002");
  EXPECT_EQ(table.Find("h:8003", "/")->name, "h");
  EXPECT_EQ(table.Find("h", "/")->name, "h");
  EXPECT_EQ(table.Find("other", "/")->name, "other:80");
  EXPECT_EQ(table.Find("other:80", "/")->name, "other:80");
  EXPECT_EQ(table.Find("other:8080", "/"), nullptr);
}

TEST(RoutingRulesTest, AcceptsAValidConfiguration) {
  EXPECT_FALSE(FindRoutingConfigError(MakeConfig()));
}

TEST(RoutingRulesTest, DescribesTheError) {
  const std::map<std::string, void (*)(RoutingConfig&)> invalid_configs = {
      {"the version is 0", [](RoutingConfig& c) { c.version = 0; }},
      {"unknown", [](RoutingConfig& c) { c.routes[0].services[0].name = "x"; }},
      {"add up to 0",
       [](RoutingConfig& c) { c.routes[0].services[0].weight = 0; }},
      {"timeout is 0", [](RoutingConfig& c) { c.routes[0].timeout = {}; }},
      {"has the same host and path prefix",
       [](RoutingConfig& c) { c.routes[0].path_prefix = "/a/"; }},
      {"another route has the same host",
       [](RoutingConfig& c) {
         c.routes[0] = c.routes[1];
         c.routes[0].host = "EXAMPLE.ORG";
       }},
      {"slash", [](RoutingConfig& c) { c.routes[0].path_prefix = "/a"; }},
      {"no host", [](RoutingConfig& c) { c.routes[0].host.clear(); }},
      {"no attempt", [](RoutingConfig& c) { c.routes[0].max_attempts = 0; }},
      {"both shards and services",
       [](RoutingConfig& c) { c.routes[0].scatter.shards = {"s"}; }},
      {"named twice",
       [](RoutingConfig& c) {
         c.routes[0].services.clear();
         c.routes[0].scatter.shards = {"s", "s"};
       }},
      {"listed twice",
       [](RoutingConfig& c) { c.services.push_back(c.services[0]); }},
  };
  for (const auto& [text, make_invalid] : invalid_configs) {
    RoutingConfig config = MakeConfig();
    make_invalid(config);
    const auto error = FindRoutingConfigError(config);
    ASSERT_TRUE(error) << text;
    EXPECT_NE(error->find(text), std::string::npos) << *error;
  }
}

TEST(RankMergerTest, KeepsTheGreatestRecordsAndIgnoresRemainders) {
  RankMerger merger(2);
  const std::string low(RankMerger::kRecordBytes, 'a');
  const std::string high(RankMerger::kRecordBytes, '\xff');
  merger.Add(low + low + "short");
  merger.Add(high);
  EXPECT_EQ(merger.ExtractMerged(), high + low);
}

TEST(RankMergerTest, KeepsEqualRecords) {
  RankMerger merger(3);
  const std::string record(RankMerger::kRecordBytes, 'a');
  merger.Add(record + record);
  merger.Add("");
  EXPECT_EQ(merger.ExtractMerged(), record + record);
}

TEST(SplitPickerTest, EachServiceGetsAShareByItsWeight) {
  Route route = MakeRoute("/");
  route.services = {{"s", 70}, {"t", 25}, {"u", 5}, {"never", 0}};
  SplitPicker picker(9);
  std::map<std::string, int> picked;
  constexpr int kDraws = 300;
  for (int i = 0; i < kDraws; ++i) ++picked[picker.Pick(route)];
  EXPECT_NEAR(picked["s"], 210, 2);
  EXPECT_NEAR(picked["t"], 75, 2);
  EXPECT_NEAR(picked["u"], 15, 2);
  EXPECT_EQ(picked["never"], 0);
}

}  // namespace
}  // namespace chicoryvale
