// Processor time of what an entry does for each part of a scattered request: a
// send to a replica, a question to a relay, a line of the log. Both ends of an
// exchange run on one loop, so a figure covers client and server. The last
// column is the ratio to a send.

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <functional>
#include <string>

#include "adapters/beast_http_client.h"
#include "adapters/beast_http_server.h"
#include "adapters/fd_poller.h"
#include "adapters/glib_scheduler.h"
#include "adapters/log.h"
#include "adapters/tcp_peer_transport.h"
#include "processor_time.h"

namespace chicoryvale {
namespace {

constexpr int kRounds = 20'000;
/// Open at once: about the parts of one request.
constexpr int kConcurrent = 10;
/// Bytes of a part's answer, and of a question to a relay.
constexpr std::size_t kPartBytes = 200;
constexpr std::size_t kQuestionBytes = 600;

/// Runs `start_one` kRounds times, kConcurrent at once; it calls its argument
/// at the end of each. Returns microseconds a round.
double Measure(
    const std::function<void(const std::function<void()>& done)>& start_one) {
  int started = 0;
  int ended = 0;
  std::function<void()> next = [&] {
    if (started == kRounds) return;
    ++started;
    start_one([&] {
      ++ended;
      next();
    });
  };
  const double before = ProcessorMicroseconds(RUSAGE_SELF);
  for (int i = 0; i < kConcurrent; ++i) next();
  while (ended < kRounds) g_main_context_iteration(nullptr, TRUE);
  return (ProcessorMicroseconds(RUSAGE_SELF) - before) / kRounds;
}

double MeasureSend() {
  GlibScheduler scheduler;
  FdPoller poller;
  BeastHttpServerOptions options;
  options.poller = &poller;
  options.scheduler = &scheduler;
  options.bind = {"127.0.0.1:0"};
  auto server = std::move(*BeastHttpServer::Make(options));
  server->SetHandler(
      [](const HttpRequest& /*request*/, const HttpResponder& respond) {
        HttpResponse response;
        response.body.assign(kPartBytes, 'x');
        respond(response);
      });
  BeastHttpClient client({.poller = &poller, .scheduler = &scheduler});
  return Measure([&](const std::function<void()>& done) {
    HttpCall call;
    call.to = server->LocalAddress();
    call.method = "GET";
    call.target = "/some/path";
    call.headers = {{"Host", "some.example"}, {"Request-Id", "0123456789"}};
    call.timeout = seconds(10);
    client.Send(std::move(call), [done](const HttpCallResult&) { done(); });
  });
}

double MeasureQuestion() {
  GlibScheduler scheduler;
  const auto make = [&scheduler] {
    TcpPeerOptions options;
    options.bind = {"127.0.0.1:0"};
    options.key = std::string(32, 'k');
    options.scheduler = &scheduler;
    return std::move(*TcpPeerTransport::Make(options));
  };
  const auto asked = make();
  const auto asking = make();
  asked->SetHandler(PeerChannel::kRelay,
                    [](const Address& /*from*/, const std::string& /*request*/,
                       const PeerTransport::Responder& respond) {
                      respond(std::string(kQuestionBytes, 'a'));
                    });
  return Measure([&](const std::function<void()>& done) {
    asking->Call(asked->LocalAddress(), PeerChannel::kRelay,
                 std::string(kQuestionBytes, 'q'), seconds(10),
                 [done](const Result<std::string>&) { done(); });
  });
}

double MeasureLine() {
  const double before = ProcessorMicroseconds(RUSAGE_SELF);
  for (int i = 0; i < kRounds; ++i) {
    Log(LogLevel::kInfo, "request_ended",
        {{"id", "9c41d07be2a35f68"},
         {"route", "all"},
         {"outcome", "answered"},
         {"parts", "10/10"},
         {"elapsed_ms", "31.250"}});
  }
  return (ProcessorMicroseconds(RUSAGE_SELF) - before) / kRounds;
}

}  // namespace
}  // namespace chicoryvale

int main() {
  chicoryvale::InitLog("entry_path", chicoryvale::LogLevel::kInfo,
                       chicoryvale::LogTarget::kStandardError);
  const double send = chicoryvale::MeasureSend();
  const double question = chicoryvale::MeasureQuestion();
  const double line = chicoryvale::MeasureLine();
  std::printf("%-20s %10s %8s\n", "", "us", "ratio");
  std::printf("%-20s %10.1f %8.2f\n", "send to a replica", send, 1.0);
  std::printf("%-20s %10.1f %8.2f\n", "question to a relay", question,
              question / send);
  std::printf("%-20s %10.1f %8.2f\n", "line of the log", line, line / send);
}
