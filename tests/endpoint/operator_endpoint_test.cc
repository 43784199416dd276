#include "endpoint/operator_endpoint.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "fakes/local_control_group.h"

namespace chicoryvale {
namespace {

constexpr char kToken[] = "operators-token-of-the-tests";

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(CHICORYVALE_SOURCE_DIR) + "/examples/" + name +
                     "/schema.proto");
  return {std::istreambuf_iterator<char>(file), {}};
}

nlohmann::json Header(const std::string& id, std::uint64_t version) {
  return {{"operation_id", id}, {"expected_version", version}};
}

class OperatorEndpointTest : public testing::Test {
 protected:
  HttpResponse Send(const std::string& path, const std::string& body,
                    const std::string& token = kToken) {
    HttpRequest request{
        "POST", path, {{"Authorization", "Bearer " + token}}, body, false};
    return SendRaw(request);
  }

  HttpResponse SendRaw(const HttpRequest& request) {
    HttpResponse received;
    m_endpoint.Handle(request, [&received](HttpResponse response) {
      received = std::move(response);
    });
    return received;
  }

  HttpResponse ApplySchemaText(const std::string& id, std::uint64_t version,
                               const std::string& text) {
    const nlohmann::json body = {{"header", Header(id, version)},
                                 {"schema_text", text}};
    return Send("/chicoryvale.Cluster/ApplySchema", body.dump());
  }

  HttpResponse SetDuesOfficePlacement(const std::string& id,
                                      std::uint64_t version) {
    const nlohmann::json replica = {{"address", "127.0.0.1:9001"},
                                    {"availability_zone", "rajkot"}};
    const nlohmann::json body = {
        {"header", Header(id, version)},
        {"shards", {{{"replicas", {replica}}}}},
        {"limits", {{"slots", 2}, {"connections", 80}}},
        {"index_version", 5}};
    return Send("/sangh.DuesOffice.Operator/SetPlacement", body.dump());
  }

  LocalControlGroup m_group{{"127.0.0.1:7000"}};
  OperatorEndpoint m_endpoint{&m_group, kToken};
};

TEST_F(OperatorEndpointTest, StatusReportsAcceptedSchemaAndPlacement) {
  EXPECT_EQ(ApplySchemaText("a", 0, ReadExample("sangh")).body,
            R"({"version":"1"})");
  EXPECT_EQ(SetDuesOfficePlacement("b", 1).body, R"({"version":"2"})");
  const auto status = nlohmann::json::parse(
      Send("/sangh.DuesOffice.Operator/Status", "{}").body);
  EXPECT_EQ(status["version"], "2");
  EXPECT_EQ(status["index_version"], "5");
  EXPECT_EQ(status["shards"][0]["replicas"][0]["address"], "127.0.0.1:9001");
  const auto cluster =
      nlohmann::json::parse(Send("/chicoryvale.Cluster/Status", "").body);
  EXPECT_EQ(cluster["leader"], "127.0.0.1:7000");
}

TEST_F(OperatorEndpointTest,
       RetriedChangeGetsFirstAnswerAndStaleVersionIsRejected) {
  const std::string text = ReadExample("sangh");
  const std::string first = ApplySchemaText("a", 0, text).body;
  EXPECT_EQ(ApplySchemaText("a", 0, text).body, first);
  const HttpResponse conflicting = ApplySchemaText("b", 0, text);
  EXPECT_EQ(conflicting.status, 409);
  EXPECT_THAT(conflicting.body, testing::HasSubstr("version_conflict"));
  const HttpResponse reused = ApplySchemaText("a", 0, text + "\n");
  EXPECT_THAT(reused.body, testing::HasSubstr("operation_id_reused"));
  EXPECT_EQ(m_group.Config().version, 1U);
}

TEST_F(OperatorEndpointTest, RejectsSchemaThatRemovesMethodOfPlacedService) {
  const std::string text = ReadExample("sangh");
  ApplySchemaText("a", 0, text);
  SetDuesOfficePlacement("b", 1);
  std::string renamed = text;
  renamed.replace(renamed.find("rpc Lookup(DuesRequest)"), 10, "rpc Search");
  const HttpResponse response = ApplySchemaText("c", 2, renamed);
  EXPECT_EQ(response.status, 422);
  EXPECT_THAT(response.body,
              testing::HasSubstr("sangh.DuesOffice/Lookup is removed"));
  EXPECT_EQ(m_group.Config().version, 2U);
}

struct InvalidCall {
  std::string path;
  std::string body;
  ErrorKind kind;
};

TEST_F(OperatorEndpointTest, AnswersInvalidCallWithItsErrorKind) {
  using enum ErrorKind;
  ApplySchemaText("a", 0, ReadExample("sangh"));
  const std::vector<InvalidCall> calls = {
      {"/chicoryvale.Cluster/Nothing", "{}", kUnknownEndpoint},
      {"/sangh.DuesOffice/SetLimits", "{}", kUnknownEndpoint},
      {"/sangh.DuesOffice.Operator/ApplySchema", "{}", kUnknownEndpoint},
      {"/", "{}", kUnknownEndpoint},
      {"/sangh.DuesOffice.Operator/Status", "{}", kUnknownEndpoint},
      {"/chicoryvale.Cluster/ApplySchema", "{", kMalformedRequest},
      {"/chicoryvale.Cluster/ApplySchema", R"({"schema":1})",
       kMalformedRequest},
      {"/chicoryvale.Cluster/ApplySchema",
       R"({"header":{"operation_id":"z","expected_version":1}})",
       kInvalidChange},
      {"/chicoryvale.Cluster/ApplySchema",
       R"({"header":{"expected_version":1},"schema_text":"x"})",
       kInvalidChange},
      {"/sangh.Nothing.Operator/SetPlacement",
       R"({"header":{"operation_id":"y","expected_version":1},
          "shards":[{"replicas":[{"address":"127.0.0.1:1"}]}]})",
       kInvalidChange},
      {"/chicoryvale.Cluster/ChangeMember", "{}", kInvalidChange},
  };
  for (const InvalidCall& call : calls) {
    const HttpResponse response = Send(call.path, call.body);
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    ASSERT_TRUE(json.is_object()) << call.path;
    EXPECT_EQ(json["kind"], PropertiesOf(call.kind).name)
        << call.path << call.body << response.body;
    EXPECT_EQ(json["ran"], "no") << call.path;
  }
  EXPECT_EQ(m_group.Config().version, 1U);
}

TEST_F(OperatorEndpointTest, RejectsAndCountsCallsWithoutValidToken) {
  for (const char* token : {"", "x", "operators-token-of-the-testx"}) {
    const HttpResponse response =
        Send("/chicoryvale.Cluster/Status", "{}", token);
    EXPECT_EQ(response.status, 401) << token;
  }
  HttpRequest without_token{
      "POST", "/chicoryvale.Cluster/Status", {}, "{}", false};
  EXPECT_EQ(SendRaw(without_token).status, 401);
  EXPECT_EQ(m_endpoint.Errors().Get(ErrorKind::kUnauthenticated), 4U);
}

}  // namespace
}  // namespace chicoryvale
