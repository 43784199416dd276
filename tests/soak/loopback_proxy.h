#ifndef CHICORYVALE_TESTS_SOAK_LOOPBACK_PROXY_H_
#define CHICORYVALE_TESTS_SOAK_LOOPBACK_PROXY_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string_view>

#include "adapters/fd_poller.h"
#include "adapters/stream_socket.h"
#include "base/ids.h"
#include "base/time.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// How a proxy handles the bytes that it receives.
enum class ProxyMode : std::uint8_t {
  kForward,
  /// Forwards all bytes after the proxy's delay.
  kDelay,
  /// Drops the bytes of the server.
  kDropServerBytes,
  /// Drops all bytes on the connections that are open when the mode is set,
  /// also in later modes. Forwards on new connections.
  kSilenceOpenConnections,
  /// As kSilenceOpenConnections, and also for each connection accepted in this
  /// mode.
  kSilenceAllConnections,
};

/// A TCP proxy on a loopback port in front of one server. Injects network
/// faults that neither end causes. Not thread safe.
class LoopbackProxy {
 public:
  /// `poller` and `scheduler` must outlive the proxy.
  LoopbackProxy(FdPoller* poller, Scheduler* scheduler, Address server);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  [[nodiscard]] const Address& LocalAddress() const { return m_local_address; }

  /// Sets the mode of the proxy; `delay` is used by kDelay only.
  void SetMode(ProxyMode mode, Duration delay = {});

  /// Closes all open connections.
  void CloseAllConnections();

 private:
  struct Link;

  void Accept();
  void Forward(Link* link, bool from_server, std::string_view bytes);
  void CloseLink(Link* link);

  FdPoller* m_poller;
  Scheduler* m_scheduler;
  Address m_server;
  Address m_local_address;
  int m_listen_fd = -1;
  ProxyMode m_mode = ProxyMode::kForward;
  Duration m_delay{};
  std::list<std::shared_ptr<Link>> m_links;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_SOAK_LOOPBACK_PROXY_H_
