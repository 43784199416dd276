#include "adapters/soup_upstream_transport.h"

#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/glib_scheduler.h"
#include "fakes/endless_bytes.h"
#include "fakes/main_context.h"
#include "fakes/raw_upstream.h"

namespace chicoryvale {
namespace {

using Counter = UpstreamTransportCounter;

constexpr char kEndOfRequest[] = "\r\n\r\nrequest";

std::string MakeResponse(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + headers + "\r\n" + body;
}

class SoupUpstreamTransportTest : public testing::Test {
 protected:
  SubRequest Request(const RawUpstream& upstream) {
    SubRequest request;
    request.id = ++m_last_id;
    request.replica = upstream.LocalAddress();
    request.service = "test.Service";
    request.method = "Compare";
    request.shard = 7;
    request.snapshot = {2, 9};
    request.body = "request";
    request.timeout = seconds(60);
    return request;
  }

  SubOutcome Send(const SubRequest& request) {
    std::optional<SubOutcome> outcome;
    m_transport.Send(request, [&](SubOutcome result) {
      EXPECT_FALSE(outcome.has_value());
      outcome = std::move(result);
    });
    EXPECT_FALSE(outcome.has_value()) << "called from within Send";
    IterateUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  [[nodiscard]] std::uint64_t Count(Counter counter) const {
    return m_transport.Counters().Get(counter);
  }

  GlibScheduler m_scheduler;
  SoupUpstreamTransport m_transport{
      SoupUpstreamTransportOptions{.scheduler = &m_scheduler,
                                   .max_connections_per_replica = 4,
                                   .max_response_bytes = 1000}};
  SubRequestId m_last_id = 0;
};

TEST_F(SoupUpstreamTransportTest,
       SendsThePublishedHeadersAndParsesTheResponse) {
  std::string received;
  RawUpstream upstream([&](RawSocket& connection, int) {
    received = connection.ReceiveUntil(kEndOfRequest);
    connection.Send(
        MakeResponse("X-Chicoryvale-Sub-Request-Id: 1\r\n"
                     "X-Chicoryvale-Shard: 7\r\n"
                     "X-Chicoryvale-Map-Epoch: 2\r\n"
                     "X-Chicoryvale-Index-Version: 9\r\n"
                     "X-Chicoryvale-Draining: 1\r\n"
                     "X-Chicoryvale-Load: 3\r\n",
                     "body"));
  });
  const SubOutcome outcome = Send(Request(upstream));
  EXPECT_EQ(outcome.kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(outcome.echoed_id, 1);
  EXPECT_EQ(outcome.echoed_shard, 7);
  EXPECT_EQ(outcome.echoed_snapshot, (SnapshotId{2, 9}));
  EXPECT_TRUE(outcome.report.draining);
  EXPECT_EQ(outcome.report.load, 3);
  EXPECT_FALSE(outcome.report.newest_version.has_value());
  EXPECT_EQ(outcome.body, "body");
  EXPECT_TRUE(received.starts_with("POST /test.Service/Compare HTTP/1.1\r\n"));
  for (const char* header :
       {"X-Chicoryvale-Sub-Request-Id: 1\r\n", "X-Chicoryvale-Shard: 7\r\n",
        "X-Chicoryvale-Map-Epoch: 2\r\n", "X-Chicoryvale-Index-Version: 9\r\n",
        "X-Chicoryvale-Timeout-Ms: 60000\r\n",
        "Content-Type: application/x-protobuf\r\n"}) {
    EXPECT_NE(received.find(header), std::string::npos) << header;
  }
}

/// Upstream that responds to the first request of each connection and closes
/// the connection when the second request has arrived.
class ClosingUpstream {
 public:
  [[nodiscard]] int Requests() const { return m_requests; }
  RawUpstream m_upstream{[this](RawSocket& connection, int) {
    if (connection.ReceiveUntil(kEndOfRequest).empty()) return;
    ++m_requests;
    connection.Send(MakeResponse("", "body"));
    if (connection.ReceiveUntil(kEndOfRequest).empty()) return;
    ++m_requests;
  }};

 private:
  std::atomic<int> m_requests = 0;
};

TEST_F(SoupUpstreamTransportTest, IdempotentRequestIsNotResentByLibsoup) {
  ClosingUpstream upstream;
  EXPECT_EQ(Send(Request(upstream.m_upstream)).kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(Send(Request(upstream.m_upstream)).kind,
            SubOutcomeKind::kConnectionLost);
  // The next request is the third that arrives, so none was sent twice.
  EXPECT_EQ(Send(Request(upstream.m_upstream)).kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(upstream.Requests(), 3);
  EXPECT_EQ(upstream.m_upstream.Connections(), 2);
}

TEST_F(SoupUpstreamTransportTest, NonIdempotentRequestIsNeverSentTwice) {
  std::atomic<int> requests = 0;
  std::vector<RawSocket> open_connections;
  RawUpstream upstream([&](RawSocket& connection, int number) {
    if (connection.ReceiveUntil(kEndOfRequest).empty()) return;
    ++requests;
    // The connections after the first are closed without a response.
    if (number > 0) return;
    connection.Send(MakeResponse("", "body"));
    open_connections.push_back(std::move(connection));
  });
  EXPECT_EQ(Send(Request(upstream)).kind, SubOutcomeKind::kAnswered);
  constexpr int kRequests = 5;
  for (int i = 0; i < kRequests; ++i) {
    SubRequest request = Request(upstream);
    request.idempotent = false;
    request.request_id = "caller-1";
    EXPECT_EQ(Send(request).kind, SubOutcomeKind::kConnectionLost);
  }
  EXPECT_EQ(requests, 1 + kRequests);
}

TEST_F(SoupUpstreamTransportTest, ReusesAConnectionForFurtherRequests) {
  RawUpstream upstream([&](RawSocket& connection, int number) {
    while (!connection.ReceiveUntil(kEndOfRequest).empty()) {
      connection.Send(MakeResponse("", "body"));
      if (number == 0) continue;
      return;
    }
  });
  for (int i = 0; i < 3; ++i) Send(Request(upstream));
  EXPECT_EQ(Count(Counter::kConnectionsOpened), 1);
}

TEST_F(SoupUpstreamTransportTest, RenewedConnectionsAreClosedAndNotReused) {
  std::atomic<int> ended{0};
  RawUpstream upstream([&ended](RawSocket& connection, int) {
    while (!connection.ReceiveUntil(kEndOfRequest).empty()) {
      connection.Send(MakeResponse("", "body"));
    }
    ++ended;
  });
  Send(Request(upstream));
  m_transport.RenewConnections(upstream.LocalAddress());
  // Polls without blocking, because the upstream runs on a separate thread that
  // does not wake the main context.
  while (ended != 1) g_main_context_iteration(nullptr, FALSE);
  EXPECT_EQ(Send(Request(upstream)).kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(Count(Counter::kConnectionsOpened), 2U);
  m_transport.RenewConnections({"127.0.0.1:1"});
}

TEST_F(SoupUpstreamTransportTest, FreshConnectionDoesNotReuseTheIdleOne) {
  std::vector<RawSocket> open_connections;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil(kEndOfRequest);
    connection.Send(MakeResponse("", "body"));
    open_connections.push_back(std::move(connection));
  });
  Send(Request(upstream));
  SubRequest request = Request(upstream);
  request.fresh_connection = true;
  EXPECT_EQ(Send(request).kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(Count(Counter::kConnectionsOpened), 2);
}

TEST_F(SoupUpstreamTransportTest, FreshConnectionIsOpenedAtTheConnectionLimit) {
  std::vector<RawSocket> open_connections;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil(kEndOfRequest);
    connection.Send(MakeResponse("", "body"));
    open_connections.push_back(std::move(connection));
  });
  SoupUpstreamTransport transport{SoupUpstreamTransportOptions{
      .scheduler = &m_scheduler, .max_connections_per_replica = 1}};
  int answered = 0;
  for (const bool fresh : {false, true, true}) {
    SubRequest request = Request(upstream);
    request.fresh_connection = fresh;
    bool ended = false;
    transport.Send(request, [&](const SubOutcome& outcome) {
      ended = true;
      if (outcome.kind == SubOutcomeKind::kAnswered) ++answered;
    });
    IterateUntil([&] { return ended; });
  }
  EXPECT_EQ(answered, 3);
  EXPECT_EQ(upstream.Connections(), 3);
}

TEST_F(SoupUpstreamTransportTest, ConnectionsClosedByUpstreamsAreFreed) {
  RawUpstream upstream([](RawSocket& connection, int) {
    connection.ReceiveUntil(kEndOfRequest);
    connection.Send(MakeResponse("", "body"));
  });
  constexpr int kRequests = 200;
  Send(Request(upstream));
  const std::size_t descriptors_before = OpenDescriptors();
  for (int i = 0; i < kRequests; ++i) Send(Request(upstream));
  EXPECT_LE(OpenDescriptors(), descriptors_before + 4);
}

TEST_F(SoupUpstreamTransportTest, CancelClosesTheConnection) {
  std::atomic<bool> received = false;
  std::atomic<bool> closed = false;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil(kEndOfRequest);
    received = true;
    g_main_context_wakeup(nullptr);
    connection.ReceiveAll();
    closed = true;
    g_main_context_wakeup(nullptr);
  });
  const SubRequest request = Request(upstream);
  m_transport.Send(request, [](const SubOutcome&) { FAIL(); });
  IterateUntil([&] { return received.load(); });
  m_transport.Cancel(request.id);
  IterateUntil([&] { return closed.load(); });
}

TEST_F(SoupUpstreamTransportTest, TimeoutClosesTheConnection) {
  std::atomic<bool> closed = false;
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveAll();
    closed = true;
    g_main_context_wakeup(nullptr);
  });
  SubRequest request = Request(upstream);
  request.timeout = milliseconds(50);
  EXPECT_EQ(Send(request).kind, SubOutcomeKind::kTimedOut);
  IterateUntil([&] { return closed.load(); });
}

