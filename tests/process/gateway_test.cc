// Tests of a gateway process whose settings file changes while it runs.

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <string>

#include "process/cluster.h"
#include "process/process.h"

namespace chicoryvale {
namespace {

/// Returns the settings of a gateway whose control VM and platform are
/// unreachable. `retry_budget` is the content of the table `repeats`.
std::string GatewaySettings(const std::string& retry_budget) {
  return "availability_zone = \"a\"\n"
         "[listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
         "peers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
         "[control]\naddresses = [\"127.0.0.1:1\"]\n"
         "[keys]\npeer_key = \"0123456789abcdef0123456789abcdef\"\n"
         "[platform]\nreplica_list = \"127.0.0.1:1\"\n"
         "[repeats]\n" +
         retry_budget + "\n";
}

class GatewaySettingsTest : public testing::Test {
 protected:
  // Replaces the file atomically, as an operator's tool does.
  void ReplaceSettingsFile(const std::string& retry_budget) const {
    const std::string next_path = m_folder.Path() + "/next";
    WritePrivateFile(next_path, GatewaySettings(retry_budget));
    ASSERT_EQ(
        rename(next_path.c_str(), (m_folder.Path() + "/gateway.toml").c_str()),
        0);
  }

  // Whether the metrics contain the settings counter in `name_and_value`, for
  // example "adopted 1".
  bool HasSettingsCounter(const std::string& name_and_value) {
    const std::string text =
        GetText(m_gateway.AddressOf("metrics"), "/metrics");
    return text.find("chicoryvale_settings_" + name_and_value + "\n") !=
           std::string::npos;
  }

  ScratchFolder m_folder;
  Process m_gateway{"chicory-gatewayd", "gateway", m_folder.Path(),
                    GatewaySettings("ratio = 0.2")};
};

TEST_F(GatewaySettingsTest, AdoptsAChangedFileOnSighup) {
  ReplaceSettingsFile("ratio = 0.3");
  m_gateway.Signal(SIGHUP);
  WaitFor([this] { return HasSettingsCounter("adopted 1"); });
  EXPECT_TRUE(HasSettingsCounter("refused 0"));
}

TEST_F(GatewaySettingsTest, AdoptsAChangedFileWithoutASignal) {
  ReplaceSettingsFile("ratio = 0.3");
  WaitFor([this] { return HasSettingsCounter("adopted 1"); });
}

TEST_F(GatewaySettingsTest, RefusesAnInvalidFileAndAdoptsTheNextValidOne) {
  ReplaceSettingsFile("ratio = \"7\"");
  m_gateway.Signal(SIGHUP);
  WaitFor([this] { return HasSettingsCounter("refused 1"); });
  ReplaceSettingsFile("ratio = 0.1");
  m_gateway.Signal(SIGHUP);
  WaitFor([this] { return HasSettingsCounter("adopted 1"); });
}

// The platform may state any number; the file is adopted with the nearest one.
TEST_F(GatewaySettingsTest, AdoptsAFileWithABoundOutOfRange) {
  ReplaceSettingsFile("ratio = 0.2\nfixed = 104.5\nwindow_s = 0.01");
  m_gateway.Signal(SIGHUP);
  WaitFor([this] { return HasSettingsCounter("adopted 1"); });
  EXPECT_TRUE(HasSettingsCounter("refused 0"));
}

}  // namespace
}  // namespace chicoryvale
