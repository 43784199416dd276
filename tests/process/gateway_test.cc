// A gateway as a process: settings that change while it runs.

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <string>

#include "process/cluster.h"
#include "process/process.h"

namespace chicoryvale {
namespace {

/// Settings of a gateway whose control VM and platform are absent.
std::string Settings(const std::string& repeats) {
  return "availability_zone = \"a\"\n"
         "[listen]\ncallers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
         "peers = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
         "[control]\naddresses = [\"127.0.0.1:1\"]\n"
         "[keys]\npeer_key = \"0123456789abcdef0123456789abcdef\"\n"
         "[platform]\nreplica_list = \"127.0.0.1:1\"\n"
         "[repeats]\n" +
         repeats + "\n";
}

class GatewaySettingsTest : public testing::Test {
 protected:
  // Replaces the file as an operator's tool does, in one step.
  void Write(const std::string& repeats) const {
    const std::string next = m_folder.Path() + "/next";
    WritePrivateFile(next, Settings(repeats));
    ASSERT_EQ(rename(next.c_str(), (m_folder.Path() + "/gateway.toml").c_str()),
              0);
  }

  bool Counts(const std::string& line) {
    const std::string text =
        GetText(m_gateway.AddressOf("metrics"), "/metrics");
    return text.find("chicoryvale_settings_" + line + "\n") !=
           std::string::npos;
  }

  ScratchFolder m_folder;
  Process m_gateway{"chicory-gatewayd", "gateway", m_folder.Path(),
                    Settings("ratio = 0.2")};
};

TEST_F(GatewaySettingsTest, AdoptsThemOnASignal) {
  Write("ratio = 0.3");
  m_gateway.Signal(SIGHUP);
  WaitFor([this] { return Counts("adopted 1"); });
  EXPECT_TRUE(Counts("refused 0"));
}

TEST_F(GatewaySettingsTest, AdoptsThemWithoutASignal) {
  Write("ratio = 0.3");
  WaitFor([this] { return Counts("adopted 1"); });
}

TEST_F(GatewaySettingsTest, RefusesAFileWithAFaultAndGoesOn) {
  Write("ratio = 7.0");
  m_gateway.Signal(SIGHUP);
  WaitFor([this] { return Counts("refused 1"); });
  Write("ratio = 0.1");
  m_gateway.Signal(SIGHUP);
  WaitFor([this] { return Counts("adopted 1"); });
}

}  // namespace
}  // namespace chicoryvale