TEST_F(SoupUpstreamTransportTest, RefusedConnectionIsNotConnected) {
  SubRequest request;
  {
    const RawUpstream closed_upstream([](RawSocket&, int) {});
    request = Request(closed_upstream);
  }
  EXPECT_EQ(Send(request).kind, SubOutcomeKind::kNotConnected);
}

TEST_F(SoupUpstreamTransportTest, UnusableAddressIsNotConnected) {
  SubRequest request;
  request.id = ++m_last_id;
  request.replica = Address{"not an address"};
  request.timeout = seconds(60);
  EXPECT_EQ(Send(request).kind, SubOutcomeKind::kNotConnected);
}

// Such a response has no status, so the attempt ends at once and not at its
// timeout.
TEST_F(SoupUpstreamTransportTest, EndsACallAtAStatusThatIsNoHttpStatus) {
  for (const std::string& line : StartLinesWithoutStatus()) {
    for (const char* rest : {"Content-Length: 2\r\n\r\nhi", "\r\n"}) {
      SCOPED_TRACE(line + rest);
      RawUpstream upstream([&](RawSocket& connection, int) {
        connection.ReceiveUntil(kEndOfRequest);
        connection.Send(line + rest);
        connection.ReceiveAll();
      });
      SubRequest request = Request(upstream);
      request.timeout = seconds(3);
      EXPECT_EQ(Send(request).kind, SubOutcomeKind::kMalformed);
    }
  }
}

