#include "platform/http_replica_transport.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "adapters/beast_http_client.h"
#include "adapters/glib_scheduler.h"
#include "fakes/main_context.h"
#include "fakes/raw_upstream.h"

namespace chicoryvale::platform {
namespace {

/// Returns the bytes of an answer with the given body. Without `id`, the answer
/// does not say which request it belongs to.
std::string AnswerBytes(const std::string& body, const std::string& id) {
  std::string bytes = "HTTP/1.1 200 OK\r\nChicoryvale-Server-Stamp: mac\r\n";
  if (!id.empty()) bytes += "Chicoryvale-Request-Id: " + id + "\r\n";
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string RefusalBytes(const std::string& id) {
  return "HTTP/1.1 503 Service Unavailable\r\nChicoryvale-Not-Executed: 1\r\n"
         "Chicoryvale-Request-Id: " +
         id + "\r\nContent-Length: 0\r\n\r\n";
}

/// Replica that refuses the first request, "a", on its first connection, and
/// sends a second copy of the refusal on this connection once
/// `requests_between` other requests have been answered and one more has
/// arrived. It serves several connections at a time.
class RefusingReplica {
 public:
  explicit RefusingReplica(int requests_between)
      : m_upstream([this, requests_between](RawSocket& connection, int number) {
          auto owned = std::make_shared<RawSocket>(std::move(connection));
          m_threads.emplace_back([owned, number, requests_between] {
            Serve(owned.get(), number, requests_between);
          });
        }) {}

  [[nodiscard]] const Address& LocalAddress() const {
    return m_upstream.LocalAddress();
  }
  [[nodiscard]] int Connections() const { return m_upstream.Connections(); }

 private:
  static void Serve(RawSocket* connection, int number, int requests_between) {
    const bool refuses = number == 0;
    for (int i = 0; true; ++i) {
      const std::string head = connection->ReceiveUntil("\r\n\r\n");
      if (head.empty()) return;
      if (refuses && i == 0) {
        connection->Send(RefusalBytes("a"));
        continue;
      }
      const bool sends_copy = refuses && i == requests_between + 1;
      if (sends_copy) connection->Send(RefusalBytes("a"));
      constexpr std::string_view kIdHeader = "Request-Id: ";
      const std::size_t id = head.find(kIdHeader) + kIdHeader.size();
      connection->Send(
          AnswerBytes("ran", head.substr(id, head.find("\r", id) - id)));
    }
  }

  std::vector<std::jthread> m_threads;
  RawUpstream m_upstream;
};

class HttpReplicaTransportTest : public testing::Test {
 protected:
  ReplicaAnswer SendAndWait(const Address& to, const std::string& id) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = id;
    request->method = "GET";
    request->target = "/x";
    request->headers = {{"Host", "h"}, {"Chicoryvale-Request-Id", id}};
    std::optional<ReplicaAnswer> answer;
    m_transport.Send({to, "r1", request, seconds(20)},
                     [&](ReplicaAnswer got) { answer = std::move(got); });
    IterateUntil([&] { return answer.has_value(); });
    return *answer;
  }

  GlibScheduler m_scheduler;
  FdPoller m_poller;
  BeastHttpClient m_client{{.poller = &m_poller, .scheduler = &m_scheduler}};
  HttpReplicaTransport m_transport{&m_client};
};

// A replica sends a second copy of an answer when its connection is in use for
// the next request.
TEST_F(HttpReplicaTransportTest,
       ALateSecondCopyIsNotTheAnswerToTheNextRequest) {
  for (const std::string& id_of_copy : {std::string("a"), std::string()}) {
    SCOPED_TRACE("id of the copy: " + id_of_copy);
    RawUpstream upstream([&](RawSocket& connection, int) {
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send(AnswerBytes("first", "a"));
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send(AnswerBytes("first", id_of_copy));
      connection.Send(AnswerBytes("second", "b"));
      connection.ReceiveAll();
    });
    EXPECT_EQ(SendAndWait(upstream.LocalAddress(), "a").body, "first");
    EXPECT_EQ(SendAndWait(upstream.LocalAddress(), "b").body, "second");
    EXPECT_EQ(upstream.Connections(), 1);
  }
}

// A replica refuses a request, and sends a second copy of the refusal when the
// repeat of the same request has arrived, which it runs. Taken for the answer
// to the repeat, the copy would make a request run twice that may run once.
TEST_F(HttpReplicaTransportTest,
       ALateSecondCopyOfARefusalIsNotTheAnswerToTheRepeatedRequest) {
  for (const int requests_between : {0, 1, 20, 200}) {
    SCOPED_TRACE(requests_between);
    RefusingReplica replica(requests_between);
    EXPECT_EQ(SendAndWait(replica.LocalAddress(), "a").end, SendEnd::kNotRun);
    for (int i = 0; i < requests_between; ++i) {
      EXPECT_EQ(
          SendAndWait(replica.LocalAddress(), "b" + std::to_string(i)).body,
          "ran");
    }
    EXPECT_EQ(replica.Connections(), 1);
    const ReplicaAnswer repeated = SendAndWait(replica.LocalAddress(), "a");
    EXPECT_EQ(repeated.end, SendEnd::kAnswered);
    EXPECT_EQ(repeated.body, "ran");
    m_client.CloseIdle(replica.LocalAddress());
  }
}

// Refusals must not make each repeat and each later request open a connection.
TEST_F(HttpReplicaTransportTest, OtherRequestsReuseAConnectionAfterRefusals) {
  RawUpstream upstream([](RawSocket& connection, int) {
    for (int i = 0; i < 10; ++i) {
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send(RefusalBytes("a" + std::to_string(i)));
    }
    connection.ReceiveAll();
  });
  for (int i = 0; i < 10; ++i) {
    SendAndWait(upstream.LocalAddress(), "a" + std::to_string(i));
  }
  EXPECT_EQ(upstream.Connections(), 1);
}

TEST_F(HttpReplicaTransportTest, AcceptsAnAnswerWithoutIdOnANewConnection) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(AnswerBytes("first", ""));
    connection.ReceiveAll();
  });
  EXPECT_EQ(SendAndWait(upstream.LocalAddress(), "a").body, "first");
}

