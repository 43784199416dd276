#include "adapters/peer_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cassert>
#include <random>
#include <utility>

#include "base/codec.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kChunkBytes = 16'384;
constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kMaxGreetingBytes = 512;
constexpr std::string_view kGreetingContext = "chicoryvale greeting";

/// First frame of each direction.
struct Greeting {
  std::string nonce;
  Address advertised;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(nonce, advertised.host_port);
  }
};

std::string NewNonce() {
  std::random_device device;
  std::string nonce(kNonceBytes, '\0');
  for (char& byte : nonce) byte = static_cast<char>(device());
  return nonce;
}

}  // namespace

/// Keeps the connection alive while GIO works for it.
struct PeerConnection::Operation {
  std::shared_ptr<PeerConnection> connection;
};

PeerConnection::PeerConnection(PeerConnectionOptions options, Role role,
                               Events events)
    : m_options(std::move(options)),
      m_role(role),
      m_events(std::move(events)),
      m_cancellable(g_cancellable_new()),
      m_own_nonce(NewNonce()),
      m_chunk(kChunkBytes) {}

PeerConnection::~PeerConnection() {
  // GIO may hold a closed connection longer than the scheduler lives.
  if (m_handshake_timer != 0) m_options.scheduler->Cancel(m_handshake_timer);
}

void PeerConnection::Connect(GSocketAddress* to) {
  assert(m_role == Role::kInitiator);
  m_handshake_timer =
      m_options.scheduler->Schedule(m_options.handshake_timeout, [this] {
        m_options.counters->Add(PeerCounter::kHandshakeTimeout);
        Close();
      });
  GError* error = nullptr;
  GObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(to),
                                          G_SOCKET_TYPE_STREAM,
                                          G_SOCKET_PROTOCOL_TCP, &error));
  if (socket == nullptr) {
    const GErrorPtr owned(error);
    return Close();
  }
  m_connection.reset(
      g_socket_connection_factory_create_connection(socket.get()));
  g_socket_connection_connect_async(m_connection.get(), to, m_cancellable.get(),
                                    &ConnectDone,
                                    new Operation{shared_from_this()});
}

void PeerConnection::ConnectDone(GObject* source, GAsyncResult* result,
                                 gpointer data) {
  const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
  PeerConnection& self = *operation->connection;
  GError* error = nullptr;
  const bool connected = g_socket_connection_connect_finish(
      G_SOCKET_CONNECTION(source), result, &error);
  const GErrorPtr owned(error);
  if (self.m_closing) return;
  if (!connected) {
    self.m_options.counters->Add(PeerCounter::kConnectFailed);
    return self.Close();
  }
  self.Begin(self.m_connection.get());
}

void PeerConnection::Accept(GSocketConnection* connection) {
  assert(m_role == Role::kAcceptor);
  m_connection.reset(G_SOCKET_CONNECTION(g_object_ref(connection)));
  m_handshake_timer =
      m_options.scheduler->Schedule(m_options.handshake_timeout, [this] {
        m_options.counters->Add(PeerCounter::kHandshakeTimeout);
        Close();
      });
  Begin(connection);
}

void PeerConnection::Begin(GSocketConnection* connection) {
  g_socket_set_option(g_socket_connection_get_socket(connection), IPPROTO_TCP,
                      TCP_NODELAY, 1, nullptr);
  m_last_received = m_options.scheduler->Now();
  const Greeting greeting{m_own_nonce, m_options.advertised};
  Queue(m_options.auth->Seal(Encode(greeting), kGreetingContext));
  ReadMore();
}

bool PeerConnection::Send(std::string_view payload) {
  if (!ready()) return false;
  if (m_queued.size() + payload.size() > m_options.max_queued_bytes) {
    m_options.counters->Add(PeerCounter::kQueueFull);
    Close();
    return false;
  }
  Queue(m_options.auth->Seal(payload, Context(true, m_sent++)));
  return true;
}

void PeerConnection::Close() {
  if (m_closing) return;
  m_closing = true;
  m_options.scheduler->Cancel(std::exchange(m_handshake_timer, 0));
  g_cancellable_cancel(m_cancellable.get());
  if (m_connection != nullptr) {
    // GIO closes the socket when its last operation has ended.
    g_socket_shutdown(g_socket_connection_get_socket(m_connection.get()), TRUE,
                      TRUE, nullptr);
    m_connection.reset();
  }
  m_options.scheduler->Schedule(Duration::zero(), [self = shared_from_this()] {
    if (!std::exchange(self->m_muted, true)) self->m_events.closed();
  });
}

