#include "adapters/soup_http_server.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/endless_bytes.h"
#include "fakes/main_context.h"
#include "fakes/raw_socket.h"

namespace chicoryvale {
namespace {

constexpr char kGet[] = "GET /path HTTP/1.1\r\nHost: test\r\n\r\n";

std::unique_ptr<SoupHttpServer> MakeServer(SoupHttpServerOptions options = {}) {
  options.bind = Address{"127.0.0.1:0"};
  auto server = SoupHttpServer::Make(options);
  EXPECT_TRUE(server.has_value());
  (*server)->SetHandler([](const HttpRequest&, const HttpResponder& respond) {
    HttpResponse response;
    response.body = "done";
    respond(response);
  });
  return std::move(*server);
}

TEST(SoupHttpServerTest, KeepsAConnectionOpenForFurtherRequests) {
  const auto server = MakeServer();
  RunBeside([&] {
    RawSocket caller(server->LocalAddress());
    for (int i = 0; i < 3; ++i) {
      ASSERT_TRUE(caller.Send(kGet));
      EXPECT_TRUE(caller.ReceiveUntil("done").starts_with("HTTP/1.1 200"));
    }
  });
  EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kConnections), 1);
  EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kRequests), 3);
}

TEST(SoupHttpServerTest,
     DescriptorCountStaysBoundedOver25000ClosedConnections) {
  constexpr int kConnections = 25'000;
  constexpr int kSourceAddresses = 10;
  const auto server = MakeServer();
  const std::size_t descriptors_before = OpenDescriptors();
  std::size_t peak = 0;
  RunBeside([&] {
    for (int i = 0; i < kConnections; ++i) {
      RawSocket caller(server->LocalAddress(),
                       static_cast<std::uint8_t>(1 + i % kSourceAddresses));
      ASSERT_TRUE(caller.Send(kGet));
      ASSERT_TRUE(caller.ReceiveUntil("done").ends_with("done"));
      constexpr int kSampleInterval = 500;
      constexpr std::size_t kMaxExtraDescriptors = 200;
      if (i % kSampleInterval == 0) peak = std::max(peak, OpenDescriptors());
      ASSERT_LT(peak, descriptors_before + kMaxExtraDescriptors)
          << "after " << i << " connections";
    }
  });
  if (HasFatalFailure()) return;
  IterateUntil([&] { return server->ConnectionCount() == 0; });
  EXPECT_EQ(OpenDescriptors(), descriptors_before);
  EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kConnections),
            kConnections);
}

// A caller that sends without end is cut off at a bounded number of bytes.
TEST(SoupHttpServerTest, EndsAConnectionWhoseCallerSendsWithoutEnd) {
  constexpr std::size_t kMaxSentBytes = std::size_t{32} << 20;
  constexpr int kSendTimeoutS = 10;
  // libsoup may stop reading; then the connection ends at the idle limit.
  SoupHttpServerOptions options;
  options.idle_timeout = seconds(1);
  const auto server = MakeServer(options);
  for (const EndlessBytes& bytes : EndlessRequests()) {
    SCOPED_TRACE(bytes.name);
    std::size_t sent = 0;
    RunBeside([&] {
      RawSocket caller(server->LocalAddress());
      caller.SetSendTimeout(kSendTimeoutS);
      sent = SendEndlessly(&caller, bytes, kMaxSentBytes);
      EXPECT_NE(errno, EAGAIN) << "the connection is neither read nor closed";
    });
    EXPECT_LT(sent, kMaxSentBytes);
  }
}

/// Dispatched by GLib in the same iteration as libsoup's source of a connection
/// that is accepted later, and before it.
class EarlySource {
 public:
  explicit EarlySource(std::function<void()> action)
      : m_action(std::move(action)), m_source(g_timeout_source_new(G_MAXUINT)) {
    g_source_set_callback(m_source, &Run, this, nullptr);
    g_source_set_priority(m_source, G_PRIORITY_DEFAULT);
    g_source_attach(m_source, nullptr);
  }
  ~EarlySource() {
    g_source_destroy(m_source);
    g_source_unref(m_source);
  }
  EarlySource(const EarlySource&) = delete;
  EarlySource& operator=(const EarlySource&) = delete;

  void RunInNextIteration() { g_source_set_ready_time(m_source, 0); }
  [[nodiscard]] bool HasRun() const { return m_has_run; }

