#ifndef CHICORYVALE_SRC_ADAPTERS_SOUP_HTTP_SERVER_H_
#define CHICORYVALE_SRC_ADAPTERS_SOUP_HTTP_SERVER_H_

#include <libsoup/soup.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "adapters/glib_scheduler.h"
#include "adapters/socket_address.h"
#include "base/counters.h"
#include "base/memory_account.h"
#include "base/time.h"
#include "chicoryvale/error.h"
#include "ports/http.h"

namespace chicoryvale {

/// Events of a SoupHttpServer.
enum class SoupHttpServerCounter : std::uint8_t {
  kConnections,
  kConnectionsRefused,
  kHangUps,
  kIdleClosed,
  kRequests,
  kAnswered,
  kBrokenRequests,
  kBodiesTooLarge,
  kBodiesCutOff,
  /// Requests whose caller closed the connection in the middle of the head.
  kHeadsCutOff,
  kAbandonedByCaller,
  kAbortedByHandler,
  /// Connections that were closed because the requests of all callers together
  /// were too large.
  kOverTotal,
  /// Connections without a request that were closed to accept another one.
  kUnusedEvicted,
};

template <>
struct CounterNames<SoupHttpServerCounter> {
  static constexpr std::array<std::string_view, 14> kNames = {
      "http_connections",
      "http_connections_refused",
      "http_hang_ups",
      "http_idle_closed",
      "http_requests",
      "http_answered",
      "http_broken_requests",
      "http_bodies_too_large",
      "http_bodies_cut_off",
      "http_heads_cut_off",
      "http_abandoned_by_caller",
      "http_aborted_by_handler",
      "http_over_total",
      "http_unused_evicted"};
};

/// Settings of a SoupHttpServer.
struct SoupHttpServerOptions {
  /// IP address and port to listen on; port 0 selects a free port.
  Address bind;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::uint32_t max_connections = 10'000;
  /// Account of the bytes of requests. If null, the server has one of its own
  /// with `max_held_bytes`. Must outlive the server.
  MemoryAccount* account = nullptr;
  std::size_t max_held_bytes = std::size_t{32} << 20;
  int listen_backlog = 1024;
  /// Limit on the time that a connection is idle, and on the time that a caller
  /// takes to send the headers or the body of a request.
  Duration idle_timeout = seconds(60);
};

/// HttpServer over libsoup on the thread-default GMainContext. Connections are
/// kept alive. docs/design/libsoup.md explains how connections that the caller
/// closed are detected and ended. Not thread safe: use it only on the thread of
/// the event loop. Responders may be called after the server is destroyed.
class SoupHttpServer : public HttpServer {
 public:
  /// Binds and listens. Returns kUpstreamUnavailable if the address can't be
  /// bound.
  static Result<std::unique_ptr<SoupHttpServer>> Make(
      const SoupHttpServerOptions& options);
  ~SoupHttpServer() override;
  SoupHttpServer(const SoupHttpServer&) = delete;
  SoupHttpServer& operator=(const SoupHttpServer&) = delete;

  [[nodiscard]] const CounterSet<SoupHttpServerCounter>& Counters() const {
    return m_counters;
  }

  /// Returns the number of open connections.
  [[nodiscard]] std::size_t ConnectionCount() const {
    return m_connections.size();
  }

 protected:
  void OnSetHandler(Handler handler) override {
    m_handler = std::move(handler);
  }
  [[nodiscard]] Address OnLocalAddress() const override { return m_address; }
  void OnStopAccepting() override;
  [[nodiscard]] std::uint32_t OnInFlight() const override {
    return m_in_flight;
  }

 private:
  struct Connection;
  struct Exchange;
  class PendingResponse;

  explicit SoupHttpServer(const SoupHttpServerOptions& options);
  Result<void> Start();

  // Handlers of signals and callbacks of libsoup and GLib.
  static void OnRequestStarted(SoupServer*, SoupServerMessage* message,
                               gpointer self);
  static void OnHeadersRead(SoupServer*, SoupServerMessage* message,
                            const char* path, GHashTable*, gpointer self);
  static void OnBodyChunk(SoupServerMessage* message, GBytes* chunk,
                          gpointer exchange);
  static void OnRequestRead(SoupServer*, SoupServerMessage* message,
                            const char* path, GHashTable*, gpointer self);
  static void OnRequestFinished(SoupServer*, SoupServerMessage* message,
                                gpointer self);
  static void OnRequestAborted(SoupServer*, SoupServerMessage* message,
                               gpointer self);
  static void OnHeadersWritten(SoupServerMessage* message, gpointer exchange);
  static void OnMessageFinalized(gpointer exchange, GObject* message);
  static gboolean OnHangUp(GSocket* socket, GIOCondition, gpointer connection);
  static gboolean OnHeadBytes(GSocket* socket, GIOCondition,
                              gpointer connection);

  Connection* AddConnection(GSocket* socket);
  static bool IsHeadCutOff(const Exchange& exchange);
  void WatchForHangUp(Connection* connection);
  /// Looks at the first bytes of a request before libsoup reads them.
  static void WatchForHead(Connection* connection);
  void EndIdleConnection(Connection* connection);
  void ScheduleSweep();
  void SweepIdleConnections();
  void MarkBodyTooLarge(Exchange* exchange);
  static void FreeBody(Exchange* exchange);
  /// Closes the connection of the largest request that is being read while
  /// little of the account is left.
  void EnforceMemoryLimit();
  /// Closes the oldest connection that has sent no request, other than
  /// `accepted`. Returns false if there is none.
  bool EvictUnusedConnection(const Connection* accepted);
  void EndExchange(SoupServerMessage* message, bool finished);
  void SendResponse(SoupServerMessage* message, const HttpResponse& response);

  SoupHttpServerOptions m_options;
  MemoryAccount m_own_account;
  MemoryAccount* m_account;
  GlibScheduler m_scheduler;
  Handler m_handler;
  SoupServer* m_server = nullptr;
  GObjectPtr<GSocket> m_listener;
  Address m_address;
  bool m_accepting = true;
  std::uint32_t m_in_flight = 0;
  TimerId m_sweep_timer = 0;
  CounterSet<SoupHttpServerCounter> m_counters;
  std::unordered_map<GSocket*, std::unique_ptr<Connection>> m_connections;
  /// Expires with the server, so that responders called later have no effect.
  std::shared_ptr<SoupHttpServer*> m_alive;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SOUP_HTTP_SERVER_H_
