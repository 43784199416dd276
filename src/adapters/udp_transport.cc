#include "adapters/udp_transport.h"

#include <string_view>
#include <utility>
#include <variant>

namespace chicoryvale {
namespace {

constexpr std::string_view kDatagramContext = "chicoryvale datagram";
/// Maximum number of datagrams to receive before other sources of the event
/// loop are dispatched.
constexpr int kMaxDatagramsPerBatch = 64;

}  // namespace

Result<std::unique_ptr<UdpTransport>> UdpTransport::Make(UdpOptions options) {
  if (options.key.empty()) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "a datagram transport requires a key");
  }
  std::unique_ptr<UdpTransport> transport(new UdpTransport(std::move(options)));
  const Result<std::monostate> bound = transport->Bind();
  if (!bound) return tl::unexpected(bound.error());
  return transport;
}

UdpTransport::UdpTransport(UdpOptions options)
    : m_options(std::move(options)),
      m_auth(m_options.key),
      // Receiving truncates a datagram to the size of the buffer. The
      // additional byte allows a datagram that is too large to be detected.
      m_buffer(FrameAuth::kOverheadBytes + m_options.max_payload_bytes + 1) {}

Result<std::monostate> UdpTransport::Bind() {
  auto address = ToSocketAddress(m_options.bind);
  if (!address) return tl::unexpected(address.error());
  GError* error = nullptr;
  m_socket.reset(g_socket_new(g_socket_address_get_family(address->get()),
                              G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP,
                              &error));
  if (m_socket == nullptr ||
      g_socket_bind(m_socket.get(), address->get(), FALSE, &error) == 0) {
    const GErrorPtr owned_error(error);
    return MakeError(ErrorKind::kUpstreamUnavailable,
                     m_options.bind.host_port + ": " + owned_error->message);
  }
  g_socket_set_blocking(m_socket.get(), FALSE);
  const GObjectPtr<GSocketAddress> local(
      g_socket_get_local_address(m_socket.get(), nullptr));
  m_local = FromSocketAddress(local.get());
  m_source = g_socket_create_source(m_socket.get(), G_IO_IN, nullptr);
  g_source_set_callback(m_source, G_SOURCE_FUNC(&OnReadable), this, nullptr);
  g_source_attach(m_source, g_main_context_get_thread_default());
  return std::monostate{};
}

UdpTransport::~UdpTransport() {
  if (m_source == nullptr) return;
  g_source_destroy(m_source);
  g_source_unref(m_source);
}

void UdpTransport::OnSend(const Address& to, std::string payload) {
  if (m_options.refused_peers.contains(to)) {
    return m_counters.Add(PeerCounter::kRefusedPeer);
  }
  if (payload.size() > m_options.max_payload_bytes) {
    return m_counters.Add(PeerCounter::kTooLarge);
  }
  auto address = ToSocketAddress(to);
  if (!address) return m_counters.Add(PeerCounter::kMalformed);
  const std::string frame = m_auth.Seal(payload, kDatagramContext);
  GError* error = nullptr;
  const gssize sent =
      g_socket_send_to(m_socket.get(), address->get(), frame.data(),
                       frame.size(), nullptr, &error);
  const GErrorPtr owned_error(error);
  // If the send buffer is full or the peer is unreachable, the datagram is
  // lost, which the port allows.
  if (sent < 0) return m_counters.Add(PeerCounter::kSendFailed);
  m_counters.Add(PeerCounter::kFramesSent);
  m_counters.Add(PeerCounter::kBytesSent, frame.size());
}

void UdpTransport::OnSetReceiver(Receiver receiver) {
  m_receiver = std::move(receiver);
}

gboolean UdpTransport::OnReadable(GSocket* /*socket*/,
                                  GIOCondition /*condition*/, gpointer data) {
  static_cast<UdpTransport*>(data)->ReceiveBatch();
  return G_SOURCE_CONTINUE;
}

void UdpTransport::ReceiveBatch() {
  for (int i = 0; i < kMaxDatagramsPerBatch; ++i) {
    GSocketAddress* address = nullptr;
    GError* error = nullptr;
    const gssize size =
        g_socket_receive_from(m_socket.get(), &address, m_buffer.data(),
                              m_buffer.size(), nullptr, &error);
    const GErrorPtr owned_error(error);
    const GObjectPtr<GSocketAddress> owned_address(address);
    if (size < 0) return;
    m_counters.Add(PeerCounter::kBytesReceived,
                   static_cast<std::uint64_t>(size));
    HandleDatagram(
        FromSocketAddress(address),
        std::string_view(m_buffer.data(), static_cast<std::size_t>(size)));
  }
}

void UdpTransport::HandleDatagram(const Address& from, std::string_view bytes) {
  if (m_options.refused_peers.contains(from)) {
    return m_counters.Add(PeerCounter::kRefusedPeer);
  }
  if (bytes.size() == m_buffer.size()) {
    return m_counters.Add(PeerCounter::kTooLarge);
  }
  const OpenedFrame frame =
      m_auth.Open(bytes, kDatagramContext, m_options.max_payload_bytes);
  if (frame.status == FrameStatus::kIncomplete) {
    return m_counters.Add(PeerCounter::kTruncated);
  }
  if (frame.status != FrameStatus::kAccepted) {
    return CountRejectedFrame(frame.status, &m_counters);
  }
  if (frame.frame_size != bytes.size()) {
    return m_counters.Add(PeerCounter::kBadLength);
  }
  m_counters.Add(PeerCounter::kFramesReceived);
  if (m_receiver) m_receiver(from, std::string(frame.payload));
}

}  // namespace chicoryvale
