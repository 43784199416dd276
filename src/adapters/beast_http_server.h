#ifndef CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_SERVER_H_
#define CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/fd_poller.h"
#include "base/counters.h"
#include "base/time.h"
#include "chicoryvale/error.h"
#include "ports/http.h"
#include "ports/scheduler.h"

namespace chicoryvale {

enum class BeastHttpServerCounter : std::uint8_t {
  kConnections,
  kConnectionsRefused,
  kRequests,
  kMalformed,
  kTooLarge,
  kHeaderTimeouts,
  kCallersGone,
  kAnswersUndeliverable,
};

template <>
struct CounterNames<BeastHttpServerCounter> {
  static constexpr std::array<std::string_view, 8> kNames = {
      "connections",  "connections_refused",
      "requests",     "malformed",
      "too_large",    "header_timeouts",
      "callers_gone", "answers_undeliverable"};
};

/// What a caller may send and how long it may take.
struct HttpServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1 << 20;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout = seconds(10);
  /// Between two requests of a connection.
  Duration idle_timeout = seconds(60);
};

/// Settings of a BeastHttpServer. The pointers outlive it.
struct BeastHttpServerOptions {
  FdPoller* poller = nullptr;
  Scheduler* scheduler = nullptr;
  Address bind;
  std::size_t max_connections = 10'000;
  HttpServerLimits limits;
};

/// HttpServer on non-blocking sockets, with Boost.Beast's parser. It passes the
/// request target on as it came, answers one request of a connection at a
/// time, and tells when the caller of an unanswered request has gone. Not
/// thread safe.
class BeastHttpServer : public HttpServer {
 public:
  /// Receives the number of a connection that ended with a request unanswered;
  /// the responder of that request does nothing from then on.
  using DisconnectHandler = std::function<void(std::uint64_t connection)>;

  /// kUpstreamUnavailable if the address cannot be listened on.
  static Result<std::unique_ptr<BeastHttpServer>> Make(
      const BeastHttpServerOptions& options);
  ~BeastHttpServer() override;
  BeastHttpServer(const BeastHttpServer&) = delete;
  BeastHttpServer& operator=(const BeastHttpServer&) = delete;

  void SetDisconnectHandler(DisconnectHandler handler) {
    m_on_gone = std::move(handler);
  }

  /// Replaces the limits; requests being read keep theirs.
  void SetLimits(const HttpServerLimits& limits) { m_options.limits = limits; }

  /// From now on each answer ends its connection, and idle connections are
  /// closed; new ones are still accepted.
  void CloseConnectionsWhenIdle();

  [[nodiscard]] const CounterSet<BeastHttpServerCounter>& Counters() const {
    return m_counters;
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
  class Connection;

  explicit BeastHttpServer(const BeastHttpServerOptions& options);
  Result<void> Listen();
  void Accept();
  void Bury(std::uint64_t number);

  BeastHttpServerOptions m_options;
  int m_listener = -1;
  Address m_address;
  Handler m_handler;
  DisconnectHandler m_on_gone;
  bool m_closing = false;
  std::uint32_t m_in_flight = 0;
  std::uint64_t m_last_number = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
  /// Ended connections, destroyed outside of their own callbacks.
  std::vector<std::unique_ptr<Connection>> m_buried;
  TimerId m_bury_timer = 0;
  CounterSet<BeastHttpServerCounter> m_counters;
  /// Expires with the server, for answers that come later.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_SERVER_H_
