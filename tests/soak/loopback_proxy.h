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

/// What a proxy does with the bytes that pass it.
enum class ProxyMode : std::uint8_t {
  kPass,
  /// Each piece waits for the proxy's delay.
  kDelay,
  /// Bytes of the server are dropped.
  kOneWay,
  /// Connections open now pass nothing for good; new ones work.
  kSilenceOpen,
  /// New connections and their bytes get no answer.
  kSilenceAll,
};

/// A TCP proxy on a loopback port in front of one server, which harms the
/// connections from outside both ends. Not thread safe.
class LoopbackProxy {
 public:
  /// All outlive the proxy.
  LoopbackProxy(FdPoller* poller, Scheduler* scheduler, Address server);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  [[nodiscard]] const Address& LocalAddress() const { return m_address; }

  void SetMode(ProxyMode mode, Duration delay = {});

  /// Breaks all open connections.
  void ResetAll();

 private:
  struct Link;

  void Accept();
  void Pass(Link* link, bool from_server, std::string_view bytes);
  void Bury(Link* link);

  FdPoller* m_poller;
  Scheduler* m_scheduler;
  Address m_server;
  Address m_address;
  int m_listener = -1;
  ProxyMode m_mode = ProxyMode::kPass;
  Duration m_delay{};
  std::list<std::shared_ptr<Link>> m_links;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_SOAK_LOOPBACK_PROXY_H_
