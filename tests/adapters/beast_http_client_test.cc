#include "adapters/beast_http_client.h"

#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "adapters/glib_scheduler.h"
#include "fakes/endless_bytes.h"
#include "fakes/main_context.h"
#include "fakes/raw_upstream.h"

namespace chicoryvale {
namespace {

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

class BeastHttpClientTest : public testing::Test {
 protected:
  BeastHttpClientTest()
      : m_client({.poller = &m_poller, .scheduler = &m_scheduler}) {}

  static HttpCall MakeCall(const Address& to, const std::string& id = "a") {
    HttpCall call;
    call.to = to;
    call.method = "GET";
    call.target = "/x?y=%20z";
    call.headers = {{"Host", "h"}, {"Id", id}};
    call.timeout = seconds(20);
    return call;
  }

  HttpCallResult SendAndWait(HttpCall call) {
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

TEST_F(BeastHttpClientTest, SendsTheTargetUnmodifiedAndReusesTheConnection) {
  std::string request_head;
  RawUpstream upstream([&](RawSocket& connection, int) {
    for (int i = 0; i < 2; ++i) {
      request_head = connection.ReceiveUntil("\r\n\r\n");
      connection.Send(kOk);
    }
    connection.ReceiveAll();
  });
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(request_head.substr(0, request_head.find('\r')),
            "GET /x?y=%20z HTTP/1.1");
  EXPECT_EQ(upstream.Connections(), 1);
}

TEST_F(BeastHttpClientTest, ReassemblesAResponseReceivedByteByByte) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    for (const char letter : std::string(kOk)) connection.Send({&letter, 1});
    connection.ReceiveAll();
  });
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.body, "hi");
}

TEST_F(BeastHttpClientTest, ReadsChunkedBodiesAndBodiesWithoutLength) {
  RawUpstream upstream([&](RawSocket& connection, int number) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(number == 0
                        ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                        : "HTTP/1.1 200 OK\r\n\r\nabcd");
  });
  const HttpCallResult chunked = SendAndWait(MakeCall(upstream.LocalAddress()));
  EXPECT_EQ(chunked.answer.body, "abc");
  EXPECT_TRUE(chunked.answer.closes_connection);
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.body, "abcd");
  EXPECT_EQ(upstream.Connections(), 2);
}

TEST_F(BeastHttpClientTest, ReportsBrokenIfTheConnectionEndsWithoutAResponse) {
  RawUpstream upstream(
      [&](RawSocket& connection, int) { connection.ReceiveUntil("\r\n\r\n"); });
  const HttpCallResult result = SendAndWait(MakeCall(upstream.LocalAddress()));
  EXPECT_EQ(result.end, HttpCallEnd::kBroken);
  EXPECT_TRUE(result.ended_by_server);
}

TEST_F(BeastHttpClientTest, ReportsBrokenForATruncatedOrMalformedResponse) {
  RawUpstream upstream([&](RawSocket& connection, int number) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(number == 0
                        ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"
                        : "nonsense\r\n\r\n");
  });
  for (const bool is_truncated : {true, false}) {
    const HttpCallResult result =
        SendAndWait(MakeCall(upstream.LocalAddress()));
    EXPECT_EQ(result.end, HttpCallEnd::kBroken);
    EXPECT_EQ(result.ended_by_server, is_truncated);
  }
}

// Status 000 and 099 were taken for interim responses, so that the call waited
// for its timeout, and 600 and above were passed on.
TEST_F(BeastHttpClientTest, BreaksACallAtAStatusThatIsNoHttpStatus) {
  for (const std::string& line : StartLinesWithoutStatus()) {
    for (const char* rest : {"Content-Length: 2\r\n\r\nhi", "\r\n", ""}) {
      SCOPED_TRACE(line + rest);
      RawUpstream upstream([&](RawSocket& connection, int) {
        connection.ReceiveUntil("\r\n\r\n");
        connection.Send(line + rest);
        connection.ReceiveAll();
      });
      HttpCall call = MakeCall(upstream.LocalAddress());
      call.timeout = seconds(3);
      const HttpCallResult result = SendAndWait(call);
      EXPECT_EQ(result.end, HttpCallEnd::kBroken);
      EXPECT_EQ(result.answer.status, 0);
      EXPECT_TRUE(result.answer.headers.empty());
      EXPECT_EQ(result.answer.body, "");
    }
  }
}