 private:
  static gboolean Run(gpointer data) {
    auto* self = static_cast<EarlySource*>(data);
    self->m_has_run = true;
    self->m_action();
    return G_SOURCE_REMOVE;
  }

  std::function<void()> m_action;
  GSource* m_source;
  bool m_has_run = false;
};

// A caller closed its sending side between the poll that saw its request and
// the read of it, and got no answer.
TEST(SoupHttpServerTest, ACallerThatHalfClosesAsItsRequestIsReadIsAnswered) {
  const auto server = MakeServer();
  std::optional<RawSocket> caller;
  EarlySource half_close([&] { caller->EndSending(); });
  caller.emplace(server->LocalAddress());
  IterateUntil([&] { return server->ConnectionCount() == 1; });
  ASSERT_TRUE(caller->Send(kGet));
  half_close.RunInNextIteration();
  IterateUntil([&] { return half_close.HasRun(); });
  std::string answer;
  RunBeside([&] { answer = caller->ReceiveAll(); });
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kHeadsCutOff), 0U);
}

// A caller that ends in the middle of the head of its request, or before the
// whole body, has sent no request: its last headers are missing, and an empty
// body would be another request.
TEST(SoupHttpServerTest, ARequestThatIsCutOffIsNotHandled) {
  const auto server = MakeServer();
  std::vector<std::size_t> handled_at;
  std::size_t cut = 0;
  server->SetHandler([&](const HttpRequest&, const HttpResponder& respond) {
    handled_at.push_back(cut);
    respond({});
  });
  for (const std::string& request :
       {std::string(kGet),
        std::string("POST /path HTTP/1.1\r\nHost: test\r\n"
                    "Content-Length: 4\r\nDeadline: 7\r\n\r\nbody")}) {
    RunBeside([&] {
      for (cut = 0; cut < request.size(); ++cut) {
        RawSocket caller(server->LocalAddress());
        caller.Send(request.substr(0, cut));
        caller.EndSending();
        caller.ReceiveAll();
      }
    });
    EXPECT_EQ(handled_at, std::vector<std::size_t>{}) << request;
    handled_at.clear();
  }
}

TEST(SoupHttpServerTest,
     RespondsToACallerThatClosedItsSendingSideWhileWaiting) {
  const auto server = MakeServer();
  std::optional<HttpResponder> pending;
  server->SetHandler([&](const HttpRequest&, HttpResponder respond) {
    pending = std::move(respond);
  });
  const std::size_t descriptors_before = OpenDescriptors();
  RunBeside([&] {
    RawSocket caller(server->LocalAddress());
    ASSERT_TRUE(caller.Send(kGet));
    caller.EndSending();
    g_idle_add(
        [](gpointer data) -> gboolean {
          auto* responder = static_cast<std::optional<HttpResponder>*>(data);
          if (!responder->has_value()) return G_SOURCE_CONTINUE;
          HttpResponse response;
          response.body = "late";
          (**responder)(response);
          return G_SOURCE_REMOVE;
        },
        &pending);
    EXPECT_TRUE(caller.ReceiveAll().ends_with("late"));
  });
  IterateUntil([&] { return server->ConnectionCount() == 0; });
  EXPECT_EQ(OpenDescriptors(), descriptors_before);
}

TEST(SoupHttpServerTest,
     ResponderMayBeCalledAfterTheCallerAndTheServerHaveEnded) {
  auto server = MakeServer();
  std::vector<HttpResponder> pending;
  server->SetHandler([&](const HttpRequest&, HttpResponder respond) {
    pending.push_back(std::move(respond));
  });
  {
    RawSocket first(server->LocalAddress());
    RawSocket second(server->LocalAddress());
    ASSERT_TRUE(first.Send(kGet));
    ASSERT_TRUE(second.Send(kGet));
    IterateUntil([&] { return pending.size() == 2; });
    EXPECT_EQ(server->InFlight(), 2);
  }
  pending[0](HttpResponse{});
  EXPECT_EQ(server->InFlight(), 1);
  server.reset();
  pending[1](HttpResponse{});
}

TEST(SoupHttpServerTest, AbortedConnectionEndsWithoutAResponse) {
  const auto server = MakeServer();
  server->SetHandler([](const HttpRequest&, const HttpResponder& respond) {
    HttpResponse response;
    response.abort_connection = true;
    respond(response);
  });
  RunBeside([&] {
    RawSocket caller(server->LocalAddress());
    ASSERT_TRUE(caller.Send(kGet));
    EXPECT_EQ(caller.ReceiveAll(), "");
  });
  IterateUntil([&] { return server->ConnectionCount() == 0; });
  EXPECT_EQ(server->InFlight(), 0);
}