// An upstream in trouble sends bytes that are no response until it is cut off.
TEST_F(SoupUpstreamTransportTest, EndsACallWhoseUpstreamSendsBytesWithoutEnd) {
  /// Bytes that may be in flight when the connection is closed.
  constexpr std::size_t kMaxSentBytes = std::size_t{32} << 20;
  std::vector<EndlessBytes> all = EndlessResponses();
  all.push_back({"body beyond the limit",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
                 std::string(1000, 'x')});
  for (const EndlessBytes& bytes : all) {
    SCOPED_TRACE(bytes.name);
    std::atomic<std::size_t> sent = 0;
    std::atomic<bool> closed = false;
    RawUpstream upstream([&](RawSocket& connection, int) {
      if (connection.ReceiveUntil(kEndOfRequest).empty()) return;
      sent = SendEndlessly(&connection, bytes, kMaxSentBytes);
      closed = true;
      g_main_context_wakeup(nullptr);
    });
    EXPECT_NE(Send(Request(upstream)).kind, SubOutcomeKind::kAnswered);
    IterateUntil([&] { return closed.load(); });
    EXPECT_LT(sent, kMaxSentBytes);
  }
}

// An upstream that stops in the middle of the head of its response and closes
// the connection has not answered, wherever the head is cut.
TEST_F(SoupUpstreamTransportTest, ResponseCutWithinItsHeadIsNoAnswer) {
  const std::vector<std::string> heads = {
      MakeResponse("X-Chicoryvale-Sub-Request-Id: 1\r\n"
                   "X-Chicoryvale-Load: 3\r\n",
                   ""),
      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Chicoryvale-Load: 3\r\n\r\n",
      "HTTP/1.1 503 Shed\r\nContent-Length: 0\r\n"
      "X-Chicoryvale-Not-Started: 1\r\n\r\n",
      "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"};
  for (const std::string& head : heads) {
    std::size_t cut = 0;
    RawUpstream upstream([&](RawSocket& connection, int) {
      if (connection.ReceiveUntil(kEndOfRequest).empty()) return;
      connection.Send(head.substr(0, cut));
    });
    for (; cut < head.size(); ++cut) {
      const SubOutcomeKind kind = Send(Request(upstream)).kind;
      EXPECT_TRUE(kind == SubOutcomeKind::kMalformed ||
                  kind == SubOutcomeKind::kConnectionLost)
          << static_cast<int>(kind) << " after " << head.substr(0, cut);
    }
  }
}

