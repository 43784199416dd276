#include "soak/loopback_proxy.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace chicoryvale {
namespace {

/// The proxy's socket to one end of a link.
class LinkEndpoint : public StreamListener {
 public:
  std::function<void(std::string_view)> on_bytes;
  std::function<void()> on_end;
  std::unique_ptr<StreamSocket> socket;

  void OnBytes(std::string_view bytes) override { on_bytes(bytes); }
  void OnEnd(StreamEnd /*end*/) override { on_end(); }
};

}  // namespace

/// A caller's connection and the proxy's connection to the server for it.
struct LoopbackProxy::Link {
  LinkEndpoint caller;
  LinkEndpoint server;
  /// Bytes in both directions are dropped.
  bool silent = false;
};

LoopbackProxy::LoopbackProxy(FdPoller* poller, Scheduler* scheduler,
                             Address server)
    : m_poller(poller),
      m_scheduler(scheduler),
      m_server(std::move(server)),
      m_listen_fd(
          socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  const bool is_listening =
      bind(m_listen_fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      listen(m_listen_fd, SOMAXCONN) == 0;
  EXPECT_TRUE(is_listening);
  getsockname(m_listen_fd, reinterpret_cast<sockaddr*>(&address), &size);
  m_local_address.host_port =
      "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  m_poller->Add(m_listen_fd, EPOLLIN, [this](std::uint32_t) { Accept(); });
}

LoopbackProxy::~LoopbackProxy() {
  m_poller->Remove(m_listen_fd);
  close(m_listen_fd);
}

void LoopbackProxy::SetMode(ProxyMode mode, Duration delay) {
  m_mode = mode;
  m_delay = delay;
  const bool silences_open_links = mode == ProxyMode::kSilenceOpenConnections ||
                                   mode == ProxyMode::kSilenceAllConnections;
  if (!silences_open_links) return;
  for (const auto& link : m_links) link->silent = true;
}

void LoopbackProxy::CloseAllConnections() { m_links.clear(); }

void LoopbackProxy::Accept() {
  while (true) {
    const int fd =
        accept4(m_listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto link = std::make_shared<Link>();
    Link* link_pointer = link.get();
    link->silent = m_mode == ProxyMode::kSilenceAllConnections;
    link->caller.on_bytes = [this, link_pointer](std::string_view bytes) {
      Forward(link_pointer, false, bytes);
    };
    link->server.on_bytes = [this, link_pointer](std::string_view bytes) {
      Forward(link_pointer, true, bytes);
    };
    link->caller.on_end = [this, link_pointer] { CloseLink(link_pointer); };
    link->server.on_end = link->caller.on_end;
    link->caller.socket = StreamSocket::Adopt(m_poller, fd, &link->caller);
    link->server.socket =
        StreamSocket::Connect(m_poller, m_server, &link->server);
    if (link->caller.socket && link->server.socket) m_links.push_back(link);
  }
}

void LoopbackProxy::Forward(Link* link, bool from_server,
                            std::string_view bytes) {
  const bool is_dropped =
      link->silent || (from_server && m_mode == ProxyMode::kDropServerBytes);
  if (is_dropped) return;
  LinkEndpoint& receiver = from_server ? link->caller : link->server;
  if (m_mode != ProxyMode::kDelay) return receiver.socket->Write(bytes);
  const auto found =
      std::ranges::find(m_links, link, &std::shared_ptr<Link>::get);
  m_scheduler->Schedule(m_delay,
                        [weak_link = std::weak_ptr<Link>(*found), from_server,
                         delayed_bytes = std::string(bytes)] {
                          const auto open_link = weak_link.lock();
                          if (!open_link) return;
                          (from_server ? open_link->caller : open_link->server)
                              .socket->Write(delayed_bytes);
                        });
}

// A socket of the link may be calling, so the link is destroyed later, by the
// scheduler.
void LoopbackProxy::CloseLink(Link* link) {
  const auto found =
      std::ranges::find(m_links, link, &std::shared_ptr<Link>::get);
  if (found == m_links.end()) return;
  m_scheduler->Schedule(Duration::zero(), [closed_link = std::move(*found)] {});
  m_links.erase(found);
}

}  // namespace chicoryvale
