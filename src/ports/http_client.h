#ifndef CHICORYVALE_SRC_PORTS_HTTP_CLIENT_H_
#define CHICORYVALE_SRC_PORTS_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/http.h"

namespace chicoryvale {

/// Identifies a call within its client; 0 is never used.
using HttpCallId = std::uint64_t;

/// A complete answer as it came.
struct HttpClientAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  /// The server closes the connection after this answer.
  bool closes_connection = false;
};

/// How a call ended.
enum class HttpCallEnd : std::uint8_t {
  kAnswered,
  /// No byte of the request was sent.
  kNotSent,
  /// The connection ended, or bytes came that are no answer; the request may
  /// have run.
  kBroken,
  /// The call's time passed without a complete answer.
  kTimedOut,
};

struct HttpCallResult {
  HttpCallEnd end = HttpCallEnd::kNotSent;
  /// Complete if `end` is kAnswered.
  HttpClientAnswer answer;
  /// What failed, for a log line.
  std::string detail;
};

/// One request to a server.
struct HttpCall {
  Address to;
  std::string method;
  std::string target;
  /// All headers but Content-Length, which the client sets.
  std::vector<HttpHeader> headers;
  /// May be null for a request without a body.
  std::shared_ptr<const std::string> body;
  Duration timeout{};
  /// Returns whether an answer belongs to this request. One that does not is
  /// dropped, and the next is awaited. Null takes the first answer.
  std::function<bool(const HttpClientAnswer& answer)> accepts;
};

/// Port: HTTP/1.1 client with kept connections. It sends each request at most
/// once. Not thread safe.
class HttpClient {
 public:
  using Callback = std::function<void(HttpCallResult result)>;
  virtual ~HttpClient() = default;

  /// Sends `call`; calls `callback` once, never from within this call, unless
  /// it is cancelled.
  HttpCallId Send(HttpCall call, Callback callback) {
    return OnSend(std::move(call), std::move(callback));
  }

  /// Ends the call without calling back and closes its connection, by which a
  /// server learns that nobody waits. Does nothing if the call has ended.
  void Cancel(HttpCallId id) { OnCancel(id); }

 protected:
  virtual HttpCallId OnSend(HttpCall call, Callback callback) = 0;
  virtual void OnCancel(HttpCallId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_HTTP_CLIENT_H_