// Interim responses are skipped as before.
TEST_F(BeastHttpClientTest, SkipsInterimResponsesOfEachStatus) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 199 Odd\r\n\r\n");
    connection.Send(kOk);
    connection.ReceiveAll();
  });
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.status, 200);
}

// A server in trouble sends bytes that are no answer until its client closes
// the connection. The call fails at a bounded number of bytes, long before its
// timeout.
TEST_F(BeastHttpClientTest, EndsACallWhoseServerSendsBytesWithoutEnd) {
  constexpr std::size_t kMaxResponseBytes = std::size_t{256} << 10;
  /// Bytes that may be in flight when the client closes the connection.
  constexpr std::size_t kBytesInFlight = std::size_t{1} << 20;
  /// Far more than the client may receive.
  constexpr std::size_t kMaxSentBytes = std::size_t{64} << 20;
  BeastHttpClient client({.poller = &m_poller,
                          .scheduler = &m_scheduler,
                          .max_response_bytes = kMaxResponseBytes});
  std::uint64_t received_before = 0;
  std::vector<EndlessBytes> all = EndlessResponses();
  all.push_back({"responses to others", "",
                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
  for (const EndlessBytes& bytes : all) {
    SCOPED_TRACE(bytes.name);
    RawUpstream upstream([&](RawSocket& connection, int) {
      connection.ReceiveUntil("\r\n\r\n");
      SendEndlessly(&connection, bytes, kMaxSentBytes);
    });
    HttpCall call = MakeCall(upstream.LocalAddress());
    call.accepts = [](const HttpClientAnswer& answer) {
      return !FindHeader(answer.headers, "Id").empty();
    };
    std::optional<HttpCallResult> result;
    client.Send(std::move(call),
                [&](HttpCallResult got) { result = std::move(got); });
    IterateUntil([&] { return result.has_value(); });
    EXPECT_EQ(result->end, HttpCallEnd::kBroken) << result->detail;
    EXPECT_FALSE(result->ended_by_server);
    const std::uint64_t received =
        client.Counters().Get(BeastHttpClientCounter::kBytesReceived);
    EXPECT_LT(received - received_before, kMaxResponseBytes + kBytesInFlight);
    received_before = received;
  }
}

/// Returns the bytes that the process has allocated; 0 with a sanitizer.
std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// The length that one answer announced ended the process with std::bad_alloc.
TEST_F(BeastHttpClientTest, AllocatesWhatIsReceivedAndNotWhatIsAnnounced) {
  constexpr std::size_t kMaxAllocatedBytes = std::size_t{1} << 20;
  for (const char* length :
       {"4000000", "4194304", "4194305", "5000000", "4000000000", "20000000000",
        "9000000000000", "9223372036854775807", "18446744073709551615"}) {
    SCOPED_TRACE(length);
    // The upstream closes the connection once the client has read the head.
    std::atomic<bool> head_read = false;
    RawUpstream upstream([&](RawSocket& connection, int) {
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::string(length) + "\r\n\r\nab");
      head_read.wait(false);
    });
    const std::size_t allocated_before = AllocatedBytes();
    const std::uint64_t received_before =
        m_client.Counters().Get(BeastHttpClientCounter::kBytesReceived);
    std::optional<HttpCallResult> result;
    std::size_t most_allocated = allocated_before;
    m_client.Send(MakeCall(upstream.LocalAddress()),
                  [&](HttpCallResult got) { result = std::move(got); });
    IterateUntil([&] {
      most_allocated = std::max(most_allocated, AllocatedBytes());
      if (m_client.Counters().Get(BeastHttpClientCounter::kBytesReceived) >
          received_before) {
        head_read = true;
        head_read.notify_one();
      }
      return result.has_value();
    });
    EXPECT_TRUE(head_read);
    head_read = true;
    head_read.notify_one();
    EXPECT_NE(result->end, HttpCallEnd::kAnswered);
    EXPECT_LT(most_allocated, allocated_before + kMaxAllocatedBytes);
  }
}

// The limit did not hold if the body began in the same segment as the head.
TEST_F(BeastHttpClientTest, RefusesABodyBeyondTheLimitHoweverItArrives) {
  constexpr std::size_t kMaxResponseBytes = 1000;
  BeastHttpClient client({.poller = &m_poller,
                          .scheduler = &m_scheduler,
                          .max_response_bytes = kMaxResponseBytes});
  for (const std::size_t bytes : {kMaxResponseBytes, kMaxResponseBytes + 1}) {
    for (const bool sends_head_alone : {false, true}) {
      RawUpstream upstream([&](RawSocket& connection, int) {
        connection.ReceiveUntil("\r\n\r\n");
        const std::string head =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
            "\r\n\r\n";
        const std::string body(bytes, 'x');
        if (sends_head_alone) {
          connection.Send(head);
          connection.Send(body);
        } else {
          connection.Send(head + body);
        }
        connection.ReceiveAll();
      });
      std::optional<HttpCallResult> result;
      client.Send(MakeCall(upstream.LocalAddress()),
                  [&](HttpCallResult got) { result = std::move(got); });
      IterateUntil([&] { return result.has_value(); });
      EXPECT_EQ(result->end, bytes == kMaxResponseBytes ? HttpCallEnd::kAnswered
                                                        : HttpCallEnd::kBroken);
    }
  }
}

// One server sends much and the others little. Whose call reached the limit on
// all bytes was chance.
TEST_F(BeastHttpClientTest, TheCallThatHoldsMostFailsAtTheLimitOnAllBytes) {
  constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10;
  const std::string small_body(kMaxBufferedBytes / 4, 'x');
  BeastHttpClient client({.poller = &m_poller,
                          .scheduler = &m_scheduler,
                          .max_buffered_bytes = kMaxBufferedBytes});
  std::atomic<bool> greedy_ended = false;
  RawUpstream innocent([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(small_body.size() + 1) + "\r\n\r\n");
    // Small pieces, so that this call is likely to reach the limit.
    for (const char letter : small_body) connection.Send({&letter, 1});
    while (!greedy_ended) std::this_thread::yield();
    connection.Send("y");
    connection.ReceiveAll();
  });
  RawUpstream greedy([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\n\r\n" +
                    std::string(kMaxBufferedBytes * 7 / 8, 'x'));
    connection.ReceiveAll();
    greedy_ended = true;
  });
  std::optional<HttpCallResult> greedy_result;
  client.Send(MakeCall(greedy.LocalAddress()),
              [&](HttpCallResult got) { greedy_result = std::move(got); });
  const HttpCallResult innocent_result = [&] {
    std::optional<HttpCallResult> result;
    client.Send(MakeCall(innocent.LocalAddress()),
                [&](HttpCallResult got) { result = std::move(got); });
    IterateUntil([&] { return result && greedy_result; });
    return *result;
  }();
  EXPECT_EQ(greedy_result->end, HttpCallEnd::kBroken);
  EXPECT_EQ(innocent_result.end, HttpCallEnd::kAnswered);
  EXPECT_EQ(client.Counters().Get(BeastHttpClientCounter::kResponsesOverTotal),
            1U);
}

