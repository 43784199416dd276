#include "endpoint/caller_endpoint.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

// Answers each query at once with a fixed answer, and keeps its spec.
class FixedRunner : public QueryRunner {
 public:
  QueryAnswer m_answer;
  std::vector<QuerySpec> m_specs;

 protected:
  void OnRun(QuerySpec spec, std::shared_ptr<AnswerMergerFactory>,
             QueryCallback callback) override {
    m_specs.push_back(std::move(spec));
    callback(m_answer);
  }
};

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(CHICORYVALE_SOURCE_DIR) + "/examples/" + name +
                     "/schema.proto");
  return {std::istreambuf_iterator<char>(file), {}};
}

class CallerEndpointTest : public testing::Test {
 protected:
  CallerEndpointTest() {
    m_config.version = 4;
    m_config.schema_text = ReadExample("sangh");
    EXPECT_TRUE(m_endpoint.SetConfig(m_config, ConfigTrust::kConfirmed));
  }

  static HttpRequest GoodRequest() {
    return {"POST",
            "/sangh.FormulaDesk/Check",
            {{"content-type", "application/json"},
             {kHeaderWorkspace, "makers"},
             {kHeaderDeadlineMs, "250"}},
            R"({"wax":"beeswax"})",
            false};
  }

  HttpResponse Send(const HttpRequest& request) {
    HttpResponse received;
    m_endpoint.Handle(request, [&received](HttpResponse response) {
      received = std::move(response);
    });
    return received;
  }

  FixedRunner m_runner;
  CallerEndpoint m_endpoint{&m_runner};
  ClusterConfig m_config;
};

TEST_F(CallerEndpointTest, PassesACheckedQueryOn) {
  m_runner.m_answer.coverage = {{0, ShardState::kCovered},
                                {1, ShardState::kDeadline}};
  m_runner.m_answer.snapshot = {3, 12};
  const HttpResponse response = Send(GoodRequest());
  EXPECT_EQ(response.status, 200) << response.body;
  EXPECT_EQ(FindHeader(response.headers, kHeaderCoverage), "1/2");
  EXPECT_EQ(FindHeader(response.headers, kHeaderMissingShards), "1:deadline");
  EXPECT_EQ(FindHeader(response.headers, kHeaderSnapshot), "3.12");
  EXPECT_EQ(FindHeader(response.headers, kHeaderConfigVersion), "4");
  ASSERT_EQ(m_runner.m_specs.size(), 1U);
  const QuerySpec& spec = m_runner.m_specs.front();
  EXPECT_EQ(spec.service, "sangh.FormulaDesk");
  EXPECT_EQ(spec.workspace, "makers");
  EXPECT_EQ(spec.deadline, milliseconds(250));
  EXPECT_EQ(spec.objective, QueryObjective::kTailLatency);
  EXPECT_EQ(spec.min_coverage_per_10000, 9000U);
  EXPECT_FALSE(spec.routing_hash.has_value());
}

TEST_F(CallerEndpointTest, FingerprintDependsOnContentNotOnForm) {
  Send(GoodRequest());
  HttpRequest spaced = GoodRequest();
  spaced.body = "{ \"wax\" : \"beeswax\" }";
  Send(spaced);
  HttpRequest other = GoodRequest();
  other.body = R"({"wax":"carnauba"})";
  Send(other);
  ASSERT_EQ(m_runner.m_specs.size(), 3U);
  EXPECT_EQ(m_runner.m_specs[0].fingerprint, m_runner.m_specs[1].fingerprint);
  EXPECT_NE(m_runner.m_specs[0].fingerprint, m_runner.m_specs[2].fingerprint);
}

struct BadRequestCase {
  std::string name;
  HttpRequest request;
  ErrorKind kind;
};

HttpRequest With(HttpRequest request, const std::string& header,
                 const std::string& value) {
  std::erase_if(request.headers, [&header](const HttpHeader& line) {
    return line.name == header;
  });
  request.headers.push_back({header, value});
  return request;
}