TEST(SoupHttpServerTest, HandlerThatDestroysItsResponderEndsTheConnection) {
  const auto server = MakeServer();
  server->SetHandler([](const HttpRequest&, const HttpResponder&) {});
  RunBeside([&] {
    RawSocket caller(server->LocalAddress());
    ASSERT_TRUE(caller.Send(kGet));
    EXPECT_EQ(caller.ReceiveAll(), "");
  });
  EXPECT_EQ(server->InFlight(), 0);
}

TEST(SoupHttpServerTest,
     StoppedServerFinishesOpenConnectionsAndAcceptsNoNewOnes) {
  const auto server = MakeServer();
  RunBeside([&] {
    RawSocket caller(server->LocalAddress());
    ASSERT_TRUE(caller.Send(kGet));
    EXPECT_TRUE(caller.ReceiveUntil("done").ends_with("done"));
  });
  std::optional<HttpResponder> pending;
  server->SetHandler([&](const HttpRequest&, HttpResponder respond) {
    pending = std::move(respond);
  });
  RawSocket caller(server->LocalAddress());
  ASSERT_TRUE(caller.Send(kGet));
  IterateUntil([&] { return pending.has_value(); });
  server->StopAccepting();
  EXPECT_FALSE(RawSocket(server->LocalAddress()).Connected());
  EXPECT_EQ(server->InFlight(), 1);
  HttpResponse response;
  response.body = "last";
  (*pending)(response);
  RunBeside([&] {
    const std::string answer = caller.ReceiveAll();
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with("last"));
  });
  EXPECT_EQ(server->InFlight(), 0);
}

TEST(SoupHttpServerTest, ConnectionsBeyondTheLimitAreClosed) {
  SoupHttpServerOptions options;
  options.max_connections = 2;
  const auto server = MakeServer(options);
  RunBeside([&] {
    std::vector<RawSocket> callers;
    for (int i = 0; i < 2; ++i) {
      callers.emplace_back(server->LocalAddress());
      ASSERT_TRUE(callers.back().Send(kGet));
      EXPECT_TRUE(callers.back().ReceiveUntil("done").ends_with("done"));
    }
    EXPECT_EQ(RawSocket(server->LocalAddress()).ReceiveAll(), "");
  });
  EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kConnectionsRefused),
            1);
}

TEST(SoupHttpServerTest, IdleConnectionsAreClosedInEachState) {
  const std::vector<std::string> sent = {"", "GET /pa",
                                         "POST /path HTTP/1.1\r\nHost: t\r\n"
                                         "Content-Length: 5\r\n\r\nab",
                                         kGet};
  SoupHttpServerOptions options;
  options.idle_timeout = milliseconds(50);
  const auto server = MakeServer(options);
  const std::size_t descriptors_before = OpenDescriptors();
  RunBeside([&] {
    std::ranges::for_each(sent, [&](const std::string& text) {
      RawSocket caller(server->LocalAddress());
      ASSERT_TRUE(caller.Send(text));
      caller.ReceiveAll();
    });
  });
  IterateUntil([&] { return server->ConnectionCount() == 0; });
  EXPECT_EQ(OpenDescriptors(), descriptors_before);
  EXPECT_EQ(server->Counters().Get(SoupHttpServerCounter::kIdleClosed),
            sent.size());
}

TEST(SoupHttpServerTest, Accepts500ConnectionsOpenedAtOnce) {
  constexpr std::size_t kCallers = 500;
  const auto server = MakeServer();
  // The loop does not run here, so that all connections wait in the listen
  // backlog.
  std::vector<RawSocket> callers;
  while (callers.size() < kCallers) {
    callers.emplace_back(server->LocalAddress());
  }
  RunBeside([&] {
    std::ranges::for_each(callers, [](RawSocket& caller) {
      ASSERT_TRUE(caller.Connected());
      ASSERT_TRUE(caller.Send(kGet));
    });
    std::ranges::for_each(callers, [](RawSocket& caller) {
      EXPECT_TRUE(caller.ReceiveUntil("done").ends_with("done"));
    });
  });
}

}  // namespace
}  // namespace chicoryvale