// A response with a body is never taken for one with an empty or shorter body,
// wherever it is cut.
TEST_F(SoupUpstreamTransportTest, ACutResponseNeverLosesPartOfItsBody) {
  for (const std::string& headers :
       {std::string("X-Chicoryvale-Load: 3\r\n"), std::string()}) {
    const std::string body = "0123456789";
    const std::string whole = MakeResponse(headers, body);
    std::size_t cut = 0;
    RawUpstream upstream([&](RawSocket& connection, int) {
      if (connection.ReceiveUntil(kEndOfRequest).empty()) return;
      connection.Send(whole.substr(0, cut));
    });
    for (; cut < whole.size(); ++cut) {
      EXPECT_NE(Send(Request(upstream)).kind, SubOutcomeKind::kAnswered)
          << whole.substr(0, cut);
    }
  }
}

/// The bytes of a response, after which the upstream closes the connection.
struct ResponseCase {
  std::string name;
  std::string sent;
  SubOutcomeKind kind = SubOutcomeKind::kAnswered;
};

class UpstreamResponseTest : public SoupUpstreamTransportTest,
                             public testing::WithParamInterface<ResponseCase> {
};

TEST_P(UpstreamResponseTest, HasTheExpectedOutcome) {
  std::atomic<int> requests = 0;
  RawUpstream upstream([&](RawSocket& connection, int) {
    if (connection.ReceiveUntil(kEndOfRequest).empty()) return;
    ++requests;
    connection.Send(GetParam().sent);
  });
  EXPECT_EQ(Send(Request(upstream)).kind, GetParam().kind);
  EXPECT_EQ(requests, 1);
}

std::vector<ResponseCase> ResponseCases() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string empty = "Content-Length: 0\r\n";
  return {
      {"Whole", MakeResponse("", "body"), SubOutcomeKind::kAnswered},
      {"Nothing", "", SubOutcomeKind::kConnectionLost},
      {"EndsInHeaders", head + "Content-Le", SubOutcomeKind::kMalformed},
      {"EndsInBody", head + "Content-Length: 10\r\n\r\nabc",
       SubOutcomeKind::kConnectionLost},
      {"NotHttp", "hello\r\n\r\n", SubOutcomeKind::kMalformed},
      {"TooLong",
       head + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'x'),
       SubOutcomeKind::kMalformed},
      {"NoLength", head + "\r\nbody", SubOutcomeKind::kMalformed},
      {"Chunked", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       SubOutcomeKind::kMalformed},
      {"BadNumber", MakeResponse("X-Chicoryvale-Shard: seven\r\n", ""),
       SubOutcomeKind::kMalformed},
      {"NumberOutOfRange",
       MakeResponse("X-Chicoryvale-Load: 4294967296\r\n", ""),
       SubOutcomeKind::kMalformed},
      {"Shed",
       "HTTP/1.1 503 Shed\r\nX-Chicoryvale-Not-Started: 1\r\n" + empty + "\r\n",
       SubOutcomeKind::kNotStarted},
      {"ShedWithoutNotStartedHeader", "HTTP/1.1 503 Shed\r\n" + empty + "\r\n",
       SubOutcomeKind::kFailed},
      {"OtherSnapshot", "HTTP/1.1 409 Conflict\r\n" + empty + "\r\n",
       SubOutcomeKind::kSnapshotUnavailable},
      {"Redirect",
       "HTTP/1.1 307 Elsewhere\r\nLocation: /other\r\n" + empty + "\r\n",
       SubOutcomeKind::kFailed},
      {"AsksForAuthentication",
       "HTTP/1.1 401 Who\r\nWWW-Authenticate: Basic realm=\"r\"\r\n" + empty +
           "\r\n",
       SubOutcomeKind::kFailed},
  };
}

INSTANTIATE_TEST_SUITE_P(Responses, UpstreamResponseTest,
                         testing::ValuesIn(ResponseCases()),
                         [](const testing::TestParamInfo<ResponseCase>& param) {
                           return param.param.name;
                         });

}  // namespace
}  // namespace chicoryvale
