// Measures the processor time of the HTTP adapters per request, with one or
// many requests in flight. Client and server run on separate threads of one
// process.

#include <sys/resource.h>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <future>
#include <thread>
#include <utility>

#include "adapters/glib_scheduler.h"
#include "adapters/soup_http_server.h"
#include "adapters/soup_upstream_transport.h"
#include "processor_time.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kBodyBytes = 200;

/// Runs a SoupHttpServer that answers immediately on a thread of its own.
class ServerThread {
 public:
  ServerThread() {
    std::promise<Address> address;
    m_thread = std::thread([this, &address] { Run(&address); });
    m_address = address.get_future().get();
  }
  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;
  /// Stops the thread and returns the processor time that it used, in
  /// microseconds.
  double Stop() {
    m_stopping = true;
    g_main_context_wakeup(m_context);
    m_thread.join();
    g_main_context_unref(m_context);
    return m_processor_us;
  }
  [[nodiscard]] const Address& LocalAddress() const { return m_address; }

 private:
  void Run(std::promise<Address>* address) {
    m_context = g_main_context_new();
    g_main_context_push_thread_default(m_context);
    {
      SoupHttpServerOptions options;
      options.bind = Address{"127.0.0.1:0"};
      const auto server = std::move(*SoupHttpServer::Make(options));
      server->SetHandler([](const HttpRequest&, const HttpResponder& respond) {
        HttpResponse response;
        response.body.assign(kBodyBytes, 'x');
        respond(response);
      });
      address->set_value(server->LocalAddress());
      const double start_us = ProcessorMicroseconds(RUSAGE_THREAD);
      while (!m_stopping) g_main_context_iteration(m_context, TRUE);
      m_processor_us = ProcessorMicroseconds(RUSAGE_THREAD) - start_us;
    }
    g_main_context_pop_thread_default(m_context);
  }

  GMainContext* m_context = nullptr;
  std::atomic<bool> m_stopping = false;
  Address m_address;
  double m_processor_us = 0;
  std::thread m_thread;
};

/// One row of the printed table.
struct Row {
  const char* name;
  bool idempotent;
  int max_in_flight;
  int requests;
};

void Measure(const Row& row) {
  ServerThread server;
  GlibScheduler scheduler;
  SoupUpstreamTransport transport(
      SoupUpstreamTransportOptions{.scheduler = &scheduler});
  SubRequestId last_id = 0;
  int done = 0;
  int failed = 0;
  std::function<void()> send = [&] {
    SubRequest request;
    request.id = ++last_id;
    request.replica = server.LocalAddress();
    request.service = "bench.Service";
    request.method = "Get";
    request.body = std::string(kBodyBytes, 'x');
    request.timeout = seconds(60);
    request.idempotent = row.idempotent;
    transport.Send(std::move(request), [&](const SubOutcome& outcome) {
      ++done;
      if (outcome.kind != SubOutcomeKind::kAnswered) ++failed;
      if (last_id < static_cast<SubRequestId>(row.requests)) send();
    });
  };
  const double start_us = ProcessorMicroseconds(RUSAGE_THREAD);
  for (int i = 0; i < row.max_in_flight; ++i) send();
  while (done < row.requests) g_main_context_iteration(nullptr, TRUE);
  const double client_us = ProcessorMicroseconds(RUSAGE_THREAD) - start_us;
  const double server_us = server.Stop();
  std::printf("%-28s %9d %7d %12llu %11.1f %11.1f\n", row.name, row.requests,
              failed,
              static_cast<unsigned long long>(transport.Counters().Get(
                  UpstreamTransportCounter::kConnectionsOpened)),
              client_us / row.requests, server_us / row.requests);
}

}  // namespace
}  // namespace chicoryvale

int main() {
  std::printf("%-28s %9s %7s %12s %11s %11s\n", "POST of 200 bytes", "requests",
              "failed", "connections", "client us", "server us");
  for (const chicoryvale::Row& row :
       {chicoryvale::Row{"kept, 1 at a time", true, 1, 20000},
        chicoryvale::Row{"kept, 16 at a time", true, 16, 20000},
        chicoryvale::Row{"new each time, 1 at a time", false, 1, 5000},
        chicoryvale::Row{"new each time, 16 at a time", false, 16, 5000}}) {
    chicoryvale::Measure(row);
  }
}
