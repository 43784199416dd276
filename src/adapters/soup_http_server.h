#ifndef CHICORYVALE_SRC_ADAPTERS_SOUP_HTTP_SERVER_H_
#define CHICORYVALE_SRC_ADAPTERS_SOUP_HTTP_SERVER_H_

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <memory>

#include "chicoryvale/error.h"
#include "ports/http.h"

namespace chicoryvale {

/// Settings of a SoupHttpServer.
struct SoupHttpServerOptions {
  /// IP number and port to listen on; port 0 takes a free one.
  Address bind;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::uint32_t max_connections = 10'000;
  int listen_backlog = 1024;
};

/// HttpServer over libsoup on the thread-default context. Not thread safe.
class SoupHttpServer : public HttpServer {
 public:
  /// Binds and listens. kUpstreamUnavailable if the address can't be bound.
  static Result<std::unique_ptr<SoupHttpServer>> Make(
      const SoupHttpServerOptions& options);
  ~SoupHttpServer() override;
  SoupHttpServer(const SoupHttpServer&) = delete;
  SoupHttpServer& operator=(const SoupHttpServer&) = delete;

 protected:
  void OnSetHandler(Handler handler) override;
  [[nodiscard]] Address OnLocalAddress() const override { return m_local; }
  void OnStopAccepting() override;
  [[nodiscard]] std::uint32_t OnInFlight() const override {
    return *m_in_flight;
  }

 private:
  SoupHttpServer() = default;
  static void OnGotHeaders(SoupServerMessage* message, gpointer data);
  static void OnRequestStarted(SoupServer* server, SoupServerMessage* message,
                               gpointer data);
  static void OnRequest(SoupServer* server, SoupServerMessage* message,
                        const char* path, GHashTable* query, gpointer data);
  void Handle(SoupServerMessage* message, const char* path);

  SoupHttpServerOptions m_options;
  SoupServer* m_server = nullptr;
  Address m_local;
  Handler m_handler;
  bool m_accepting = true;
  /// Outlives the server with responders that are called late.
  std::shared_ptr<std::uint32_t> m_in_flight =
      std::make_shared<std::uint32_t>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SOUP_HTTP_SERVER_H_
