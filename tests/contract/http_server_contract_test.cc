#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "adapters/soup_http_server.h"
#include "fakes/main_context.h"
#include "fakes/raw_socket.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kMaxBody = 1000;

/// Bytes of a caller, and what must come of them.
struct BadHttpCase {
  std::string name;
  std::vector<std::string> sent;
  bool end_sending = false;
  /// Status of the first answer; 0: the connection ends without one.
  int status = 0;
  /// Calls of the handler, and how many of them told too_large.
  int handled = 0;
  int too_large = 0;
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

std::vector<BadHttpCase> BadHttpCases() {
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
      {"EndlessChunkedBody",
       {chunked, Chunk(5000), Chunk(5000)},
       false,
       0,
       1,
       1},
      {"AbsurdLength", {Post("99999999999999999", "x")}, true, 0, 0},
      {"NegativeLength", {Post("-5", "x")}, true, 400, 0},
      {"DoubledLength",
       {"POST /p HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n"
        "Content-Length: 2\r\n\r\nab"},
       true,
       400,
       0},
      {"BrokenRequestLine", {"nonsense\r\n\r\n"}, true, 400, 0},
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
      {"SlowSender",
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

class HttpServerContractTest : public testing::TestWithParam<BadHttpCase> {};

TEST_P(HttpServerContractTest, AnswersOrEndsTheConnection) {
  const BadHttpCase& row = GetParam();
  SoupHttpServerOptions options;
  options.bind = Address{"127.0.0.1:0"};
  options.max_body_bytes = kMaxBody;
  const auto server = std::move(*SoupHttpServer::Make(options));
  int handled = 0;
  int too_large = 0;
  std::string method;
  server->SetHandler(
      [&](const HttpRequest& request, const HttpResponder& respond) {
        ++handled;
        method = request.method;
        EXPECT_LE(request.body.size(), kMaxBody);
        if (request.too_large) ++too_large;
        HttpResponse response;
        response.status = request.too_large ? 413 : 200;
        respond(response);
      });
  const std::size_t before = OpenDescriptors();
  std::string answer;
  RunBeside([&] {
    RawSocket caller(server->LocalAddress());
    for (const std::string& part : row.sent) {
      if (!caller.Send(part)) break;
    }
    if (row.end_sending) caller.EndSending();
    answer = caller.ReceiveAll();
  });
  IterateUntil([&] { return server->ConnectionCount() == 0; });
  EXPECT_EQ(answer.empty() ? 0 : std::stoi(answer.substr(9, 3)), row.status)
      << answer;
  EXPECT_EQ(handled, row.handled);
  EXPECT_EQ(too_large, row.too_large);
  EXPECT_TRUE(row.method.empty() || method == row.method) << method;
  EXPECT_EQ(server->InFlight(), 0);
  EXPECT_EQ(OpenDescriptors(), before);
  if (row.status == 400) {
    EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kBrokenRequests),
              1);
  }
}

INSTANTIATE_TEST_SUITE_P(BadHttp, HttpServerContractTest,
                         testing::ValuesIn(BadHttpCases()),
                         [](const testing::TestParamInfo<BadHttpCase>& param) {
                           return param.param.name;
                         });

}  // namespace
}  // namespace chicoryvale
