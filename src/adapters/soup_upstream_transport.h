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

/// What happened to attempts, each counted once, and to their connections.
enum class UpstreamTransportCounter : std::uint8_t {
  kSent,
  kAnswered,
  kNotConnected,
  kConnectionLost,
  kTimedOut,
  kMalformed,
  kCancelled,
  /// libsoup was about to send the request again by itself; the attempt ended
  /// as kConnectionLost instead.
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
  /// Outlives the transport.
  Scheduler* scheduler = nullptr;
  /// Connections to one replica.
  std::uint32_t max_connections_per_replica = 16;
  /// Answers that tell a greater length, or none, are malformed.
  std::size_t max_answer_bytes = std::size_t{4} << 20;
};

/// UpstreamTransport over libsoup: one session for each replica. Connections
/// are kept alive for idempotent requests; a request that may run at most once
/// has a connection of its own. docs/design/libsoup.md explains how libsoup is
/// kept from sending a request twice. Answers carry a Content-Length. Not
/// thread safe: used only on the event loop.
class SoupUpstreamTransport : public UpstreamTransport {
 public:
  explicit SoupUpstreamTransport(const SoupUpstreamTransportOptions& options);
  ~SoupUpstreamTransport() override;
  SoupUpstreamTransport(const SoupUpstreamTransport&) = delete;
  SoupUpstreamTransport& operator=(const SoupUpstreamTransport&) = delete;

  /// Returns the counters of all replicas together.
  [[nodiscard]] const CounterSet<UpstreamTransportCounter>& Counters() const {
    return m_counters;
  }

  /// Closes the idle connections to `replica`, and each other one after its
  /// attempt; further attempts open new ones.
  void RenewConnections(const Address& replica);

 protected:
  void OnSend(SubRequest request, Callback callback) override;
  void OnCancel(SubRequestId id) override;

 private:
  struct Exchange;
  SoupSession* SessionFor(const Address& replica);
  void Connect(Exchange* exchange);
  static void OnStarting(SoupMessage* message, gpointer exchange);
  static void OnRestarted(SoupMessage* message, gpointer exchange);
  static void OnHeaders(SoupMessage* message, gpointer exchange);
  static void OnNetworkEvent(SoupMessage* message, GSocketClientEvent event,
                             GIOStream* connection, gpointer exchange);
  static void OnAnswer(GObject* session, GAsyncResult* result,
                       gpointer exchange);
  void OnTimeout(SubRequestId id);
  Callback Abandon(Exchange* exchange);
  void Fail(Exchange* exchange, SubOutcomeKind kind);
  void Count(SubOutcomeKind kind);

  SoupUpstreamTransportOptions m_options;
  CounterSet<UpstreamTransportCounter> m_counters;
  std::unordered_map<std::string, SoupSession*> m_sessions;
  std::unordered_map<SubRequestId, Exchange*> m_exchanges;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SOUP_UPSTREAM_TRANSPORT_H_
