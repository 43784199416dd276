#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/recording_log.h"
#include "fakes/routing_text.h"
#include "platform/caller_codec.h"
#include "platform/http_replica_directory.h"
#include "platform/http_replica_transport.h"
#include "platform/routing_codec.h"
#include "platform/wire_names.h"

namespace chicoryvale::platform {
namespace {

constexpr char kConfig[] = R"({"version":7,"new_field":1,"routes":[
 {"name":"r1","host":"h","pathPrefix":"/a/","routeType":"safe",
  "timeoutMs":1200,"targetLatencyMs":120,"priority":1,
  "gather":["s","t"],"maxAttempts":2,"topK":10,"minShardShare":0.89},
 {"name":"r2","host":"h","pathPrefix":"/b/","routeType":"unsafe",
  "timeoutMs":5000,"targetLatencyMs":500,"priority":2,
  "trafficSplit":[{"backend":"s","weight":9},{"backend":"t","weight":1}],
  "maxAttempts":3}],
 "backends":[{"name":"s","healthPath":"/health","maxConnections":50,
  "protocol":"h1","tls":false},{"name":"t","healthPath":"/health",
  "maxConnections":50}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

TEST(RoutingCodecTest, DecodesEachField) {
  const auto config = DecodeRoutingConfig(kConfig);
  ASSERT_TRUE(config) << config.error().message;
  EXPECT_EQ(config->version, 7U);
  const Route& scattered = config->routes[0];
  EXPECT_TRUE(scattered.IsScattered());
  EXPECT_TRUE(scattered.idempotent);
  EXPECT_EQ(scattered.scatter.rank_limit, 10U);
  EXPECT_DOUBLE_EQ(scattered.scatter.min_coverage, 0.89);
  EXPECT_EQ(scattered.target_latency, milliseconds(120));
  const Route& split = config->routes[1];
  EXPECT_FALSE(split.idempotent);
  ASSERT_EQ(split.services.size(), 2U);
  EXPECT_EQ(split.services[0].weight, 9U);
  EXPECT_EQ(split.max_attempts, 3U);
  EXPECT_EQ(config->services[1].max_connections, 50U);
  EXPECT_EQ(config->limits.idle_timeout, seconds(15));
}

TEST(RoutingCodecTest, RejectsTruncatedConfigsAndFieldsOfWrongTypes) {
  const std::string text = kConfig;
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_FALSE(DecodeRoutingConfig(text.substr(0, length))) << length;
  }
  for (const char* invalid_text :
       {"[]", "1", "{}", R"({"version":-1,"routes":[],"backends":[]})",
        R"({"version":1,"routes":{},"backends":[]})",
        R"({"version":1,"routes":[1],"backends":[]})",
        R"({"version":"1","routes":[],"backends":[]})"}) {
    EXPECT_FALSE(DecodeRoutingConfig(invalid_text)) << invalid_text;
  }
}

// Entries decoded all routes for each change and fell behind in a storm.
TEST(RoutingDecoderTest, AChangeOfOneRouteDecodesOneRoute) {
  constexpr std::size_t kRoutes = 1400;
  RoutingDecoder decoder;
  ASSERT_TRUE(decoder.Decode(MakeRoutingText(1, kRoutes)));
  for (std::uint64_t version = 2; version < 12; ++version) {
    const std::string text = MakeRoutingText(
        version, kRoutes, 7 * version, static_cast<std::uint32_t>(version));
    const std::size_t before = decoder.DecodedElements();
    const auto config = decoder.Decode(text);
    ASSERT_TRUE(config);
    EXPECT_EQ(*config, *DecodeRoutingConfig(text));
    // The changed route, and that which the version before had changed.
    EXPECT_LE(decoder.DecodedElements() - before, 2U);
  }
}

TEST(RoutingDecoderTest, DecodesWhatTheWholeTextSays) {
  const std::string no_space =
      R"({"version":3,"routes":[],"backends":[],"limits":{"maxBodyBytes":7}})";
  const std::string twice =
      R"({"version":3,"routes":[],"routes":[{"name":"r","host":"h",)"
      R"("pathPrefix":"/","routeType":"safe","timeoutMs":5,"backend":"s"}],)"
      R"("backends":[{"name":"s"}]})";
  const std::string escaped =
      R"({"version":3,"routes":[],"backends":[{"name":"s}],\"[{"}],)"
      R"("\u0072outes":[]})";
  RoutingDecoder decoder;
  for (const std::string& text :
       {std::string(kConfig), no_space, twice, escaped,
        MakeRoutingText(9, 30, 4), std::string(kConfig)}) {
    const auto config = decoder.Decode(text);
    ASSERT_TRUE(config) << config.error().message << text;
    EXPECT_EQ(*config, *DecodeRoutingConfig(text)) << text;
  }
}

