#include "endpoint/caller_endpoint.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_scheduler.h"
#include "fakes/open_freshness.h"
#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

// Answers each query immediately with `m_answer` and records its spec.
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

  static HttpRequest ValidRequest() {
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

TEST_F(CallerEndpointTest, PassesValidatedQueryToRunner) {
  m_runner.m_answer.coverage = {{0, ShardState::kCovered},
                                {1, ShardState::kDeadline}};
  m_runner.m_answer.snapshot = {3, 12};
  const HttpResponse response = Send(ValidRequest());
  EXPECT_EQ(response.status, 200) << response.body;
  EXPECT_EQ(FindHeader(response.headers, kHeaderCoverage), "1/2");
  EXPECT_EQ(FindHeader(response.headers, kHeaderMissingShards), "1:deadline");
  EXPECT_EQ(FindHeader(response.headers, kHeaderSnapshot), "3.12");
  EXPECT_EQ(FindHeader(response.headers, kHeaderConfigVersion), "4");
  ASSERT_EQ(m_runner.m_specs.size(), 1U);
  const QuerySpec& spec = m_runner.m_specs.front();
  EXPECT_EQ(spec.service, "sangh.FormulaDesk");
  EXPECT_EQ(spec.workspace, "makers");
  EXPECT_EQ(spec.timeout, milliseconds(250));
  EXPECT_EQ(spec.objective, QueryObjective::kTailLatency);
  EXPECT_EQ(spec.min_coverage_per_10000, 9000U);
  EXPECT_FALSE(spec.routing_hash.has_value());
}

TEST_F(CallerEndpointTest, FingerprintDependsOnContentNotOnJsonFormatting) {
  Send(ValidRequest());
  HttpRequest reformatted = ValidRequest();
  reformatted.body = "{ \"wax\" : \"beeswax\" }";
  Send(reformatted);
  HttpRequest other = ValidRequest();
  other.body = R"({"wax":"carnauba"})";
  Send(other);
  ASSERT_EQ(m_runner.m_specs.size(), 3U);
  EXPECT_EQ(m_runner.m_specs[0].fingerprint, m_runner.m_specs[1].fingerprint);
  EXPECT_NE(m_runner.m_specs[0].fingerprint, m_runner.m_specs[2].fingerprint);
}

struct InvalidRequestCase {
  std::string name;
  HttpRequest request;
  ErrorKind kind;
};

HttpRequest WithHeader(HttpRequest request, const std::string& header,
                       const std::string& value) {
  std::erase_if(request.headers, [&header](const HttpHeader& line) {
    return line.name == header;
  });
  request.headers.push_back({header, value});
  return request;
}

std::vector<InvalidRequestCase> InvalidRequests(const HttpRequest& valid) {
  using enum ErrorKind;
  std::vector<InvalidRequestCase> cases;
  const auto add = [&cases](std::string name, ErrorKind kind,
                            HttpRequest request) {
    cases.push_back({std::move(name), std::move(request), kind});
  };
  const auto path = [&valid](const std::string& text) {
    HttpRequest request = valid;
    request.path = text;
    return request;
  };
  const auto body = [&valid](const std::string& text) {
    HttpRequest request = valid;
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
    HttpRequest request = valid;
    request.method = text;
    add(std::string("method ") + text, kWrongMethod, request);
  }
  for (const char* text : {"0", "-1", "600001", "99999999999999999999", "1.5",
                           "fast", "0x10", " 5"}) {
    add(std::string("deadline ") + text, kInvalidDeadline,
        WithHeader(valid, kHeaderDeadlineMs, text));
  }
  for (const char* text : {"{", "[]", "{\"nothing\":1}", "{\"wax\":{}}", "\xff",
                           "{\"wax\":\"a\"} x"}) {
    add(std::string("JSON ") + text, kMalformedRequest, body(text));
  }
  HttpRequest protobuf =
      WithHeader(valid, "content-type", kProtobufContentType);
  protobuf.body = "\x0a\xff\xff\xff\xff\x0f";
  add("Protobuf with a length beyond its end", kMalformedRequest, protobuf);
  add("text", kUnsupportedMediaType,
      WithHeader(valid, "content-type", "text/plain"));
  add("workspace", kMalformedRequest,
      WithHeader(valid, kHeaderWorkspace, "nobody"));
  add("long request id", kMalformedRequest,
      WithHeader(valid, kHeaderRequestId, std::string(129, 'x')));
  HttpRequest large = body("");
  large.too_large = true;
  add("size", kRequestTooLarge, large);
  HttpRequest booking = path("/sangh.StallBooking/Book");
  booking.body = "{}";
  add("booking without request id", kRequestIdMissing, booking);
  return cases;
}

TEST_F(CallerEndpointTest, AnswersInvalidRequestWithItsErrorKind) {
  for (const InvalidRequestCase& invalid : InvalidRequests(ValidRequest())) {
    const std::uint64_t count_before = m_endpoint.Errors().Get(invalid.kind);
    const HttpResponse response = Send(invalid.request);
    const ErrorProperties& answer = PropertiesOf(invalid.kind);
    EXPECT_EQ(response.status, answer.http_status) << invalid.name;
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    ASSERT_TRUE(json.is_object()) << invalid.name;
    EXPECT_EQ(json["kind"], answer.name)
        << invalid.name << ": " << response.body;
    EXPECT_EQ(json["ran"], "no") << invalid.name;
    EXPECT_FALSE(json["message"].get<std::string>().empty()) << invalid.name;
    EXPECT_EQ(m_endpoint.Errors().Get(invalid.kind), count_before + 1)
        << invalid.name;
  }
  EXPECT_TRUE(m_runner.m_specs.empty()) << "a refused request was run";
}

TEST_F(CallerEndpointTest, UsesDefaultDeadlineWithoutDeadlineHeader) {
  HttpRequest request = ValidRequest();
  std::erase_if(request.headers, [](const HttpHeader& line) {
    return line.name == kHeaderDeadlineMs;
  });
  Send(request);
  ASSERT_EQ(m_runner.m_specs.size(), 1U);
  EXPECT_EQ(m_runner.m_specs.front().timeout, milliseconds(400));
}

TEST_F(CallerEndpointTest, ErrorAnswerStatesCoverageAndWhetherQueryRan) {
  m_runner.m_answer.body = tl::unexpected(
      Error{ErrorKind::kInsufficientCoverage, "too few", Ran::kMaybe});
  m_runner.m_answer.coverage = {{0, ShardState::kCovered},
                                {1, ShardState::kUnreachable}};
  const HttpResponse response = Send(ValidRequest());
  const auto json = nlohmann::json::parse(response.body);
  EXPECT_EQ(json["ran"], "maybe");
  EXPECT_EQ(json["retryable"], false);
  EXPECT_EQ(json["coverage"]["covered"], 1);
  EXPECT_EQ(json["coverage"]["asked"], 2);
}

TEST_F(CallerEndpointTest,
       RejectsRequestsWithoutConfigurationAndDuringShutdown) {
  CallerEndpoint without_config(&m_runner);
  HttpResponse received;
  without_config.Handle(ValidRequest(), [&received](HttpResponse response) {
    received = std::move(response);
  });
  EXPECT_THAT(received.body, testing::HasSubstr("no_configuration"));
  m_endpoint.StopAccepting();
  EXPECT_THAT(Send(ValidRequest()).body, testing::HasSubstr("shutting_down"));
  EXPECT_TRUE(m_runner.m_specs.empty());
}

TEST_F(CallerEndpointTest, KeepsSchemaIfNextOneCannotBeParsed) {
  ClusterConfig broken = m_config;
  broken.schema_text = "no schema";
  EXPECT_FALSE(m_endpoint.SetConfig(broken, ConfigTrust::kUnconfirmed));
  const HttpResponse response = Send(ValidRequest());
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(FindHeader(response.headers, kHeaderConfigVersion), "4");
}

/// An entry whose schema lacks a change that was accepted.
class OldSchemaTest : public CallerEndpointTest {
 protected:
  OldSchemaTest() {
    m_endpoint.SetFreshness(&m_freshness, &m_scheduler);
    m_request.path = "/macchie.EyepieceDesk/Compare";
    m_request.body = R"({"sketch_id":"s"})";
    m_request = WithHeader(m_request, kHeaderWorkspace, "observers");
  }

  void SendAndWait(Duration wait) {
    m_endpoint.Handle(m_request, [this](HttpResponse response) {
      m_response = std::move(response);
    });
    EXPECT_FALSE(m_response) << m_response->body;
    m_scheduler.RunFor(wait);
  }

  void Confirm(bool is_current) {
    ASSERT_EQ(m_freshness.pending.size(), 1U);
    m_freshness.pending.front()(is_current);
  }

  void ApplyNewerSchema() {
    m_config.version = 5;
    m_config.schema_text = ReadExample("macchie");
    ASSERT_TRUE(m_endpoint.SetConfig(m_config, ConfigTrust::kConfirmed));
  }

  FakeScheduler m_scheduler;
  OpenFreshness m_freshness;
  HttpRequest m_request = ValidRequest();
  std::optional<HttpResponse> m_response;
};

// An entry answered 404 for a method that an accepted change had added.
TEST_F(OldSchemaTest, AMethodThatAChangeHasAddedIsServed) {
  SendAndWait(milliseconds(100));
  ApplyNewerSchema();
  Confirm(true);
  ASSERT_TRUE(m_response);
  EXPECT_EQ(m_response->status, 200) << m_response->body;
  ASSERT_EQ(m_runner.m_specs.size(), 1U);
  EXPECT_EQ(m_runner.m_specs.front().timeout, milliseconds(150));
}

TEST_F(OldSchemaTest, ACurrentSchemaRefusesForGood) {
  SendAndWait(milliseconds(1));
  Confirm(true);
  ASSERT_TRUE(m_response);
  EXPECT_EQ(m_response->status, 404);
}

TEST_F(OldSchemaTest, AnUnconfirmedSchemaRefusesNothingForGood) {
  SendAndWait(milliseconds(300));
  Confirm(false);
  ASSERT_TRUE(m_response);
  EXPECT_EQ(m_response->status, 503);
  EXPECT_THAT(m_response->body, testing::HasSubstr("no_configuration"));
  EXPECT_THAT(m_response->body, testing::HasSubstr("\"ran\":\"no\""));
}

TEST_F(OldSchemaTest, ADeadlineThatPassesMeanwhileIsTold) {
  m_request = WithHeader(m_request, kHeaderDeadlineMs, "100");
  SendAndWait(milliseconds(100));
  ApplyNewerSchema();
  Confirm(true);
  ASSERT_TRUE(m_response);
  EXPECT_THAT(m_response->body, testing::HasSubstr("deadline_exceeded"));
  EXPECT_TRUE(m_runner.m_specs.empty());
}

// What a request lacks by itself is told at once, whatever the schema.
TEST_F(OldSchemaTest, RefusesAtOnceWhatNoSchemaAllows) {
  m_request = ValidRequest();
  m_request.method = "GET";
  EXPECT_EQ(Send(m_request).status, 405);
  m_request = ValidRequest();
  m_request.too_large = true;
  EXPECT_EQ(Send(m_request).status, 413);
  EXPECT_TRUE(m_freshness.pending.empty());
}

}  // namespace
}  // namespace chicoryvale
