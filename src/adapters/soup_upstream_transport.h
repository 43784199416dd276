#ifndef CHICORYVALE_SRC_ADAPTERS_SOUP_UPSTREAM_TRANSPORT_H_
#define CHICORYVALE_SRC_ADAPTERS_SOUP_UPSTREAM_TRANSPORT_H_

#include <libsoup/soup.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/counters.h"
#include "ports/scheduler.h"
#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Outcomes of attempts, each counted once, and events of their connections.
enum class UpstreamTransportCounter : std::uint8_t {
  kSent,
  kAnswered,
  kNotConnected,
  kConnectionLost,
  kTimedOut,
  kMalformed,
  kCancelled,
  /// Attempts that libsoup was about to send again by itself; they ended as
  /// kConnectionLost instead.
  kResendsPrevented,
  kConnectionsOpened,
};

template <>
struct CounterNames<UpstreamTransportCounter> {
  static constexpr std::array<std::string_view, 9> kNames = {
      "sent",      "answered",          "not_connected",
      "lost",      "timed_out",         "malformed",
      "cancelled", "resends_prevented", "connections_opened"};
};

/// Settings of a SoupUpstreamTransport.
struct SoupUpstreamTransportOptions {
  /// Must outlive the transport.
  Scheduler* scheduler = nullptr;
  /// Limit on the open connections to one replica.
  std::uint32_t max_connections_per_replica = 16;
  /// Limit on the body of a response. Responses whose Content-Length is greater
  /// or absent count as malformed.
  std::size_t max_response_bytes = std::size_t{4} << 20;
};

/// UpstreamTransport over libsoup, with one session for each replica.
/// Connections are kept alive for idempotent requests; a request that may run
/// at most once gets a connection of its own. docs/design/libsoup.md explains
/// how libsoup is prevented from sending a request twice. Responses must have a
/// Content-Length. Not thread safe: use it only on the thread of the event
/// loop.
class SoupUpstreamTransport : public UpstreamTransport {
 public:
  explicit SoupUpstreamTransport(const SoupUpstreamTransportOptions& options);
  ~SoupUpstreamTransport() override;
  SoupUpstreamTransport(const SoupUpstreamTransport&) = delete;
  SoupUpstreamTransport& operator=(const SoupUpstreamTransport&) = delete;

  /// Returns the totals over all replicas.
  [[nodiscard]] const CounterSet<UpstreamTransportCounter>& Counters() const {
    return m_counters;
  }

  /// Closes the idle connections to `replica` now and each other connection to
  /// it when its attempt ends. Further attempts open new connections.
  void RenewConnections(const Address& replica);

 protected:
  void OnSend(SubRequest request, Callback callback) override;
  void OnCancel(SubRequestId id) override;

 private:
  struct Exchange;
  SoupSession* GetOrCreateSession(const Address& replica);
  void ConnectSignals(Exchange* exchange);
  static void OnStarting(SoupMessage* message, gpointer exchange);
  static void OnRestarted(SoupMessage* message, gpointer exchange);
  static void OnInterimResponse(SoupMessage* message, gpointer exchange);
  static void OnResponseHeaders(SoupMessage* message, gpointer exchange);
  static void OnNetworkEvent(SoupMessage* message, GSocketClientEvent event,
                             GIOStream* connection, gpointer exchange);
  static void OnResponse(GObject* session, GAsyncResult* result,
                         gpointer exchange);
  void OnTimeout(SubRequestId id);
  Callback Detach(Exchange* exchange);
  void Fail(Exchange* exchange, SubOutcomeKind kind);
  void CountOutcome(SubOutcomeKind kind);

  SoupUpstreamTransportOptions m_options;
  CounterSet<UpstreamTransportCounter> m_counters;
  std::unordered_map<std::string, SoupSession*> m_sessions;
  std::unordered_map<SubRequestId, Exchange*> m_exchanges;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SOUP_UPSTREAM_TRANSPORT_H_
