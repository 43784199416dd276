// Settings as the deployment's platform fills them in. It states its bounds as
// whole numbers or fractions of any size, and leaves out those that are not in
// force. A daemon that refuses one of them never starts.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "adapters/settings_reader.h"
#include "chicory-controld/control_settings.h"
#include "chicory-gatewayd/gateway_settings.h"
#include "fakes/settings_template.h"

namespace chicoryvale {
namespace {

using nlohmann::json;

const std::vector<std::string> kBounds = {
    "drainMs",          "graceS",     "retryBudgetRatio", "retryWindowS",
    "retryBudgetSlack", "quotaSlack", "quotaOvershoot"};
const std::vector<std::string> kLimits = {"memoryMb", "maxFds"};

json Fields() {
  return json::parse(R"({
    "zone": "a", "ip": "10.0.0.6", "dataDir": "/data", "bootstrap": true,
    "peerPortRange": [7380, 7395], "seeds": ["10.0.0.9:8106", "10.0.0.8:8106"],
    "listen": {"front": "10.0.0.6:8104", "ready": "10.0.0.6:8108",
               "control": "10.0.0.6:8106"},
    "cloudApi": {"address": "10.0.0.5:8102"},
    "limits": {"memoryMb": 182, "maxFds": 2870},
    "bounds": {"drainMs": 4000, "graceS": 5, "retryBudgetRatio": 0.3,
               "retryWindowS": 8, "retryBudgetSlack": 104, "quotaSlack": 20,
               "quotaOvershoot": 0.1}})");
}

std::string Filled(const std::string& name, const json& fields) {
  std::ifstream file(std::string(CHICORYVALE_SOURCE_DIR) + "/deploy/" + name);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return FillTemplate(text, fields);
}

struct ReadResult {
  GatewaySettings gateway;
  ControlSettings control;
  std::string errors;
  std::vector<SettingsNotice> notices;
};

ReadResult Read(const json& fields) {
  ReadResult result;
  SettingsReader gateway(Filled("gateway.toml.in", fields));
  result.gateway = ReadGatewaySettings(gateway);
  SettingsReader control(Filled("control.toml.in", fields));
  result.control = ReadControlSettings(control);
  result.errors = FormatSettingsMessages("gateway", gateway.Finish()) +
                  FormatSettingsMessages("control", control.Finish());
  result.notices = gateway.Notices();
  result.notices.insert(result.notices.end(), control.Notices().begin(),
                        control.Notices().end());
  return result;
}

TEST(DeploySettingsTest, TakesStatedValues) {
  const ReadResult read = Read(Fields());
  EXPECT_EQ(read.errors, "");
  EXPECT_EQ(read.gateway.replica_list.drain_time, seconds(4));
  EXPECT_EQ(read.gateway.grace, seconds(5));
  EXPECT_EQ(read.gateway.retry_budget.ratio, 0.3);
  EXPECT_EQ(read.gateway.retry_budget.window, seconds(8));
  EXPECT_EQ(read.gateway.retry_budget.fixed_retries, 104);
  EXPECT_EQ(read.gateway.quota.slack, 20);
  EXPECT_EQ(read.gateway.quota.overshoot, 0.1);
  EXPECT_TRUE(read.control.may_form_group);
  EXPECT_TRUE(read.notices.empty());
}

// review/6: gateways ended at each start because a bound was a fraction.
TEST(DeploySettingsTest, TakesFractions) {
  json fields = Fields();
  fields["bounds"]["retryBudgetSlack"] = 104.5;
  fields["bounds"]["retryWindowS"] = 2.5;
  fields["bounds"]["graceS"] = 6.5;
  fields["bounds"]["drainMs"] = 3000.5;
  fields["limits"]["memoryMb"] = 36.5;
  fields["limits"]["maxFds"] = 562.7;
  const ReadResult read = Read(fields);
  EXPECT_EQ(read.errors, "");
  EXPECT_EQ(read.gateway.retry_budget.fixed_retries, 104.5);
  EXPECT_EQ(read.gateway.retry_budget.window, milliseconds(2500));
  EXPECT_EQ(read.gateway.grace, milliseconds(6500));
  EXPECT_EQ(read.gateway.replica_list.drain_time, microseconds(3'000'500));
  EXPECT_EQ(read.control.resources.memory_bytes, std::size_t{73} << 19);
  EXPECT_EQ(read.control.resources.max_fds, 562U);
}

TEST(DeploySettingsTest, StartsWithAnyFiniteNumber) {
  for (const char* table : {"bounds", "limits"}) {
    const bool is_bound = std::string(table) == "bounds";
    for (const std::string& name : is_bound ? kBounds : kLimits) {
      for (const char* text : {"0", "1", "0.001", "1e-07", "1.5", "999.25",
                               "100000", "10000000000", "1e+18", "-1"}) {
        json fields = Fields();
        fields[table][name] = json::parse(text);
        EXPECT_EQ(Read(fields).errors, "") << name << " = " << text;
      }
    }
  }
}

TEST(DeploySettingsTest, OneNoticeNamesTheValueThatIsUsed) {
  json fields = Fields();
  fields["bounds"]["retryWindowS"] = 0.001;
  const ReadResult read = Read(fields);
  ASSERT_EQ(read.notices.size(), 1U);
  EXPECT_GT(read.notices.front().line, 0U);
  EXPECT_EQ(read.notices.front().text,
            "repeats.window_s is 0.001; 0.1 is used");
  EXPECT_EQ(read.gateway.retry_budget.window, milliseconds(100));
}

// Parts of the rules that are not in force have no bounds.
TEST(DeploySettingsTest, StartsWithoutAnyOfTheBounds) {
  for (const std::string& name : kBounds) {
    json fields = Fields();
    fields["bounds"].erase(name);
    EXPECT_EQ(Read(fields).errors, "") << name;
  }
  json fields = Fields();
  for (const char* name : {"bounds", "limits", "bootstrap", "seeds"}) {
    fields.erase(name);
  }
  const ReadResult read = Read(fields);
  EXPECT_EQ(read.errors, "");
  EXPECT_FALSE(read.control.may_form_group);
  EXPECT_EQ(read.gateway.retry_budget.fixed_retries, 0);
}

TEST(DeploySettingsTest, RefusesWhatIsNoNumber) {
  for (const char* value : {"\"many\"", "nan", "inf", "true"}) {
    SettingsReader reader(std::string("fixed = ") + value);
    EXPECT_EQ(reader.Quantity("fixed", 7, {0, 10}), 7) << value;
    EXPECT_EQ(reader.Finish().size(), 1U) << value;
  }
}

TEST(DeploySettingsTest, RefusesADurationInTwoUnits) {
  SettingsReader reader("grace_s = 6\ngrace_ms = 6000");
  reader.Period("grace", seconds(1), {seconds(0), seconds(10)});
  EXPECT_EQ(reader.Finish().size(), 1U);
}

}  // namespace
}  // namespace chicoryvale