// Many servers that do so at once do not exhaust the memory.
TEST_F(BeastHttpClientTest, BoundsTheBytesOfAllIncompleteResponses) {
  constexpr int kCalls = 4;
  constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10;
  BeastHttpClient client({.poller = &m_poller,
                          .scheduler = &m_scheduler,
                          .max_buffered_bytes = kMaxBufferedBytes});
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\n\r\n");
    while (connection.Send(std::string(1000, 'x'))) {
    }
  });
  int broken = 0;
  for (int i = 0; i < kCalls; ++i) {
    client.Send(MakeCall(upstream.LocalAddress()),
                [&](const HttpCallResult& result) {
                  if (result.end == HttpCallEnd::kBroken) ++broken;
                });
  }
  IterateUntil([&] { return broken == kCalls; });
}

TEST_F(BeastHttpClientTest, ReportsNotSentIfNoConnectionCanBeOpened) {
  Address closed_address;
  {
    const RawUpstream upstream([](RawSocket&, int) {});
    closed_address = upstream.LocalAddress();
  }
  EXPECT_EQ(SendAndWait(MakeCall(closed_address)).end, HttpCallEnd::kNotSent);
  EXPECT_EQ(SendAndWait(MakeCall({"no address"})).end, HttpCallEnd::kNotSent);
}

