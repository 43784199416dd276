#include "adapters/beast_http_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "adapters/glib_scheduler.h"
#include "fakes/main_context.h"
#include "fakes/raw_upstream.h"

namespace chicoryvale {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

class BeastHttpClientTest : public testing::Test {
 protected:
  BeastHttpClientTest()
      : m_client({.poller = &m_poller, .scheduler = &m_scheduler}) {}

  static HttpCall CallTo(const Address& to, const std::string& id = "a") {
    HttpCall call;
    call.to = to;
    call.method = "GET";
    call.target = "/x?y=%20z";
    call.headers = {{"Host", "h"}, {"Id", id}};
    call.timeout = seconds(20);
    return call;
  }

  HttpCallResult Run(HttpCall call) {
    std::optional<HttpCallResult> result;
    m_client.Send(std::move(call),
                  [&](HttpCallResult got) { result = std::move(got); });
    IterateUntil([&] { return result.has_value(); });
    return *result;
  }

  GlibScheduler m_scheduler;
  FdPoller m_poller;
  BeastHttpClient m_client;
};

TEST_F(BeastHttpClientTest, SendsTheTargetAsItIsAndKeepsTheConnection) {
  std::string seen;
  RawUpstream upstream([&](RawSocket& connection, int) {
    for (int i = 0; i < 2; ++i) {
      seen = connection.ReceiveUntil("\r\n\r\n");
      connection.Send(kOk);
    }
    connection.ReceiveAll();
  });
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(seen.substr(0, seen.find('\r')), "GET /x?y=%20z HTTP/1.1");
  EXPECT_EQ(upstream.Connections(), 1);
}

TEST_F(BeastHttpClientTest, JoinsAnAnswerThatComesInPieces) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    for (const char letter : std::string(kOk)) connection.Send({&letter, 1});
    connection.ReceiveAll();
  });
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).answer.body, "hi");
}

TEST_F(BeastHttpClientTest, ReadsChunksAndBodiesWithoutLength) {
  RawUpstream upstream([&](RawSocket& connection, int number) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(number == 0
                        ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                        : "HTTP/1.1 200 OK\r\n\r\nabcd");
  });
  const HttpCallResult chunked = Run(CallTo(upstream.LocalAddress()));
  EXPECT_EQ(chunked.answer.body, "abc");
  EXPECT_TRUE(chunked.answer.closes_connection);
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).answer.body, "abcd");
  EXPECT_EQ(upstream.Connections(), 2);
}

TEST_F(BeastHttpClientTest, TellsThatAConnectionEndedWithoutAnAnswer) {
  RawUpstream upstream(
      [&](RawSocket& connection, int) { connection.ReceiveUntil("\r\n\r\n"); });
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).end, HttpCallEnd::kBroken);
}

TEST_F(BeastHttpClientTest, TakesNoCutAnswerForAWholeOne) {
  RawUpstream upstream([&](RawSocket& connection, int number) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(number == 0
                        ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"
                        : "nonsense\r\n\r\n");
  });
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).end, HttpCallEnd::kBroken);
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).end, HttpCallEnd::kBroken);
}

TEST_F(BeastHttpClientTest, TellsThatNothingWasSent) {
  Address gone;
  {
    const RawUpstream upstream([](RawSocket&, int) {});
    gone = upstream.LocalAddress();
  }
  EXPECT_EQ(Run(CallTo(gone)).end, HttpCallEnd::kNotSent);
  EXPECT_EQ(Run(CallTo({"no address"})).end, HttpCallEnd::kNotSent);
}

TEST_F(BeastHttpClientTest, DropsAnAnswerToAnotherRequest) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nnew");
    connection.ReceiveAll();
  });
  HttpCall call = CallTo(upstream.LocalAddress());
  call.accepts = [](const HttpClientAnswer& answer) {
    return FindHeader(answer.headers, "Id") == "a";
  };
  EXPECT_EQ(Run(std::move(call)).answer.body, "new");
}

TEST_F(BeastHttpClientTest, UsesNoConnectionWithBytesThatNobodyAskedFor) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(std::string(kOk) + kOk);
    connection.ReceiveAll();
  });
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(upstream.Connections(), 2);
}

TEST_F(BeastHttpClientTest, UsesNoConnectionThatTheServerSaysItForgets) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
        "Content-Length: 2\r\n\r\nhi");
    connection.ReceiveAll();
  });
  Run(CallTo(upstream.LocalAddress()));
  Run(CallTo(upstream.LocalAddress()));
  EXPECT_EQ(upstream.Connections(), 2);
}

TEST_F(BeastHttpClientTest, ClosesTheConnectionOfACancelledCall) {
  std::atomic<bool> closed = false;
  std::atomic<bool> asked = false;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    asked = true;
    g_main_context_wakeup(nullptr);
    connection.ReceiveAll();
    closed = true;
    g_main_context_wakeup(nullptr);
  });
  const HttpCallId id = m_client.Send(CallTo(upstream.LocalAddress()),
                                      [](const HttpCallResult&) { FAIL(); });
  IterateUntil([&] { return asked.load(); });
  m_client.Cancel(id);
  IterateUntil([&] { return closed.load(); });
}

TEST_F(BeastHttpClientTest, DoesNotReuseAConnectionWhoseBodyIsNotAllSent) {
  constexpr std::size_t kLongBody = 16 << 20;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(kOk);
    connection.ReceiveAll();
  });
  HttpCall call = CallTo(upstream.LocalAddress());
  call.method = "POST";
  call.body = std::make_shared<const std::string>(kLongBody, 'b');
  EXPECT_EQ(Run(std::move(call)).answer.body, "hi");
  EXPECT_EQ(Run(CallTo(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(upstream.Connections(), 2);
}

}  // namespace
}  // namespace chicoryvale
