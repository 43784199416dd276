#include "platform/http_replica_transport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/beast_http_client.h"
#include "adapters/glib_scheduler.h"
#include "adapters/http_message_text.h"
#include "fakes/main_context.h"
#include "fakes/raw_upstream.h"
#include "fakes/recording_log.h"

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
          AnswerBytes("ran", head.substr(id, head.find('\r', id) - id)));
    }
  }

  std::vector<std::jthread> m_threads;
  RawUpstream m_upstream;
};

class HttpReplicaTransportTest : public testing::Test {
 protected:
  ReplicaAnswer SendAndWait(const Address& to, const std::string& id,
                            Duration time_left = seconds(20)) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = id;
    request->method = "GET";
    request->target = "/x";
    request->headers = {{"Host", "h"}, {"Chicoryvale-Request-Id", id}};
    std::optional<ReplicaAnswer> answer;
    m_transport.Send({to, "r1", request, time_left},
                     [&](ReplicaAnswer got) { answer = std::move(got); });
    IterateUntil([&] { return answer.has_value(); });
    return *answer;
  }

  GlibScheduler m_scheduler;
  FdPoller m_poller;
  BeastHttpClient m_client{{.poller = &m_poller, .scheduler = &m_scheduler}};
  RecordingLog m_log;
  HttpReplicaTransport m_transport{&m_client, &m_log};
};

// review/10: a success whose signature was spoiled was passed on.
TEST_F(HttpReplicaTransportTest, ASuccessWithoutItsSignatureIsNotDeliverable) {
  const std::string id = "Chicoryvale-Request-Id: a\r\n";
  const std::string signature = "Chicoryvale-Server-Stamp: mac\r\n";
  struct Case {
    std::string status;
    std::string headers;
    bool is_deliverable;
  };
  const std::vector<Case> cases = {
      {"200 OK", id + signature, true},
      {"200 OK", id, false},
      {"200 OK", id + "Chicoryvale-Seover-Stamp: mac\r\n", false},
      {"206 Partial Content", id, false},
      {"200 OK", id + signature + "Content-Encoding: gzip\r\n", false},
      {"500 Internal Server Error", id, true},
      {"500 Internal Server Error", id + signature, true}};
  for (const Case& test : cases) {
    const RawUpstream upstream([&](RawSocket& connection, int) {
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send("HTTP/1.1 " + test.status + "\r\n" + test.headers +
                      "Content-Length: 4\r\n\r\nbody");
      connection.ReceiveAll();
    });
    const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
    EXPECT_EQ(answer.end, SendEnd::kAnswered);
    EXPECT_EQ(answer.is_deliverable, test.is_deliverable) << test.status << "\n"
                                                          << test.headers;
  }
}

// A replica ran the request, failed and answered 503 without saying that it had
// not run; passed on, that status would promise it.
TEST_F(HttpReplicaTransportTest, AStatusThatPromisesTooMuchIsNotDeliverable) {
  struct Case {
    std::string status;
    SendEnd end;
    bool is_deliverable;
  };
  const std::string not_run = "\r\nChicoryvale-Not-Executed: 1";
  const std::vector<Case> cases = {
      {"503 Service Unavailable", SendEnd::kAnswered, false},
      {"429 Too Many Requests", SendEnd::kAnswered, false},
      {"408 Request Timeout", SendEnd::kAnswered, false},
      {"503 Service Unavailable" + not_run, SendEnd::kNotRun, true},
      {"500 Internal Server Error", SendEnd::kAnswered, true},
      {"504 Gateway Timeout", SendEnd::kAnswered, true},
      {"404 Not Found", SendEnd::kAnswered, true}};
  for (const Case& test : cases) {
    const RawUpstream upstream([&](RawSocket& connection, int) {
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send("HTTP/1.1 " + test.status +
                      "\r\nChicoryvale-Request-Id: a\r\n"
                      "Content-Length: 0\r\n\r\n");
      connection.ReceiveAll();
    });
    const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
    EXPECT_EQ(answer.end, test.end) << test.status;
    EXPECT_EQ(answer.is_deliverable, test.is_deliverable) << test.status;
  }
}

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
      std::string head = interim;
      head += "HTTP/1.1 200 OK\r\nChicoryvale-Request-Id: a\r\n";
      head += "Chicoryvale-Server-Stamp: mac\r\n";
      head += length;
      head += "\r\n";
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

