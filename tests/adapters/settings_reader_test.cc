#include "adapters/settings_reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chicoryvale {
namespace {

using testing::HasSubstr;

// Reads a settings file with one key of each type and returns its errors.
std::vector<SettingsError> ReadTestSettings(const std::string& text) {
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

constexpr char kValidSettings[] =
    "zone = \"a\"\n[listen]\ncallers = \"127.0.0.1:0\"\n";

struct ErrorCase {
  std::string appended_text;
  std::uint32_t line;
  std::string text;
};

TEST(SettingsReaderTest, AcceptsValidSettings) {
  EXPECT_TRUE(ReadTestSettings(kValidSettings).empty());
}

// The TOML library detects these by assertions only, which ended the process.
TEST(SettingsReaderTest, ReportsMalformedTableHeaders) {
  for (const std::string text : {"[ = 1", "[.0]", "[= 1]", "[.a", "[[=", "["}) {
    EXPECT_FALSE(ReadTestSettings(kValidSettings + text).empty()) << text;
  }
}

TEST(SettingsReaderTest, ReportsEachErrorWithItsLine) {
  const std::vector<ErrorCase> cases = {
      {"[limits]\nconnections = 0", 5,
       "limits.connections is 0; expected 1 to 1000"},
      {"[limits]\nconnections = \"x\"", 5, "is not a whole number"},
      {"[limits]\ntimeout_ms = 101", 5, "limits.timeout_ms is 101"},
      {"[limits]\nunknown = 1", 5, "limits.unknown is not a known setting"},
      {"[extra]\nkey = 1", 5, "extra.key is not a known setting"},
      {"[[peer]]\naddress = \"localhost:1\"", 5,
       "is not an IP address and port"},
      {"[[peer]]\nport = 1", 4, "address is missing"},
      {"[[peer]]\naddress = \"127.0.0.1:70000\"", 5, "is not an IP address"},
      {"x = = 1", 4, ""},
  };
  for (const ErrorCase& test : cases) {
    const auto errors = ReadTestSettings(kValidSettings + test.appended_text);
    ASSERT_FALSE(errors.empty()) << test.appended_text;
    EXPECT_EQ(errors.front().line, test.line) << test.appended_text;
    EXPECT_THAT(errors.front().text, HasSubstr(test.text));
  }
}

TEST(SettingsReaderTest, ReportsAllErrorsTogether) {
  const auto errors =
      ReadTestSettings("share = 2\nverbose = 1\nseeds = [\"x\", 3]\n");
  // Invalid: share, verbose and both seeds. Missing: zone and listen.callers.
  EXPECT_EQ(errors.size(), 6U) << FormatSettingsMessages("f", errors);
}

TEST(SettingsReaderTest, IsHostPortAcceptsOnlyNumericAddressesWithPorts) {
  for (const char* valid : {"127.0.0.1:0", "10.0.0.1:65535", "[::1]:80"}) {
    EXPECT_TRUE(IsHostPort(valid)) << valid;
  }
  for (const char* invalid : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                              "host:80", "::1:80", "127.0.0.1:8x", ":80"}) {
    EXPECT_FALSE(IsHostPort(invalid)) << invalid;
  }
}

}  // namespace
}  // namespace chicoryvale