std::vector<BadRequestCase> BadRequests(const HttpRequest& good) {
  using enum ErrorKind;
  std::vector<BadRequestCase> cases;
  const auto add = [&cases](std::string name, ErrorKind kind,
                            HttpRequest request) {
    cases.push_back({std::move(name), std::move(request), kind});
  };
  const auto path = [&good](const std::string& text) {
    HttpRequest request = good;
    request.path = text;
    return request;
  };
  const auto body = [&good](const std::string& text) {
    HttpRequest request = good;
    request.body = text;
    return request;
  };
  for (const char* text :
       {"", "/", "//", "/x", "/sangh.FormulaDesk", "/sangh.FormulaDesk/",
        "/sangh.FormulaDesk/Nothing", "/sangh.Nothing/Check",
        "sangh.FormulaDesk/Check", "/sangh.FormulaDesk/Check/"}) {
    add(std::string("path ") + text, kUnknownEndpoint, path(text));
  }
  for (const char* text : {"GET", "PUT", "", "post", "TRACE"}) {
    HttpRequest request = good;
    request.method = text;
    add(std::string("method ") + text, kWrongMethod, request);
  }
  for (const char* text : {"0", "-1", "600001", "99999999999999999999", "1.5",
                           "fast", "0x10", " 5"}) {
    add(std::string("deadline ") + text, kInvalidDeadline,
        With(good, kHeaderDeadlineMs, text));
  }
  for (const char* text : {"{", "[]", "{\"nothing\":1}", "{\"wax\":{}}", "\xff",
                           "{\"wax\":\"a\"} x"}) {
    add(std::string("JSON ") + text, kMalformedRequest, body(text));
  }
  HttpRequest protobuf = With(good, "content-type", kProtobufContentType);
  protobuf.body = "\x0a\xff\xff\xff\xff\x0f";
  add("Protobuf with a length beyond its end", kMalformedRequest, protobuf);
  add("text", kUnsupportedMediaType, With(good, "content-type", "text/plain"));
  add("workspace", kMalformedRequest, With(good, kHeaderWorkspace, "nobody"));
  add("long request id", kMalformedRequest,
      With(good, kHeaderRequestId, std::string(129, 'x')));
  HttpRequest large = body("");
  large.too_large = true;
  add("size", kRequestTooLarge, large);
  HttpRequest booking = path("/sangh.StallBooking/Book");
  booking.body = "{}";
  add("booking without request id", kRequestIdMissing, booking);
  return cases;
}

TEST_F(CallerEndpointTest, AnswersBadInputFromTheTable) {
  for (const BadRequestCase& bad : BadRequests(GoodRequest())) {
    const std::uint64_t before = m_endpoint.Errors().Get(bad.kind);
    const HttpResponse response = Send(bad.request);
    const ErrorAnswer& answer = AnswerFor(bad.kind);
    EXPECT_EQ(response.status, answer.http_status) << bad.name;
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    ASSERT_TRUE(json.is_object()) << bad.name;
    EXPECT_EQ(json["kind"], answer.name) << bad.name << ": " << response.body;
    EXPECT_EQ(json["ran"], "no") << bad.name;
    EXPECT_FALSE(json["message"].get<std::string>().empty()) << bad.name;
    EXPECT_EQ(m_endpoint.Errors().Get(bad.kind), before + 1) << bad.name;
  }
  EXPECT_TRUE(m_runner.m_specs.empty()) << "a refused request was run";
}

TEST_F(CallerEndpointTest, MissingDeadlineTakesTheSchemasDefault) {
  HttpRequest request = GoodRequest();
  std::erase_if(request.headers, [](const HttpHeader& line) {
    return line.name == kHeaderDeadlineMs;
  });
  Send(request);
  ASSERT_EQ(m_runner.m_specs.size(), 1U);
  EXPECT_EQ(m_runner.m_specs.front().deadline, milliseconds(400));
}

TEST_F(CallerEndpointTest, TellsWhetherAFailedQueryRanAndWhatItCovered) {
  m_runner.m_answer.body = tl::unexpected(
      Error{ErrorKind::kInsufficientCoverage, "too few", Ran::kMaybe});
  m_runner.m_answer.coverage = {{0, ShardState::kCovered},
                                {1, ShardState::kUnreachable}};
  const HttpResponse response = Send(GoodRequest());
  const auto json = nlohmann::json::parse(response.body);
  EXPECT_EQ(json["ran"], "maybe");
  EXPECT_EQ(json["retryable"], false);
  EXPECT_EQ(json["coverage"]["covered"], 1);
  EXPECT_EQ(json["coverage"]["asked"], 2);
}

TEST_F(CallerEndpointTest, RefusesWithoutConfigurationAndAtShutdown) {
  CallerEndpoint empty(&m_runner);
  HttpResponse received;
  empty.Handle(GoodRequest(), [&received](HttpResponse response) {
    received = std::move(response);
  });
  EXPECT_THAT(received.body, testing::HasSubstr("no_configuration"));
  m_endpoint.StopAccepting();
  EXPECT_THAT(Send(GoodRequest()).body, testing::HasSubstr("shutting_down"));
  EXPECT_TRUE(m_runner.m_specs.empty());
}

TEST_F(CallerEndpointTest, KeepsItsSchemaWhenTheNextOneDoesNotParse) {
  ClusterConfig broken = m_config;
  broken.schema_text = "no schema";
  EXPECT_FALSE(m_endpoint.SetConfig(broken, ConfigTrust::kConfirmed));
  EXPECT_EQ(Send(GoodRequest()).status, 200);
}

}  // namespace
}  // namespace chicoryvale
