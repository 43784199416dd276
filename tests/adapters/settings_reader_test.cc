#include "adapters/settings_reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chicoryvale {
namespace {

using testing::HasSubstr;

// Reads the settings that the tests below vary.
std::vector<SettingsError> Check(const std::string& text) {
  SettingsReader reader(text);
  reader.RequiredString("zone");
  reader.RequiredAddress("listen.callers");
  reader.Integer("limits.connections", 50, {1, 1000});
  reader.Number("share", 0.5, 0.0, 1.0);
  reader.Bool("verbose", false);
  reader.Milliseconds("limits.timeout_ms", milliseconds(5), {1, 100});
  reader.Addresses("seeds");
  reader.Tables("peer",
                [](SettingsReader& peer) { peer.RequiredAddress("address"); });
  return reader.Finish();
}

constexpr char kGood[] = "zone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n";

struct FaultCase {
  std::string extra;
  std::uint32_t line;
  std::string text;
};

TEST(SettingsReaderTest, AcceptsGoodSettings) {
  EXPECT_TRUE(Check(kGood).empty());
}

TEST(SettingsReaderTest, TellsEachFaultWithItsLine) {
  const std::vector<FaultCase> cases = {
      {"[limits]\nconnections = 0", 5,
       "limits.connections is 0, not 1 to 1000"},
      {"[limits]\nconnections = \"x\"", 5, "is not a whole number"},
      {"[limits]\ntimeout_ms = 101", 5, "limits.timeout_ms is 101"},
      {"[limits]\nunknown = 1", 5, "limits.unknown is not a known setting"},
      {"[extra]\nkey = 1", 5, "extra.key is not a known setting"},
      {"[[peer]]\naddress = \"localhost:1\"", 5,
       "is not an IP number and port"},
      {"[[peer]]\nport = 1", 4, "address is missing"},
      {"[[peer]]\naddress = \"127.0.0.1:70000\"", 5, "is not an IP number"},
      {"x = = 1", 4, ""},
  };
  for (const FaultCase& fault : cases) {
    const auto faults = Check(kGood + fault.extra);
    ASSERT_FALSE(faults.empty()) << fault.extra;
    EXPECT_EQ(faults.front().line, fault.line) << fault.extra;
    EXPECT_THAT(faults.front().text, HasSubstr(fault.text));
  }
}

TEST(SettingsReaderTest, TellsAllFaultsAtOnce) {
  const auto faults = Check("share = 2\nverbose = 1\nseeds = [\"x\", 3]\n");
  // share, verbose, both seeds, zone and listen.callers missing.
  EXPECT_EQ(faults.size(), 6U) << FormatSettingsErrors("f", faults);
}

TEST(SettingsReaderTest, KnowsAddresses) {
  for (const char* good : {"127.0.0.1:0", "10.0.0.1:65535", "[::1]:80"}) {
    EXPECT_TRUE(IsHostPort(good)) << good;
  }
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                          "host:80", "::1:80", "127.0.0.1:8x", ":80"}) {
    EXPECT_FALSE(IsHostPort(bad)) << bad;
  }
}

}  // namespace
}  // namespace chicoryvale