// An answer that breaks off halfway is not a success, however its length is
// given.
TEST_F(HttpReplicaTransportTest, ABrokenOffAnswerIsNoSuccess) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nChicoryvale-Server-Stamp: mac\r\n"
      "Chicoryvale-Request-Id: a\r\n";
  for (const std::string& rest :
       {std::string("Content-Length: 10\r\n\r\nhalf"),
        std::string("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\n8\r\nhalf"),
        std::string("Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"),
        std::string("Content-Length: 4\r\n")}) {
    SCOPED_TRACE(rest);
    RawUpstream upstream([&](RawSocket& connection, int) {
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send(head + rest);
    });
    const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
    EXPECT_EQ(answer.end, SendEnd::kBroken);
    EXPECT_FALSE(answer.IsSuccess());
  }
}

// A replica that stops in the middle of the head of its answer and closes the
// connection has not answered, wherever the head is cut and whatever the rest
// would have said about the length of the body.
TEST_F(HttpReplicaTransportTest, AnAnswerCutWithinItsHeadIsNoAnswer) {
  const std::vector<std::string> lengths = {
      "Content-Length: 0\r\n", "Content-Length: 12\r\n",
      "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""};
  for (const std::string& interim :
       {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
    for (const std::string& length : lengths) {
      const std::string head = interim +
                               "HTTP/1.1 200 OK\r\n"
                               "Chicoryvale-Request-Id: a\r\n"
                               "Chicoryvale-Server-Stamp: mac\r\n" +
                               length + "\r\n";
      std::size_t cut = 0;
      RawUpstream upstream([&](RawSocket& connection, int) {
        connection.ReceiveUntil("\r\n\r\n");
        connection.Send(head.substr(0, cut));
      });
      for (; cut < head.size(); ++cut) {
        SCOPED_TRACE(head.substr(0, cut));
        const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
        EXPECT_EQ(answer.end, SendEnd::kBroken);
        EXPECT_FALSE(answer.IsSuccess());
      }
    }
  }
}

}  // namespace
}  // namespace chicoryvale::platform