TEST(RoutingDecoderTest, RefusesTruncatedTextsAndKeepsWorking) {
  RoutingDecoder decoder;
  const std::string text = kConfig;
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_FALSE(decoder.Decode(text.substr(0, length))) << length;
  }
  EXPECT_FALSE(decoder.Decode(R"({"version":1,"routes":[1],"backends":[]})"));
  EXPECT_FALSE(decoder.Decode(R"({"version":1,"routes":[{]],"backends":[]})"));
  ASSERT_TRUE(decoder.Decode(text));
  EXPECT_EQ(*decoder.Decode(text), *DecodeRoutingConfig(text));
}

TEST(ReplicaPageTest, SkipsEntriesWithMissingOrInvalidFields) {
  const auto page = DecodeReplicaPage(R"({"instances":[
    {"backend":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
     "slots":2,"state":"draining","warmupLeftMs":5,"id":"i-1"},
    {"backend":"s","address":"10.0.0.1:80","zone":"z","slots":2,
     "state":"resting","warmupLeftMs":5,"id":"i-2"},
    {"backend":"s","address":7,"zone":"z","slots":2,"state":"ready",
     "warmupLeftMs":5,"id":"i-3"},
    {"id":"i-4"}, 5, null], "nextPageToken":"p-50"})");
  ASSERT_TRUE(page);
  ASSERT_EQ(page->replicas.size(), 1U);
  EXPECT_EQ(page->replicas[0].id, "i-1");
  EXPECT_TRUE(page->replicas[0].draining);
  EXPECT_EQ(page->replicas[0].warmup_left, milliseconds(5));
  EXPECT_EQ(page->next_page_token, "p-50");
  EXPECT_FALSE(DecodeReplicaPage("{\"instances\":["));
  EXPECT_TRUE(DecodeReplicaPage(R"({"instances":[],"nextPageToken":null})")
                  ->next_page_token.empty());
}

std::string EntryText(const std::string& id,
                      const std::string& address = "10.0.0.1:80",
                      const std::string& slots = "2") {
  return R"({"backend":"s","address":")" + address +
         R"(","zone":"z","version":"v1","slots":)" + slots +
         R"(,"state":"ready","warmupLeftMs":5,"id":")" + id + "\"}";
}

std::string Nested(const std::string& open, const std::string& close,
                   std::size_t depth) {
  std::string text;
  for (std::size_t i = 0; i < depth; ++i) text += open;
  text += "1";
  for (std::size_t i = 0; i < depth; ++i) text += close;
  return text;
}

std::vector<std::string> IdsOf(const ReplicaPage& page) {
  std::vector<std::string> ids;
  std::ranges::transform(page.replicas, std::back_inserter(ids),
                         &ListedReplica::id);
  return ids;
}