// What a replica says of itself counts in every answer of its own, also in one
// that is refused, failed, unsigned, cut off or late.
TEST_F(HttpReplicaTransportTest, ReadsWhatAReplicaSaysInAnyAnswer) {
  struct Case {
    const char* name;
    std::string status_line;
    std::string rest;
    SendEnd end;
    bool draining;
    std::optional<Duration> back_off;
  };
  const std::string empty = "Content-Length: 0\r\n\r\n";
  const std::string leaving = "Server-Leaving: 1\r\n";
  const std::vector<Case> cases = {
      {"nothing said", "200 OK", empty, SendEnd::kAnswered, false, {}},
      {"success", "200 OK", leaving + empty, SendEnd::kAnswered, true, {}},
      {"failure", "500 Oops", leaving + empty, SendEnd::kAnswered, true, {}},
      {"late", "504 Late", leaving + empty, SendEnd::kAnswered, true, {}},
      {"not leaving",
       "200 OK",
       "Server-Leaving: 0\r\n" + empty,
       SendEnd::kAnswered,
       false,
       {}},
      {"refusal", "503 Full",
       "Chicoryvale-Not-Executed: 1\r\nRetry-After: 1.5\r\n" + leaving + empty,
       SendEnd::kNotRun, true, milliseconds(1500)},
      {"refusal without the statement that it has not run", "503 Full",
       "Retry-After: 2\r\n" + empty, SendEnd::kAnswered, false, seconds(2)},
      {"too many requests", "429 Slow down",
       "Chicoryvale-Not-Executed: 1\r\nRetry-After: 2\r\n" + empty,
       SendEnd::kNotRun, false, seconds(2)},
      {"no time",
       "503 Full",
       "Retry-After: 0\r\n" + empty,
       SendEnd::kAnswered,
       false,
       {}},
      {"a time in another answer",
       "500 Oops",
       "Retry-After: 2\r\n" + empty,
       SendEnd::kAnswered,
       false,
       {}},
      {"another replica",
       "421 Misdirected Request",
       leaving + "Retry-After: 2\r\n" + empty,
       SendEnd::kWrongReplica,
       false,
       {}},
      {"cut in the body",
       "200 OK",
       leaving + "Content-Length: 9\r\n\r\nhalf",
       SendEnd::kBroken,
       true,
       {}},
      {"cut in the head",
       "200 OK",
       leaving + "Content-Le",
       SendEnd::kBroken,
       false,
       {}}};
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    RawUpstream upstream([&](RawSocket& connection, int) {
      connection.ReceiveUntil("\r\n\r\n");
      connection.Send("HTTP/1.1 " + c.status_line +
                      "\r\nChicoryvale-Request-Id: a\r\n" + c.rest);
    });
    const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
    EXPECT_EQ(answer.end, c.end);
    EXPECT_EQ(answer.notice.draining, c.draining);
    EXPECT_EQ(answer.notice.back_off, c.back_off);
    EXPECT_EQ(FindHeader(answer.headers, "Server-Leaving"), "");
  }
  EXPECT_EQ(m_log.Count("replica_back_off_unreadable"), 0U);
}

TEST_F(HttpReplicaTransportTest, ReadsWhatAReplicaSaidBeforeItFellSilent) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 200 OK\r\nChicoryvale-Request-Id: a\r\n"
        "Server-Leaving: 1\r\nContent-Length: 9\r\n\r\nhalf");
    connection.ReceiveAll();
  });
  const ReplicaAnswer answer =
      SendAndWait(upstream.LocalAddress(), "a", milliseconds(200));
  EXPECT_EQ(answer.end, SendEnd::kTimedOut);
  EXPECT_TRUE(answer.notice.draining);
}

// The head of an answer to another request says nothing, as its copy may be
// old.
TEST_F(HttpReplicaTransportTest, ACutAnswerToAnotherRequestSaysNothing) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 200 OK\r\nChicoryvale-Request-Id: b\r\n"
        "Server-Leaving: 1\r\nContent-Length: 9\r\n\r\nhalf");
  });
  const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
  EXPECT_EQ(answer.end, SendEnd::kBroken);
  EXPECT_FALSE(answer.notice.draining);
}

