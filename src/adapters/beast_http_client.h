#ifndef CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_CLIENT_H_
#define CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_CLIENT_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "adapters/fd_poller.h"
#include "base/counters.h"
#include "base/memory_account.h"
#include "ports/http_client.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Events of a BeastHttpClient.
enum class BeastHttpClientCounter : std::uint8_t {
  kCalls,
  kConnectionsOpened,
  kConnectionsReused,
  /// Idle connections that were not reused because the server had answered a
  /// request with the same id on them with an error status.
  kConnectionsAvoided,
  /// Connections that this process could not open.
  kConnectionsRefusedHere,
  /// Responses that HttpCall::accepts rejected.
  kForeignAnswersDropped,
  /// Idle connections that were closed because bytes arrived on them.
  kUnaskedBytes,
  /// Calls whose connection failed or whose response was invalid, including
  /// calls of which no byte was sent.
  kBroken,
  /// Calls that failed because all incomplete responses together were too
  /// large.
  kResponsesOverTotal,
  /// Calls that failed because the status of the response was not from 100 to
  /// 599.
  kInvalidStatus,
  kTimedOut,
  kBytesSent,
  kBytesReceived,
};

template <>
struct CounterNames<BeastHttpClientCounter> {
  static constexpr std::array<std::string_view, 13> kNames = {
      "calls",
      "connections_opened",
      "connections_reused",
      "connections_avoided",
      "connections_refused_here",
      "foreign_answers_dropped",
      "unasked_bytes",
      "broken",
      "responses_over_total",
      "invalid_status",
      "timed_out",
      "bytes_sent",
      "bytes_received"};
};

/// Settings of a BeastHttpClient. The pointers must outlive it.
struct BeastHttpClientOptions {
  FdPoller* poller = nullptr;
  Scheduler* scheduler = nullptr;
  /// Limit on the body of a response.
  std::size_t max_response_bytes = std::size_t{4} << 20;
  /// Limit on the received bytes of all responses that are not complete. Beyond
  /// it, the call whose response holds most of them fails.
  std::size_t max_buffered_bytes = std::size_t{32} << 20;
  /// Account that also holds these bytes and those of requests that wait to be
  /// sent. May be null.
  MemoryAccount* account = nullptr;
  /// Limit on open connections. At the limit, an idle one is closed for a new
  /// one; without an idle one, a call that needs a new connection fails as not
  /// sent.
  std::size_t max_connections = 1'000'000;
  /// Idle connections are closed after this time, or earlier if the server's
  /// Keep-Alive header states a shorter one.
  Duration idle_timeout = seconds(30);
};

/// HttpClient on non-blocking sockets, with Boost.Beast's parser. A connection
/// carries one request at a time. The most recently used idle connection is
/// reused first, so that surplus connections reach their idle timeout. Not
/// thread safe.
class BeastHttpClient : public HttpClient {
 public:
  explicit BeastHttpClient(const BeastHttpClientOptions& options);
  ~BeastHttpClient() override;
  BeastHttpClient(const BeastHttpClient&) = delete;
  BeastHttpClient& operator=(const BeastHttpClient&) = delete;

  [[nodiscard]] const CounterSet<BeastHttpClientCounter>& Counters() const {
    return m_counters;
  }

  /// Closes the idle connections to the server at `to`.
  void CloseIdle(const Address& to);

 protected:
  HttpCallId OnSend(HttpCall call, Callback callback) override;
  void OnCancel(HttpCallId id) override;

 private:
  class Connection;
  struct OpenCall;

  void StartCall(HttpCallId id);
  std::unique_ptr<Connection> TakeIdle(const HttpCall& call);
  void Finish(HttpCallId id, HttpCallResult result);
  /// Fails the call whose incomplete response is the largest, and closes its
  /// connection.
  void FailLargestResponse();
  void AddIdle(std::unique_ptr<Connection> connection, Duration idle_timeout);
  void RemoveIdle(Connection* connection);
  /// Returns whether a new connection may be opened. Closes an idle one if that
  /// is necessary.
  bool MakeRoomForConnection();
  /// Closes `connection` now and destroys it in a later loop iteration.
  void DestroyLater(std::unique_ptr<Connection> connection);

  BeastHttpClientOptions m_options;
  /// Used if the options name no account.
  MemoryAccount m_own_account{SIZE_MAX};
  MemoryAccount* m_account;
  std::size_t m_open_connections = 0;
  HttpCallId m_last_id = 0;
  std::unordered_map<HttpCallId, std::unique_ptr<OpenCall>> m_calls;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
      m_idle;
  /// Closed connections; a timer destroys them, because a connection must not
  /// be destroyed within its own callback.
  std::vector<std::unique_ptr<Connection>> m_closed_connections;
  TimerId m_destroy_timer = 0;
  /// Received bytes of the responses that are not complete.
  std::size_t m_buffered_bytes = 0;
  CounterSet<BeastHttpClientCounter> m_counters;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_CLIENT_H_