// Another writer left an entry that can't be read, and the reader of the list
// ended, or kept its old list as long as the entry was there. Such an entry
// names no replica; the entries beside it hold.
TEST(ReplicaPageTest, AnUnreadableEntryDoesNotHideTheOthers) {
  const std::vector<std::string> odd_entries = {
      EntryText("\xff\xfe"),
      EntryText("odd", "\xc3:80"),
      EntryText("odd", "10.0.0.9:70000"),
      EntryText("odd", "10.0.0.9:0"),
      EntryText("odd", "10.0.0.9:-1"),
      EntryText("odd", "10.0.0.9"),
      EntryText("odd", "10.0.0.999:80"),
      EntryText("odd", "host:80"),
      EntryText("odd", "10.0.0.9:80", "1e999"),
      EntryText("odd", "10.0.0.9:80", "-1e999"),
      EntryText("odd", "10.0.0.9:80", "1099511627777"),
      EntryText("odd", "10.0.0.9:80", "99999999999999999999999999999"),
      EntryText("odd", "10.0.0.9:80", "-1"),
      EntryText("odd", "10.0.0.9:80", "2.5"),
      EntryText("odd", "10.0.0.9:80", "NaN"),
      EntryText("odd", "10.0.0.9:80", ""),
      EntryText("odd", "10.0.0.9:80", Nested("[", "]", 100'000)),
      EntryText("odd", "10.0.0.9:80", Nested("{\"a\":", "}", 100'000)),
      EntryText("\\ud800"),
      EntryText("o\ndd"),
      EntryText(std::string("o\0dd", 4)),
      EntryText("odd]") + "]",
      EntryText("odd") + "}",
      EntryText("odd") + "}}]",
      EntryText("odd", "10.0.0.9:80", "\"2"),
      R"({"id":"odd)",
      R"({"id":"odd\)",
      R"({"id":"odd","address":)",
      R"({"id":"odd","zone":[{"a":1},{"b":2)",
      "{",
      "[[[",
      "]",
      "\"",
      "",
      "null",
      "-"};
  for (const std::string& odd : odd_entries) {
    for (const std::size_t place : {0U, 1U, 2U}) {
      SCOPED_TRACE(odd.substr(0, 200) + " at " + std::to_string(place));
      std::vector<std::string> entries = {EntryText("i-1"), EntryText("i-2")};
      entries.insert(entries.begin() + static_cast<std::ptrdiff_t>(place), odd);
      const auto page = DecodeReplicaPage(
          R"({"nextPageToken": "p-50", "instances" : [)" + entries[0] + "," +
          entries[1] + " , " + entries[2] + "]}");
      EXPECT_TRUE(page);
      if (!page) continue;
      EXPECT_EQ(IdsOf(*page), (std::vector<std::string>{"i-1", "i-2"}));
      EXPECT_EQ(page->next_page_token, "p-50");
    }
  }
}

// A page that is cut off, or isn't a page, is an error: its replicas would seem
// to be gone.
TEST(ReplicaPageTest, RefusesAPageThatIsNotWhole) {
  const std::string page = R"({"instances":[)" + EntryText("i-1") + "," +
                           EntryText("i-2") +
                           R"(],"nextPageToken":"p-50","more":{"a":[1]}})";
  ASSERT_EQ(DecodeReplicaPage(page)->replicas.size(), 2U);
  for (std::size_t size = 0; size < page.size(); ++size) {
    EXPECT_FALSE(DecodeReplicaPage(page.substr(0, size))) << size;
  }
  for (const char* other :
       {"", "[]", "null", "7", "{}", R"({"instances":{}})",
        R"({"instances":null})", R"({"a":{"instances":[]}})",
        R"(["instances",[]])", R"({"instances":[]}})", R"({"instances":[]},)",
        R"({"a":"\"instances\":[]"})"}) {
    EXPECT_FALSE(DecodeReplicaPage(other)) << other;
  }
}

/// HttpClient that answers each call with the same page.
class RepeatingHttpClient : public HttpClient {
 public:
  explicit RepeatingHttpClient(std::string page) : m_page(std::move(page)) {}

  std::size_t calls = 0;

 protected:
  HttpCallId OnSend(HttpCall /*call*/, Callback callback) override {
    ++calls;
    HttpCallResult result;
    result.end = HttpCallEnd::kAnswered;
    result.answer.status = 200;
    result.answer.body = m_page;
    callback(std::move(result));
    return calls;
  }
  void OnCancel(HttpCallId /*id*/) override {}

 private:
  std::string m_page;
};

// Each page is within the limit, but there is always a next one.
TEST(HttpReplicaDirectoryTest, EndsAReadOfPagesWithoutEnd) {
  constexpr std::size_t kMaxReadBytes = std::size_t{20} << 20;
  RecordingLog log;
  for (const std::size_t padding : {std::size_t{1}, std::size_t{3} << 20}) {
    const std::string page = "{\"instances\":[" + EntryText("i-1") +
                             "],\"padding\":\"" + std::string(padding, 'x') +
                             "\",\"nextPageToken\":\"p\"}";
    RepeatingHttpClient client(page);
    HttpReplicaDirectory directory(&client, &log, {"127.0.0.1:1"});
    std::optional<bool> succeeded;
    directory.Read(
        [&](const auto& replicas) { succeeded = replicas.has_value(); });
    EXPECT_EQ(succeeded, false);
    EXPECT_LE(client.calls, 1000U);
    EXPECT_LT(client.calls * page.size(), kMaxReadBytes);
  }
}

// Pages without end or sense take a bounded time.
TEST(ReplicaPageTest, HostilePagesAreReadInBoundedTime) {
  constexpr std::size_t kRepeats = 300'000;
  for (const std::string& repeated :
       {std::string("{"), std::string(",{"), std::string("]"),
        std::string(",{\"a"), std::string("[{},"), std::string("\""),
        std::string(",{]"), std::string("\\\"")}) {
    std::string page = "{\"instances\":[";
    for (std::size_t i = 0; i < kRepeats; ++i) page += repeated;
    const auto started = std::chrono::steady_clock::now();
    static_cast<void>(DecodeReplicaPage(page));
    static_cast<void>(DecodeReplicaPage(page + "]}"));
    EXPECT_LT(std::chrono::steady_clock::now() - started, seconds(2))
        << repeated;
  }
}

TEST(ReplicaLoadTest, AcceptsThreeNumbers) {
  EXPECT_EQ(DecodeLoad("3,0,8")->slots, 8U);
  EXPECT_FALSE(DecodeLoad("3,0,8")->slowness);
  for (const char* invalid_text :
       {"", "3", "3,0", "3,0,", "3,0,8,", "a,0,8", "3;0;8", "3,0,8;",
        "3,0,x,100", "3,0,8,x", "3,0,8,-5", "3,0,8,,5", "3,0,8, 100"}) {
    EXPECT_FALSE(DecodeLoad(invalid_text)) << invalid_text;
  }
}

// A load with a fourth value was dropped whole, so that the queue of the
// replica was unknown too.
TEST(ReplicaLoadTest, ReadsTheFourthValueAndIgnoresFurtherOnes) {
  for (const char* text : {"3,1,8,250", "3,1,8,250.0", "3,1,8,250,7,x"}) {
    const auto load = DecodeLoad(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->running, 3U);
    EXPECT_EQ(load->waiting, 1U);
    EXPECT_EQ(load->slots, 8U);
    ASSERT_TRUE(load->slowness) << text;
    EXPECT_DOUBLE_EQ(*load->slowness, 2.5);
  }
  EXPECT_DOUBLE_EQ(*DecodeLoad("3,1,8,10000")->slowness, 100);
}

// A replica with such a value would be chosen always or never.
TEST(ReplicaLoadTest, IgnoresAnImpossibleFourthValue) {
  for (const char* text :
       {"3,1,8,0", "3,1,8,0.0", "3,1,8,10001", "3,1,8,9999999999999999999"}) {
    const auto load = DecodeLoad(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->slots, 8U);
    EXPECT_FALSE(load->slowness) << text;
  }
}

HttpRequest MakeRequest() {
  HttpRequest request;
  request.method = "GET";
  request.target = "/a/b?c";
  request.path = "/a/b";
  request.headers = {{"host", "h"},
                     {"chicoryvale-request-id", "id1"},
                     {"Chicoryvale-Deadline-Ms", "250"},
                     {"Connection", "keep-alive"},
                     {"X-Own", "kept"}};
  return request;
}

TEST(CallerCodecTest, DecodesRequestAndRemovesHopByHopHeaders) {
  const auto routed = DecodeCallerRequest(MakeRequest());
  ASSERT_TRUE(routed);
  EXPECT_EQ(routed->request->id, "id1");
  EXPECT_EQ(routed->request->target, "/a/b?c");
  EXPECT_EQ(routed->time_left, milliseconds(250));
  EXPECT_EQ(FindHeader(routed->request->headers, "X-Own"), "kept");
  EXPECT_EQ(FindHeader(routed->request->headers, "Connection"), "");
}

TEST(CallerCodecTest, RejectsInvalidRequestsWithTheirErrorKind) {
  HttpRequest large = MakeRequest();
  large.too_large = true;
  EXPECT_EQ(DecodeCallerRequest(large).error().kind,
            ErrorKind::kRequestTooLarge);
  HttpRequest without_id = MakeRequest();
  without_id.headers.erase(without_id.headers.begin() + 1);
  EXPECT_EQ(DecodeCallerRequest(without_id).error().kind,
            ErrorKind::kRequestIdMissing);
  HttpRequest invalid_deadline = MakeRequest();
  invalid_deadline.headers[2].value = "soon";
  EXPECT_EQ(DecodeCallerRequest(invalid_deadline).error().kind,
            ErrorKind::kInvalidDeadline);
}

TEST(CallerCodecTest, EncodesSignaturesAndMissingShardsOfScatteredAnswer) {
  RoutedAnswer answer;
  answer.scattered = true;
  answer.signatures = {"m1", "m2"};
  answer.missing_shard_count = 1;
  answer.body = "records";
  const HttpResponse response = EncodeCallerAnswer(answer);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(FindHeader(response.headers, kShardSignaturesHeader), "m1, m2");
  EXPECT_EQ(FindHeader(response.headers, kMissingShardsHeader), "1");
}

TEST(CallerCodecTest, EncodesRetryAfterInSeconds) {
  RoutedAnswer answer;
  answer.error = Error{ErrorKind::kUpstreamUnavailable, "busy", Ran::kNo};
  answer.retry_after = milliseconds(150);
  const HttpResponse response = EncodeCallerAnswer(answer);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(FindHeader(response.headers, kRetryAfterHeader), "0.150");
}

}  // namespace
}  // namespace chicoryvale::platform
