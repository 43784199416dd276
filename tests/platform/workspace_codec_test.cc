// Workspaces in the configuration of the platform, and the headers that concern
// them.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes/recording_log.h"
#include "platform/caller_codec.h"
#include "platform/http_replica_transport.h"
#include "platform/routing_codec.h"
#include "routing/routing_rules.h"

namespace chicoryvale::platform {
namespace {

std::string ConfigText(const std::string& workspaces) {
  return R"({"version":4,"routes":[{"name":"r","host":"h","pathPrefix":"/",)"
         R"("routeType":"safe","timeoutMs":100,"backend":"s","public":true}],)"
         R"("backends":[{"name":"s","warmupS":3.0,"warmupPerS":2.5}])" +
         workspaces + "}";
}

std::string WorkspaceText(const std::string& name, const std::string& keys,
                          const std::string& more = "") {
  return R"({"name":")" + name + R"(","apiKeys":[)" + keys + "]" + more + "}";
}

TEST(WorkspaceCodecTest, DecodesEachField) {
  const auto config = DecodeRoutingConfig(
      ConfigText(R"(,"tenants":[)" +
                 WorkspaceText("a", R"("k1","k2")",
                               R"(,"priority":2,"ratePerS":1.5,"burst":4)") +
                 "," + WorkspaceText("b", "", R"(,"priority":null)") + "]"));
  ASSERT_TRUE(config) << config.error().message;
  EXPECT_TRUE(config->routes[0].is_public);
  EXPECT_EQ(config->services[0].warmup, seconds(3));
  EXPECT_DOUBLE_EQ(config->services[0].max_warmup_requests_per_s, 2.5);
  ASSERT_TRUE(config->workspaces);
  ASSERT_EQ(config->workspaces->size(), 2U);
  const Workspace& first = config->workspaces->front();
  EXPECT_EQ(first.keys, (std::vector<std::string>{"k1", "k2"}));
  EXPECT_EQ(first.priority, 2U);
  EXPECT_DOUBLE_EQ(first.max_requests_per_s, 1.5);
  EXPECT_DOUBLE_EQ(first.burst, 4);
  EXPECT_FALSE(config->workspaces->back().priority);
  EXPECT_FALSE(FindRoutingConfigError(*config));
}

TEST(WorkspaceCodecTest, WithoutWorkspacesThereAreNone) {
  const auto config = DecodeRoutingConfig(ConfigText(""));
  ASSERT_TRUE(config);
  EXPECT_FALSE(config->workspaces);
}

// A configuration that gave one key to two workspaces was put in force, and
// requests on good routes were refused.
TEST(WorkspaceCodecTest, RefusesAmbiguousAndUnusableWorkspaces) {
  const std::vector<std::string> invalid_lists = {
      WorkspaceText("a", R"("k")") + "," + WorkspaceText("b", R"("k")"),
      WorkspaceText("a", R"("k","k")"),
      WorkspaceText("a", R"("k")") + "," + WorkspaceText("a", R"("l")"),
      WorkspaceText("", R"("k")"),
      WorkspaceText("a b", R"("k")"),
      WorkspaceText("a", R"("secret key")"),
      WorkspaceText("a", R"("")"),
      WorkspaceText("a", "7"),
      WorkspaceText("a", R"("k")", R"(,"ratePerS":-1)"),
      WorkspaceText("a", R"("k")", R"(,"burst":"many")"),
      R"({"apiKeys":["k"]})",
      R"({"name":"a"})",
      "1"};
  for (const std::string& list : invalid_lists) {
    const auto config =
        DecodeRoutingConfig(ConfigText(R"(,"tenants":[)" + list + "]"));
    const auto error = config ? FindRoutingConfigError(*config)
                              : std::make_optional(config.error().message);
    ASSERT_TRUE(error) << list;
    EXPECT_EQ(error->find("secret"), std::string::npos) << "shows a key";
  }
  EXPECT_FALSE(DecodeRoutingConfig(ConfigText(R"(,"tenants":{})")));
}

// A change of one key must not cost the decoding of all others.
TEST(WorkspaceCodecTest, AChangeOfOneKeyDecodesOneWorkspace) {
  constexpr int kWorkspaces = 10'000;
  const auto text = [](int changed) {
    std::string list;
    for (int i = 0; i < kWorkspaces; ++i) {
      const std::string number = std::to_string(i);
      const char* prefix = i == changed ? "\"new-" : "\"key-";
      if (i > 0) list += ',';
      list += WorkspaceText("w" + number, prefix + number + "\"");
    }
    return ConfigText(R"(,"tenants":[)" + list + "]");
  };
  RoutingDecoder decoder;
  ASSERT_TRUE(decoder.Decode(text(-1)));
  const std::size_t before = decoder.DecodedElements();
  const auto config = decoder.Decode(text(77));
  ASSERT_TRUE(config);
  EXPECT_EQ(decoder.DecodedElements() - before, 1U);
  EXPECT_EQ(config->workspaces->at(77).keys.front(), "new-77");
  EXPECT_EQ(*config, *DecodeRoutingConfig(text(77)));
}

TEST(WorkspaceCodecTest, DecodesWhatTheWholeTextSays) {
  const std::string list =
      R"(,"tenants":[)" + WorkspaceText("a", R"("k")") + "]";
  RoutingDecoder decoder;
  for (const std::string& text :
       {ConfigText(list), ConfigText(list + list), ConfigText(""),
        ConfigText(R"(,"x":{"tenants":[1]})"),
        ConfigText(R"(,"\u0074enants":[])" + list), ConfigText(list)}) {
    const auto config = decoder.Decode(text);
    ASSERT_TRUE(config) << text;
    EXPECT_EQ(*config, *DecodeRoutingConfig(text)) << text;
  }
}

HttpRequest RequestWith(const std::vector<HttpHeader>& headers) {
  HttpRequest request;
  request.method = "GET";
  request.path = "/";
  request.target = "/";
  request.headers = {{"Chicoryvale-Request-Id", "id"}, {"Other", "x"}};
  request.headers.insert(request.headers.end(), headers.begin(), headers.end());
  return request;
}

TEST(WorkspaceCodecTest, TakesTheIdentityOutOfTheForwardedHeaders) {
  const auto routed = DecodeCallerRequest(
      RequestWith({{"x-api-KEY", "k"},
                   {"CHICORYVALE-tenant", "forged"},
                   {"Chicoryvale-Tenant", "forged twice"}}));
  ASSERT_TRUE(routed);
  EXPECT_EQ(routed->key, "k");
  EXPECT_EQ(routed->identity_headers.size(), 3U);
  ASSERT_EQ(routed->request->headers.size(), 2U);
  EXPECT_EQ(routed->request->headers[1].name, "Other");
}

TEST(WorkspaceCodecTest, TwoKeysAreAsGoodAsNone) {
  const auto routed = DecodeCallerRequest(
      RequestWith({{"X-Api-Key", "k"}, {"X-Api-Key", "l"}}));
  ASSERT_TRUE(routed);
  EXPECT_EQ(routed->key, "");
}

/// HttpClient that records the headers of the last call.
class RecordingHttpClient : public HttpClient {
 public:
  std::vector<HttpHeader> headers;

 protected:
  HttpCallId OnSend(HttpCall call, Callback /*callback*/) override {
    headers = std::move(call.headers);
    return 1;
  }
  void OnCancel(HttpCallId /*id*/) override {}
};

TEST(WorkspaceCodecTest, TellsTheReplicaTheWorkspace) {
  RecordingHttpClient client;
  RecordingLog log;
  HttpReplicaTransport transport(&client, &log);
  auto request = std::make_shared<OpaqueRequest>();
  request->id = "id";
  request->workspace = "a";
  transport.Send({{"10.0.0.1:80"}, "i-1", request, seconds(1)},
                 [](const ReplicaAnswer&) {});
  const auto header = std::ranges::find(client.headers, "Chicoryvale-Tenant",
                                        &HttpHeader::name);
  ASSERT_NE(header, client.headers.end());
  EXPECT_EQ(header->value, "a");
}

}  // namespace
}  // namespace chicoryvale::platform
