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

/// A complete, unmodified answer.
struct HttpClientAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Whether the server closes the connection after this answer.
  bool closes_connection = false;
  /// Whether this is the first answer on its connection, so that it cannot
  /// belong to an earlier request.
  bool is_first_on_connection = false;
};

/// How a call ended.
enum class HttpCallEnd : std::uint8_t {
  kAnswered,
  /// No byte of the request was sent.
  kNotSent,
  /// The connection ended, or the bytes received are not a valid answer. The
  /// request may have run.
  kBroken,
  /// The call's timeout passed without a complete answer.
  kTimedOut,
};

struct HttpCallResult {
  HttpCallEnd end = HttpCallEnd::kNotSent;
  /// Complete if `end` is kAnswered. Otherwise only the status and the headers,
  /// if the head of an answer had arrived; status 0 if not.
  HttpClientAnswer answer;
  /// Description of the failure for a log line.
  std::string detail;
  /// If `end` is kBroken: whether the server ended the connection. If not, this
  /// side did, because of the bytes received.
  bool ended_by_server = false;
};

/// One request to a server.
struct HttpCall {
  Address to;
  /// Identifies the request towards the server; empty if nothing does. A
  /// request is not sent on a connection on which the server has answered one
  /// with the same id with an error status, because a late second copy of that
  /// answer could not be told from the answer to this request.
  std::string id;
  std::string method;
  std::string target;
  /// All headers except Content-Length, which the client sets.
  std::vector<HttpHeader> headers;
  /// May be null for a request without a body.
  std::shared_ptr<const std::string> body;
  Duration timeout{};
  /// Returns whether `answer` belongs to this request. The client drops an
  /// answer that does not and waits for the next one. If null, the client
  /// accepts the first answer.
  std::function<bool(const HttpClientAnswer& answer)> accepts;
};

/// Interface to an HTTP/1.1 client with persistent connections. It sends each
/// request at most once. Not thread safe.
class HttpClient {
 public:
  using Callback = std::function<void(HttpCallResult result)>;
  virtual ~HttpClient() = default;

  /// Sends the request of `call`. Calls `callback` once, never from within this
  /// call, unless the call is cancelled.
  HttpCallId Send(HttpCall call, Callback callback) {
    return OnSend(std::move(call), std::move(callback));
  }

  /// Ends the call without calling its callback. Closes its connection, which
  /// informs the server that the answer is no longer needed. Does nothing if
  /// the call has ended.
  void Cancel(HttpCallId id) { OnCancel(id); }

 protected:
  virtual HttpCallId OnSend(HttpCall call, Callback callback) = 0;
  virtual void OnCancel(HttpCallId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_HTTP_CLIENT_H_
