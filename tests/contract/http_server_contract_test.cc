#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "adapters/soup_http_server.h"
#include "fakes/main_context.h"
#include "fakes/raw_socket.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kMaxBodyBytes = 1000;

/// Bytes that a caller sends, and the expected reaction of the server.
struct RawHttpCase {
  std::string name;
  /// Sent one after the other.
  std::vector<std::string> pieces;
  /// The caller shuts down its sending side after the last piece.
  bool half_close = false;
  /// Status of the first answer; 0 if the connection ends without an answer.
  int first_status = 0;
  /// Number of calls of the handler, and of those with `too_large` set.
  int handler_calls = 0;
  int too_large_calls = 0;
  /// Expected method of the last request; empty if it is not checked.
  std::string method = "";
};

std::string Post(const std::string& length, const std::string& body) {
  return "POST /p HTTP/1.1\r\nHost: t\r\nContent-Length: " + length +
         "\r\n\r\n" + body;
}

std::string Chunk(std::size_t size) {
  char length[16];
  snprintf(length, sizeof length, "%zx\r\n", size);
  return length + std::string(size, 'x') + "\r\n";
}

std::vector<RawHttpCase> RawHttpCases() {
  const std::string chunked =
      "POST /p HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string get = "GET /p HTTP/1.1\r\nHost: t\r\n\r\n";
  return {
      {"BodyAtTheLimit", {Post("1000", std::string(1000, 'x'))}, true, 200, 1},
      {"BodyOverTheLimit",
       {Post("1001", std::string(1001, 'x'))},
       false,
       413,
       1,
       1},
      {"ChunkedBodyOverTheLimit",
       {chunked, Chunk(600), Chunk(600), "0\r\n\r\n"},
       false,
       413,
       1,
       1},
      {"UnterminatedChunkedBody",
       {chunked, Chunk(5000), Chunk(5000)},
       false,
       0,
       1,
       1},
      {"OverflowingContentLength",
       {Post("99999999999999999", "x")},
       true,
       0,
       0},
      {"NegativeContentLength", {Post("-5", "x")}, true, 400, 0},
      {"DuplicateContentLength",
       {"POST /p HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n"
        "Content-Length: 2\r\n\r\nab"},
       true,
       400,
       0},
      {"BodyOfAnUnknownTransferCoding",
       {"POST /p HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: identity\r\n\r\n" +
        get},
       true,
       400,
       0},
      {"MalformedRequestLine", {"nonsense\r\n\r\n"}, true, 400, 0},
      {"BinaryRequestLine",
       {std::string("\x16\x03\x01\0\x05\r\n\r\n", 9)},
       true,
       400,
       0},
      {"MissingVersion", {"GET /p\r\nHost: t\r\n\r\n"}, true, 400, 0},
      {"MissingHost", {"GET /p HTTP/1.1\r\n\r\n"}, true, 400, 0},
      {"UnknownMethod",
       {"BREW /p HTTP/1.1\r\nHost: t\r\n\r\n"},
       true,
       200,
       1,
       0,
       "BREW"},
      {"HugeHeaders",
       {"GET /p HTTP/1.1\r\nHost: t\r\nX: " + std::string(1 << 20, 'h') +
        "\r\n\r\n"},
       true,
       0,
       0},
      {"RequestInSmallPieces",
       {"GE", "T /p HT", "TP/1.1\r\nHo", "st: t\r\n\r", "\n"},
       true,
       200,
       1},
      {"HalfClosedAfterRequest", {get}, true, 200, 1},
      {"HalfClosedInHeaders", {"GET /p HTTP/1.1\r\nHo"}, true, 400, 0},
      {"HalfClosedInBody", {Post("10", "abc")}, true, 0, 0},
      {"Pipelined",
       {get + get + "GET /p HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n"},
       false,
       200,
       3},
  };
}

// Guards against a server that stalls, exceeds the body limit, or leaks
// connections or descriptors when a caller sends malformed, oversized or
// truncated requests.
class HttpServerContractTest : public testing::TestWithParam<RawHttpCase> {};

TEST_P(HttpServerContractTest, AnswersOrClosesTheConnectionWithoutLeaks) {
  const RawHttpCase& test_case = GetParam();
  SoupHttpServerOptions options;
  options.bind = Address{"127.0.0.1:0"};
  options.max_body_bytes = kMaxBodyBytes;
  const auto server = std::move(*SoupHttpServer::Make(options));
  int handler_calls = 0;
  int too_large_calls = 0;
  std::string method;
  server->SetHandler(
      [&](const HttpRequest& request, const HttpResponder& respond) {
        ++handler_calls;
        method = request.method;
        EXPECT_LE(request.body.size(), kMaxBodyBytes);
        if (request.too_large) ++too_large_calls;
        HttpResponse response;
        response.status = request.too_large ? 413 : 200;
        respond(response);
      });
  const std::size_t descriptors_before = OpenDescriptors();
  std::string answer;
  RunBeside([&] {
    RawSocket caller(server->LocalAddress());
    for (const std::string& piece : test_case.pieces) {
      if (!caller.Send(piece)) break;
    }
    if (test_case.half_close) caller.EndSending();
    answer = caller.ReceiveAll();
  });
  IterateUntil([&] { return server->ConnectionCount() == 0; });
  EXPECT_EQ(answer.empty() ? 0 : std::stoi(answer.substr(9, 3)),
            test_case.first_status)
      << answer;
  EXPECT_EQ(handler_calls, test_case.handler_calls);
  EXPECT_EQ(too_large_calls, test_case.too_large_calls);
  EXPECT_TRUE(test_case.method.empty() || method == test_case.method) << method;
  EXPECT_EQ(server->InFlight(), 0);
  EXPECT_EQ(OpenDescriptors(), descriptors_before);
  if (test_case.first_status == 400) {
    EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kBrokenRequests),
              1);
  }
}

INSTANTIATE_TEST_SUITE_P(BadHttp, HttpServerContractTest,
                         testing::ValuesIn(RawHttpCases()),
                         [](const testing::TestParamInfo<RawHttpCase>& info) {
                           return info.param.name;
                         });

}  // namespace
}  // namespace chicoryvale