TEST_F(HttpReplicaTransportTest, LogsAndIgnoresAnUnreadableRetryAfter) {
  RawUpstream upstream([&](RawSocket& connection, int) {
    connection.ReceiveUntil("\r\n\r\n");
    connection.Send(
        "HTTP/1.1 503 Full\r\nChicoryvale-Request-Id: a\r\nRetry-After: " +
        std::string(1000, 'x') + "\r\nContent-Length: 0\r\n\r\n");
  });
  const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(answer.notice.back_off);
  ASSERT_EQ(m_log.Count("replica_back_off_unreadable"), 1U);
  EXPECT_EQ(m_log.Lines().back().fields.at("id"), "a");
  EXPECT_LE(m_log.Lines().back().fields.at("text").size(), 100U);
}

TEST_F(HttpReplicaTransportTest, ReadsTheLimitThatAReplicaStates) {
  const std::vector<std::pair<std::string, std::optional<double>>> cases = {
      {"Server-Limit: 24.3\r\n", 24.3},
      {"server-limit: 0\r\n", 0.0},
      {"", ReplicaNotice::kNoRateLimit},
      {"Server-Limit: many\r\n", std::nullopt}};
  for (const auto& limit_case : cases) {
    const std::string& header = limit_case.first;
    const std::optional<double>& expected = limit_case.second;
    for (const char* status : {"200 OK", "503 Full", "500 Failed"}) {
      RawUpstream upstream([&](RawSocket& connection, int) {
        connection.ReceiveUntil("\r\n\r\n");
        connection.Send(std::string("HTTP/1.1 ") + status +
                        "\r\nChicoryvale-Request-Id: a\r\n" + header +
                        "Content-Length: 0\r\n\r\n");
      });
      const ReplicaAnswer answer = SendAndWait(upstream.LocalAddress(), "a");
      EXPECT_EQ(answer.notice.max_requests_per_s, expected) << header << status;
      EXPECT_TRUE(
          std::ranges::none_of(answer.headers, [](const HttpHeader& forwarded) {
            return HeaderNamesEqual(forwarded.name, "Server-Limit");
          }));
    }
  }
  EXPECT_EQ(m_log.Count("replica_limit_unreadable"), 3U);
}

TEST(RateLimitTest, EachTextHasOneMeaning) {
  const std::vector<std::pair<std::string, std::optional<double>>> cases = {
      {"0", 0.0},
      {"5", 5.0},
      {"12.5", 12.5},
      {".5", 0.5},
      {"-1", std::nullopt},
      {"1e3", std::nullopt},
      {"1,5", std::nullopt},
      {"nan", std::nullopt},
      {"", std::nullopt},
      {std::string(400, '9'), ReplicaNotice::kNoRateLimit}};
  for (const auto& [text, expected] : cases) {
    EXPECT_EQ(DecodeRateLimit(text), expected) << text;
  }
}

TEST(RetryAfterTest, EachTextHasOneMeaning) {
  const std::vector<std::pair<std::string, std::optional<Duration>>> cases = {
      {"0", Duration::zero()},
      {"2", seconds(2)},
      {"1.5", milliseconds(1500)},
      {".25", milliseconds(250)},
      {"0.0004", microseconds(400)},
      {"3600", std::chrono::hours(1)},
      {"3601", std::chrono::hours(1)},
      {"31536000", std::chrono::hours(1)},
      {std::string(400, '9'), std::chrono::hours(1)},
      {"0." + std::string(400, '0') + "1", Duration::zero()},
      {"", std::nullopt},
      {"-1", std::nullopt},
      {"+1", std::nullopt},
      {"1 s", std::nullopt},
      {"1,5", std::nullopt},
      {"1e3", std::nullopt},
      {"0x10", std::nullopt},
      {"nan", std::nullopt},
      {"inf", std::nullopt},
      {"soon", std::nullopt},
      {"Wed, 21 Oct 2026 07:28:00 GMT", std::nullopt}};
  for (const auto& [text, expected] : cases) {
    EXPECT_EQ(DecodeRetryAfter(text), expected) << text;
  }
}

}  // namespace
}  // namespace chicoryvale::platform
