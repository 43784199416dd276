#ifndef CHICORYVALE_SRC_PORTS_HTTP_H_
#define CHICORYVALE_SRC_PORTS_HTTP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// One header line.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// A request as a server received it. Its size is bounded by the server.
struct HttpRequest {
  std::string method;
  /// Path without query string, for example "/macchie.EyepieceDesk/Compare".
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Number of the connection within its server, from 1.
  std::uint64_t connection = 0;
  /// The body exceeded the server's limit; `body` is empty.
  bool too_large = false;
  /// The whole target as it came, query string included; empty at servers that
  /// do not keep it.
  std::string target{};
};

/// Returns the value of the first header called `name`, compared without
/// regard to case, or an empty string.
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name);

/// The answer to a request.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
  /// Closes the connection without an answer, as a crashing server does.
  bool abort_connection = false;
};

/// Sends the answer of one request. Callable once, then or later.
using HttpResponder = std::function<void(HttpResponse)>;

/// Port: HTTP server. Not thread safe.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;
  virtual ~HttpServer() = default;

  /// Sets the function called for each request, broken ones excepted.
  void SetHandler(Handler handler) { OnSetHandler(std::move(handler)); }

  /// Returns the address listened on, with the port that was taken.
  [[nodiscard]] Address LocalAddress() const { return OnLocalAddress(); }

  /// Stops accepting connections; those open finish their requests, whose
  /// answers carry "Connection: close".
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
