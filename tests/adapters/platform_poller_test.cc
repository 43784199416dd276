#include "adapters/platform_poller.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "adapters/glib_scheduler.h"
#include "adapters/platform_list.h"
#include "fakes/main_context.h"

namespace chicoryvale {
namespace {

const char* const kTwoVms =
    R"({"vms": [{"address": "10.0.0.2:80", "availability_zone": "b",
                 "state": "leaving"},
                {"address": "10.0.0.1:80", "availability_zone": "a",
                 "state": "live", "rack": 7}]})";

TEST(PlatformListTest, ParsesVmsSortedByAddress) {
  const auto vms = ParsePlatformList(kTwoVms);
  ASSERT_TRUE(vms) << vms.error().message;
  const std::vector<PlatformVm> expected = {
      {{"10.0.0.1:80"}, "a", PlatformVmState::kLive},
      {{"10.0.0.2:80"}, "b", PlatformVmState::kLeaving}};
  EXPECT_EQ(*vms, expected);
  EXPECT_TRUE(ParsePlatformList(R"({"vms": []})")->empty());
}

TEST(PlatformListTest, RejectsInvalidLists) {
  const auto vm = [](const char* address, const char* zone, const char* state) {
    return R"({"address": ")" + std::string(address) +
           R"(", "availability_zone": ")" + zone + R"(", "state": ")" + state +
           R"("})";
  };
  const std::string good = vm("10.0.0.1:80", "a", "live");
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "there is no JSON object"},
      {"{", "there is no JSON object"},
      {"[]", "there is no JSON object"},
      {"null", "there is no JSON object"},
      {R"({"vms": 3})", "there is no JSON object"},
      {std::string(100000, '['), "there is no JSON object"},
      {R"({"vms": [3]})", "vms[0]: is not an object"},
      {R"({"vms": [{}]})", "vms[0]: address"},
      {R"({"vms": [{"address": 3}]})", "vms[0]: address"},
      {"{\"vms\": [" + good + "," + vm("host:80", "a", "live") + "]}",
       "vms[1]: address"},
      {"{\"vms\": [" + vm("10.0.0.1:80", "", "live") + "]}",
       "availability_zone"},
      {"{\"vms\": [" + vm("10.0.0.1:80", "a", "dead") + "]}", "state"},
      {"{\"vms\": [" + good + "," + good + "]}", "listed twice"},
      {std::string(kMaxPlatformListBytes + 1, ' '), "too large"},
  };
  for (const auto& [text, message] : cases) {
    const auto vms = ParsePlatformList(text);
    ASSERT_FALSE(vms) << text.substr(0, 80);
    EXPECT_NE(vms.error().message.find(message), std::string::npos)
        << vms.error().message;
  }
}

class PlatformPollerTest : public testing::Test {
 protected:
  std::unique_ptr<PlatformPoller> MakePoller(const std::string& source) {
    auto made = PlatformPoller::Make({.source = source,
                                      .scheduler = &m_scheduler,
                                      .period = milliseconds(20)});
    EXPECT_TRUE(made);
    return std::move(*made);
  }

  static void AwaitCount(const PlatformPoller& poller,
                         PlatformCounter counter) {
    const std::uint64_t before = poller.counters().Get(counter);
    IterateUntil([&] { return poller.counters().Get(counter) > before; });
  }

  GlibScheduler m_scheduler;
};

TEST_F(PlatformPollerTest, KeepsTheLastValidListOfAFile) {
  std::string folder = testing::TempDir() + "/platform_XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const std::string path = folder + "/vms.json";
  auto poller = MakePoller(path);
  int calls = 0;
  poller->SetListener([&](const std::vector<PlatformVm>&) { ++calls; });
  AwaitCount(*poller, PlatformCounter::kReadsFailed);
  std::ofstream(path) << kTwoVms;
  IterateUntil([&] { return poller->Vms().size() == 2; });
  AwaitCount(*poller, PlatformCounter::kReads);
  EXPECT_EQ(calls, 1);
  std::ofstream(path) << "{\"vms\": [{}]}";
  AwaitCount(*poller, PlatformCounter::kListsRefused);
  EXPECT_EQ(poller->Vms().size(), 2U);
  std::ofstream(path) << R"({"vms": []})";
  IterateUntil([&] { return poller->Vms().empty(); });
  std::filesystem::remove_all(folder);
}

TEST_F(PlatformPollerTest, KeepsTheLastValidListReadOverHttp) {
  struct Answer {
    guint status;
    std::string body;
  } answer{SOUP_STATUS_SERVICE_UNAVAILABLE, ""};
  const GObjectPtr<SoupServer> server(
      SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr)));
  soup_server_add_handler(
      server.get(), "/vms",
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
         gpointer data) {
        const auto& current = *static_cast<Answer*>(data);
        soup_server_message_set_status(message, current.status, nullptr);
        soup_server_message_set_response(message, "application/json",
                                         SOUP_MEMORY_COPY, current.body.data(),
                                         current.body.size());
      },
      &answer, nullptr);
  ASSERT_TRUE(soup_server_listen_local(server.get(), 0,
                                       SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
  GSList* uris = soup_server_get_uris(server.get());
  const std::string port =
      std::to_string(g_uri_get_port(static_cast<GUri*>(uris->data)));
  g_slist_free_full(uris,
                    [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
  auto poller = MakePoller("http://127.0.0.1:" + port + "/vms");
  AwaitCount(*poller, PlatformCounter::kReadsFailed);
  answer = {SOUP_STATUS_OK, kTwoVms};
  IterateUntil([&] { return poller->Vms().size() == 2; });
  answer = {SOUP_STATUS_OK, "<html>"};
  AwaitCount(*poller, PlatformCounter::kListsRefused);
  EXPECT_EQ(poller->Vms().size(), 2U);
  soup_server_disconnect(server.get());
  AwaitCount(*poller, PlatformCounter::kReadsFailed);
  EXPECT_EQ(poller->Vms().size(), 2U);
}

TEST_F(PlatformPollerTest, MakeRejectsInvalidOptions) {
  EXPECT_FALSE(PlatformPoller::Make({.source = "", .scheduler = &m_scheduler}));
  EXPECT_FALSE(PlatformPoller::Make({.source = "x", .scheduler = nullptr}));
}

}  // namespace
}  // namespace chicoryvale