TEST_F(BeastHttpClientTest, DropsAResponseToAnotherRequest) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nnew");
    connection.ReceiveAll();
  });
  HttpCall call = MakeCall(upstream.LocalAddress());
  call.accepts = [](const HttpClientAnswer& answer) {
    return FindHeader(answer.headers, "Id") == "a";
  };
  EXPECT_EQ(SendAndWait(std::move(call)).answer.body, "new");
}

TEST_F(BeastHttpClientTest, DoesNotReuseAConnectionWithUnsolicitedBytes) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(std::string(kOk) + kOk);
    connection.ReceiveAll();
  });
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(upstream.Connections(), 2);
}

TEST_F(BeastHttpClientTest,
       DoesNotReuseAConnectionWhoseKeepAliveTimeoutIsZero) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
        "Content-Length: 2\r\n\r\nhi");
    connection.ReceiveAll();
  });
  SendAndWait(MakeCall(upstream.LocalAddress()));
  SendAndWait(MakeCall(upstream.LocalAddress()));
  EXPECT_EQ(upstream.Connections(), 2);
}

TEST_F(BeastHttpClientTest, ClosesTheConnectionOfACancelledCall) {
  std::atomic<bool> closed = false;
  std::atomic<bool> request_received = false;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    request_received = true;
    g_main_context_wakeup(nullptr);
    connection.ReceiveAll();
    closed = true;
    g_main_context_wakeup(nullptr);
  });
  const HttpCallId id = m_client.Send(MakeCall(upstream.LocalAddress()),
                                      [](const HttpCallResult&) { FAIL(); });
  IterateUntil([&] { return request_received.load(); });
  m_client.Cancel(id);
  IterateUntil([&] { return closed.load(); });
}

// The kernel reset the connection to a server that read nothing of a long body
// for some seconds.
TEST_F(BeastHttpClientTest, WaitsForAServerThatReadsALongBodyLate) {
  constexpr std::size_t kLongBodyBytes = 16 << 20;
  RawUpstream upstream([&](RawSocket& connection, int) {
    const std::string head = connection.ReceiveUntil("\r\n\r\n");
    const std::size_t body_begin = head.find("\r\n\r\n") + 4;
    std::this_thread::sleep_for(std::chrono::seconds(5));
    connection.ReceiveUpTo(kLongBodyBytes - (head.size() - body_begin));
    connection.Send(kOk);
    connection.ReceiveAll();
  });
  HttpCall call = MakeCall(upstream.LocalAddress());
  call.method = "POST";
  call.body = std::make_shared<const std::string>(kLongBodyBytes, 'b');
  const HttpCallResult result = SendAndWait(std::move(call));
  EXPECT_EQ(result.answer.body, "hi") << result.detail;
}

TEST_F(BeastHttpClientTest, DoesNotReuseAConnectionWithAnUnsentRequestBody) {
  constexpr std::size_t kLongBodyBytes = 16 << 20;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(kOk);
    connection.ReceiveAll();
  });
  HttpCall call = MakeCall(upstream.LocalAddress());
  call.method = "POST";
  call.body = std::make_shared<const std::string>(kLongBodyBytes, 'b');
  EXPECT_EQ(SendAndWait(std::move(call)).answer.body, "hi");
  EXPECT_EQ(SendAndWait(MakeCall(upstream.LocalAddress())).answer.body, "hi");
  EXPECT_EQ(upstream.Connections(), 2);
}

}  // namespace
}  // namespace chicoryvale
