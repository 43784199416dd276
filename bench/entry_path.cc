// Measures the processor time of what an entry does for each sub-request of a
// scattered request: an attempt at a replica, a call to a relay, a log line.
// Client and server of an exchange run on one event loop, so that each figure
// covers both. The last column is the ratio to an attempt.

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
/// Concurrent rounds: about the number of sub-requests of one request.
constexpr int kMaxInFlight = 10;
/// Size of the answer to a sub-request, and of a call to a relay and its
/// answer.
constexpr std::size_t kResponseBytes = 200;
constexpr std::size_t kRelayMessageBytes = 600;

/// Runs `start_one` kRounds times, kMaxInFlight at once. `start_one` must call
/// its argument at the end of each round. Returns microseconds per round.
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
  const double before_us = ProcessorMicroseconds(RUSAGE_SELF);
  for (int i = 0; i < kMaxInFlight; ++i) next();
  while (ended < kRounds) g_main_context_iteration(nullptr, TRUE);
  return (ProcessorMicroseconds(RUSAGE_SELF) - before_us) / kRounds;
}

double MeasureAttempt() {
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
        response.body.assign(kResponseBytes, 'x');
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

double MeasureRelayCall() {
  GlibScheduler scheduler;
  const auto make = [&scheduler] {
    TcpPeerOptions options;
    options.bind = {"127.0.0.1:0"};
    options.key = std::string(32, 'k');
    options.scheduler = &scheduler;
    return std::move(*TcpPeerTransport::Make(options));
  };
  const auto relay = make();
  const auto caller = make();
  relay->SetHandler(PeerChannel::kRelay,
                    [](const Address& /*from*/, const std::string& /*request*/,
                       const PeerTransport::Responder& respond) {
                      respond(std::string(kRelayMessageBytes, 'a'));
                    });
  return Measure([&](const std::function<void()>& done) {
    caller->Call(relay->LocalAddress(), PeerChannel::kRelay,
                 std::string(kRelayMessageBytes, 'q'), seconds(10),
                 [done](const Result<std::string>&) { done(); });
  });
}

double MeasureLogLine() {
  const double before_us = ProcessorMicroseconds(RUSAGE_SELF);
  for (int i = 0; i < kRounds; ++i) {
    Log(LogLevel::kInfo, "request_ended",
        {{"id", "9c41d07be2a35f68"},
         {"route", "all"},
         {"outcome", "answered"},
         {"parts", "10/10"},
         {"elapsed_ms", "31.250"}});
  }
  return (ProcessorMicroseconds(RUSAGE_SELF) - before_us) / kRounds;
}

}  // namespace
}  // namespace chicoryvale

int main() {
  chicoryvale::InitLog("entry_path", chicoryvale::LogLevel::kInfo,
                       chicoryvale::LogTarget::kStandardError);
  const double attempt_us = chicoryvale::MeasureAttempt();
  const double relay_call_us = chicoryvale::MeasureRelayCall();
  const double log_line_us = chicoryvale::MeasureLogLine();
  std::printf("%-20s %10s %8s\n", "", "us", "ratio");
  std::printf("%-20s %10.1f %8.2f\n", "send to a replica", attempt_us, 1.0);
  std::printf("%-20s %10.1f %8.2f\n", "question to a relay", relay_call_us,
              relay_call_us / attempt_us);
  std::printf("%-20s %10.1f %8.2f\n", "line of the log", log_line_us,
              log_line_us / attempt_us);
}
