#ifndef CHICORYVALE_SRC_PORTS_HTTP_H_
#define CHICORYVALE_SRC_PORTS_HTTP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// One HTTP header.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// A request received by a server, which bounds its size.
struct HttpRequest {
  std::string method;
  /// Path without query string, for example "/macchie.EyepieceDesk/Compare".
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Sequence number of the connection within its server, starting at 1.
  std::uint64_t connection = 0;
  /// Whether the body exceeded the server's limit; if so, `body` is empty.
  /// Always false if the server itself rejects such requests.
  bool too_large = false;
  /// The unmodified request target, query string included; empty if the server
  /// implementation does not provide it.
  std::string target{};
};

/// Returns the value of the first header called `name` (case-insensitive), or
/// an empty string if there is none.
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name);

/// The answer to a request.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
  /// Whether to close the connection without an answer, as a crashing server
  /// does.
  bool abort_connection = false;
};

/// Sends the answer to one request. To be called once, from within the handler
/// or later.
using HttpResponder = std::function<void(HttpResponse)>;

/// Interface to an HTTP server. Not thread safe.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;
  virtual ~HttpServer() = default;

  /// Sets the function called for each request, except those that the server
  /// itself rejects, such as requests that are not valid HTTP.
  void SetHandler(Handler handler) { OnSetHandler(std::move(handler)); }

  /// Returns the listening address, with the actual port.
  [[nodiscard]] Address LocalAddress() const { return OnLocalAddress(); }

  /// Stops accepting connections. Requests on open connections are finished;
  /// their answers carry "Connection: close".
  void StopAccepting() { OnStopAccepting(); }

  /// Returns the number of requests received and not yet answered.
  [[nodiscard]] std::uint32_t InFlight() const { return OnInFlight(); }

 protected:
  virtual void OnSetHandler(Handler handler) = 0;
  [[nodiscard]] virtual Address OnLocalAddress() const = 0;
  virtual void OnStopAccepting() = 0;
  [[nodiscard]] virtual std::uint32_t OnInFlight() const = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_HTTP_H_
