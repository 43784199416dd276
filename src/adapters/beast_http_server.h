#ifndef CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_SERVER_H_
#define CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/fd_poller.h"
#include "adapters/pause_monitor.h"
#include "base/counters.h"
#include "base/memory_account.h"
#include "base/time.h"
#include "chicoryvale/error.h"
#include "ports/config_freshness.h"
#include "ports/http.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Events of a BeastHttpServer.
enum class BeastHttpServerCounter : std::uint8_t {
  kConnections,
  kConnectionsRefused,
  kRequests,
  kMalformed,
  kTooLarge,
  kHeaderTimeouts,
  /// Requests that were refused because those of all callers together were too
  /// large.
  kOverTotal,
  /// Connections that were closed because all callers together left too many
  /// bytes of responses unread.
  kUnreadAnswers,
  /// Connections that were closed because no byte of a started body arrived
  /// within the idle timeout.
  kBodyTimeouts,
  /// Connections without a request that were closed to accept another one.
  kUnusedEvicted,
  /// Requests beyond a limit that was not confirmed to be current.
  kLimitNotConfirmed,
  /// Connections that the caller closed before the response to its request.
  kCallersGone,
  /// Responses whose connection had already ended.
  kAnswersUndeliverable,
  /// Connections that the kernel ended because the caller took no more of a
  /// response for too long.
  kAnswersTimedOut,
  /// Requests that were not handled, because their caller had gone while this
  /// process was paused.
  kGivenUpInPause,
};

template <>
struct CounterNames<BeastHttpServerCounter> {
  static constexpr std::array<std::string_view, 15> kNames = {
      "connections",
      "connections_refused",
      "requests",
      "malformed",
      "too_large",
      "header_timeouts",
      "over_total",
      "unread_answers",
      "body_timeouts",
      "unused_evicted",
      "limit_not_confirmed",
      "callers_gone",
      "answers_undeliverable",
      "answers_timed_out",
      "given_up_in_pause"};
};

/// Limits on the size and duration of requests.
struct HttpServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1 << 20;
  /// Limit on the time from the first byte of a request to the end of its
  /// headers.
  Duration header_timeout = seconds(10);
  /// Limit on the time between two requests of a connection, and between two
  /// reads of a body.
  Duration idle_timeout = seconds(60);
};

/// Settings of a BeastHttpServer. The pointers must outlive it.
struct BeastHttpServerOptions {
  FdPoller* poller = nullptr;
  Scheduler* scheduler = nullptr;
  Address bind;
  std::size_t max_connections = 10'000;
  HttpServerLimits limits;
  /// Account of the bytes that the process holds for callers. Beyond its limit,
  /// the largest of the requests that are being read is refused, or the
  /// connection closed whose caller leaves more bytes unread, unless one of its
  /// requests waits for a response. May be null: the
  /// server then has an account of its own with the limit `max_held_bytes`.
  MemoryAccount* account = nullptr;
  std::size_t max_held_bytes = std::size_t{32} << 20;
  /// Tells whether the limits are current. A request beyond them is refused for
  /// good only then, and otherwise with 503. May be null: they always are.
  ConfigFreshness* freshness = nullptr;
};

/// HttpServer on non-blocking sockets, with Boost.Beast's parser. It passes the
/// request target to the handler unmodified, processes one request of a
/// connection at a time, and reports when a caller disconnects before the
/// response to its request. Not thread safe.
class BeastHttpServer : public HttpServer {
 public:
  /// Receives the number of a connection that ended while one of its requests
  /// was waiting for a response. From then on the responder of that request has
  /// no effect.
  using DisconnectHandler = std::function<void(std::uint64_t connection)>;

  /// Listens on the address of `options`. Returns kUpstreamUnavailable if that
  /// fails.
  static Result<std::unique_ptr<BeastHttpServer>> Make(
      const BeastHttpServerOptions& options);
  ~BeastHttpServer() override;
  BeastHttpServer(const BeastHttpServer&) = delete;
  BeastHttpServer& operator=(const BeastHttpServer&) = delete;

  void SetDisconnectHandler(DisconnectHandler handler) {
    m_on_disconnect = std::move(handler);
  }

  /// Replaces the limits. Requests that are being read keep the previous ones.
  void SetLimits(const HttpServerLimits& limits) { m_options.limits = limits; }

  /// Closes idle connections now and each other connection after its next
  /// response. New connections are still accepted, for one request each.
  void CloseConnectionsWhenIdle();

  /// Returns the number of connections on which a request is being read or
  /// waits for its response, or a response has not been sent completely.
  [[nodiscard]] std::uint32_t UnfinishedCount() const;

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
  /// Frees bytes while the account is beyond its limits, as far as connections
  /// hold bytes that they may drop.
  void EnforceMemoryLimits();
  /// Closes the oldest connection that has carried no byte. Returns false if
  /// there is none.
  bool EvictUnusedConnection();
  /// Closes the connection now and destroys it in a later loop iteration.
  void DestroyLater(std::uint64_t number);

  BeastHttpServerOptions m_options;
  PauseMonitor m_pauses;
  int m_listener = -1;
  Address m_address;
  Handler m_handler;
  DisconnectHandler m_on_disconnect;
  bool m_closing_connections = false;
  std::uint32_t m_in_flight = 0;
  std::uint64_t m_last_number = 0;
  MemoryAccount m_own_account;
  MemoryAccount* m_account;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
  /// Closed connections; a timer destroys them, because a connection must not
  /// be destroyed within its own callback.
  std::vector<std::unique_ptr<Connection>> m_closed_connections;
  TimerId m_destroy_timer = 0;
  CounterSet<BeastHttpServerCounter> m_counters;
  /// Expires with the server, so that responders called later have no effect.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_SERVER_H_
