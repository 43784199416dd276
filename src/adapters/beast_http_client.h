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
#include "ports/http_client.h"
#include "ports/scheduler.h"

namespace chicoryvale {

enum class BeastHttpClientCounter : std::uint8_t {
  kCalls,
  kConnectionsOpened,
  kConnectionsReused,
  kConnectionsRefusedHere,
  kForeignAnswersDropped,
  kUnaskedBytes,
  kBroken,
  kTimedOut,
  kBytesSent,
  kBytesReceived,
};

template <>
struct CounterNames<BeastHttpClientCounter> {
  static constexpr std::array<std::string_view, 10> kNames = {
      "calls",
      "connections_opened",
      "connections_reused",
      "connections_refused_here",
      "foreign_answers_dropped",
      "unasked_bytes",
      "broken",
      "timed_out",
      "bytes_sent",
      "bytes_received"};
};

/// Settings of a BeastHttpClient. The pointers outlive it.
struct BeastHttpClientOptions {
  FdPoller* poller = nullptr;
  Scheduler* scheduler = nullptr;
  /// Longest accepted answer.
  std::size_t max_answer_bytes = std::size_t{16} << 20;
  /// Idle connections are closed after this, or after what the server states.
  Duration idle_timeout = seconds(30);
};

/// HttpClient on non-blocking sockets, with Boost.Beast's parser. One request
/// at a time goes on a connection; the one used last is taken first, so that
/// spare ones run into their idle timeout. Not thread safe.
class BeastHttpClient : public HttpClient {
 public:
  explicit BeastHttpClient(const BeastHttpClientOptions& options);
  ~BeastHttpClient() override;
  BeastHttpClient(const BeastHttpClient&) = delete;
  BeastHttpClient& operator=(const BeastHttpClient&) = delete;

  [[nodiscard]] const CounterSet<BeastHttpClientCounter>& Counters() const {
    return m_counters;
  }

  /// Closes the idle connections to `to`.
  void CloseIdle(const Address& to);

 protected:
  HttpCallId OnSend(HttpCall call, Callback callback) override;
  void OnCancel(HttpCallId id) override;

 private:
  class Connection;
  struct OpenCall;

  void Begin(HttpCallId id);
  std::unique_ptr<Connection> TakeIdle(const Address& to);
  void Finish(HttpCallId id, HttpCallResult result);
  void Keep(std::unique_ptr<Connection> connection, Duration idle_timeout);
  void Drop(Connection* connection);
  void Bury(std::unique_ptr<Connection> connection);

  BeastHttpClientOptions m_options;
  HttpCallId m_last_id = 0;
  std::unordered_map<HttpCallId, std::unique_ptr<OpenCall>> m_calls;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Connection>>>
      m_idle;
  /// Closed connections, destroyed outside of their own callbacks.
  std::vector<std::unique_ptr<Connection>> m_buried;
  TimerId m_bury_timer = 0;
  CounterSet<BeastHttpClientCounter> m_counters;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_BEAST_HTTP_CLIENT_H_