void PeerConnection::Detach() {
  m_muted = true;
  Close();
}

void PeerConnection::ReadMore() {
  GInputStream* input =
      g_io_stream_get_input_stream(G_IO_STREAM(m_connection.get()));
  g_input_stream_read_async(input, m_chunk.data(), m_chunk.size(),
                            G_PRIORITY_DEFAULT, m_cancellable.get(), &ReadDone,
                            new Operation{shared_from_this()});
}

void PeerConnection::ReadDone(GObject* source, GAsyncResult* result,
                              gpointer data) {
  const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
  GError* error = nullptr;
  const gssize count =
      g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
  const GErrorPtr owned(error);
  if (!operation->connection->m_closing) operation->connection->OnRead(count);
}

void PeerConnection::OnRead(gssize count) {
  if (count <= 0) {
    if (!m_input.empty()) m_options.counters->Add(PeerCounter::kTruncated);
    return Close();
  }
  m_last_received = m_options.scheduler->Now();
  m_options.counters->Add(PeerCounter::kBytesReceived,
                          static_cast<std::uint64_t>(count));
  m_input.append(m_chunk.data(), static_cast<std::size_t>(count));
  if (!ParseInput()) return Close();
  if (!m_closing) ReadMore();
}

bool PeerConnection::ParseInput() {
  std::size_t parsed = 0;
  while (!m_closing) {
    const std::string_view input = m_input;
    const std::string context =
        m_ready ? Context(false, m_received) : std::string{kGreetingContext};
    const std::size_t limit =
        m_ready ? m_options.max_payload_bytes : kMaxGreetingBytes;
    const OpenedFrame frame =
        m_options.auth->Open(input.substr(parsed), context, limit);
    if (frame.verdict == FrameVerdict::kIncomplete) break;
    if (frame.verdict != FrameVerdict::kAccepted) {
      CountRefusal(frame.verdict, m_options.counters);
      return false;
    }
    m_options.counters->Add(PeerCounter::kFramesReceived);
    parsed += frame.frame_size;
    if (!HandleFrame(frame.payload)) return false;
  }
  m_input.erase(0, parsed);
  if (m_input.empty()) m_input.shrink_to_fit();
  return true;
}

bool PeerConnection::HandleFrame(std::string_view payload) {
  if (!m_ready) return HandleGreeting(payload);
  ++m_received;
  if (!m_muted) m_events.frame(std::string(payload));
  return true;
}

bool PeerConnection::HandleGreeting(std::string_view payload) {
  Greeting greeting;
  // A greeting that comes back to its sender has the sender's own nonce.
  if (!Decode(payload, &greeting) || greeting.nonce.size() != kNonceBytes ||
      greeting.nonce == m_own_nonce) {
    m_options.counters->Add(PeerCounter::kMalformed);
    return false;
  }
  m_peer_nonce = greeting.nonce;
  m_ready = true;
  m_options.scheduler->Cancel(std::exchange(m_handshake_timer, 0));
  if (!m_muted) m_events.ready(greeting.advertised);
  return true;
}

std::string PeerConnection::Context(bool sending, std::uint64_t number) const {
  const bool initiator = m_role == Role::kInitiator;
  std::string context =
      initiator ? m_own_nonce + m_peer_nonce : m_peer_nonce + m_own_nonce;
  context.push_back(initiator == sending ? 'i' : 'a');
  context += Encode(number);
  return context;
}

void PeerConnection::Queue(std::string_view frame) {
  m_options.counters->Add(PeerCounter::kFramesSent);
  m_options.counters->Add(PeerCounter::kBytesSent, frame.size());
  m_queued += frame;
  if (m_writing.empty()) WriteMore();
}

void PeerConnection::WriteMore() {
  m_writing = std::exchange(m_queued, {});
  GOutputStream* output =
      g_io_stream_get_output_stream(G_IO_STREAM(m_connection.get()));
  g_output_stream_write_all_async(
      output, m_writing.data(), m_writing.size(), G_PRIORITY_DEFAULT,
      m_cancellable.get(), &WriteDone, new Operation{shared_from_this()});
}

void PeerConnection::WriteDone(GObject* source, GAsyncResult* result,
                               gpointer data) {
  const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
  GError* error = nullptr;
  const bool ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source),
                                                   result, nullptr, &error);
  const GErrorPtr owned(error);
  if (!operation->connection->m_closing) operation->connection->OnWritten(ok);
}

void PeerConnection::OnWritten(bool ok) {
  m_writing.clear();
  if (!ok) return Close();
  if (!m_queued.empty()) WriteMore();
}

}  // namespace chicoryvale
