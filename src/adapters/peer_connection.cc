#include "adapters/peer_connection.h"

#include <cassert>
#include <random>
#include <utility>

#include "base/codec.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kMaxGreetingBytes = 512;
constexpr std::string_view kGreetingContext = "chicoryvale greeting";

/// Handshake message: the first frame in each direction.
struct Greeting {
  std::string nonce;
  Address advertised;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(nonce, advertised.host_port);
  }
};

std::string MakeNonce() {
  std::random_device device;
  std::string nonce(kNonceBytes, '\0');
  for (char& byte : nonce) byte = static_cast<char>(device());
  return nonce;
}

}  // namespace

PeerConnection::PeerConnection(PeerConnectionOptions options, Role role,
                               Callbacks callbacks)
    : m_options(std::move(options)),
      m_role(role),
      m_callbacks(std::move(callbacks)),
      m_own_nonce(MakeNonce()) {}

PeerConnection::~PeerConnection() {
  // A closed connection has no timer and may outlive the scheduler, which must
  // not be used then.
  if (m_handshake_timer != 0) m_options.scheduler->Cancel(m_handshake_timer);
}

void PeerConnection::Connect(const Address& to) {
  assert(m_role == Role::kInitiator);
  StartHandshakeTimer();
  m_socket = StreamSocket::Connect(m_options.poller, to, this);
  if (m_socket == nullptr) Close();
}

void PeerConnection::Accept(int fd) {
  assert(m_role == Role::kAcceptor);
  StartHandshakeTimer();
  m_socket = StreamSocket::Adopt(m_options.poller, fd, this);
  if (m_socket == nullptr) return Close();
  m_connected = true;
  SendGreeting();
}

void PeerConnection::StartHandshakeTimer() {
  m_handshake_timer =
      m_options.scheduler->Schedule(m_options.handshake_timeout, [this] {
        m_options.counters->Add(PeerCounter::kHandshakeTimeout);
        Close();
      });
}

void PeerConnection::OnConnected() {
  m_connected = true;
  SendGreeting();
}

void PeerConnection::SendGreeting() {
  m_last_receive_time = m_options.scheduler->Now();
  const Greeting greeting{m_own_nonce, m_options.advertised};
  Write(m_options.auth->Seal(Encode(greeting), kGreetingContext));
}

bool PeerConnection::Send(std::string_view payload) {
  if (!IsReady()) return false;
  if (m_socket->UnsentBytes() + payload.size() > m_options.max_queued_bytes) {
    m_options.counters->Add(PeerCounter::kQueueFull);
    Close();
    return false;
  }
  Write(m_options.auth->Seal(payload, FrameContext(true, m_sent_frames++)));
  return true;
}

void PeerConnection::Close() {
  if (m_closing) return;
  m_closing = true;
  m_options.scheduler->Cancel(std::exchange(m_handshake_timer, 0));
  m_socket.reset();
  m_options.scheduler->Schedule(Duration::zero(), [self = shared_from_this()] {
    if (!std::exchange(self->m_detached, true)) self->m_callbacks.on_closed();
  });
}

void PeerConnection::Detach() {
  m_detached = true;
  Close();
}

void PeerConnection::OnBytes(std::string_view bytes) {
  // A callback of the owner may release its reference to this connection.
  const auto self = shared_from_this();
  m_last_receive_time = m_options.scheduler->Now();
  m_options.counters->Add(PeerCounter::kBytesReceived, bytes.size());
  m_input.append(bytes);
  if (!ParseInput()) Close();
}

void PeerConnection::OnEnd(StreamEnd /*end*/) {
  if (!m_connected) m_options.counters->Add(PeerCounter::kConnectFailed);
  if (!m_input.empty()) m_options.counters->Add(PeerCounter::kTruncated);
  Close();
}

bool PeerConnection::ParseInput() {
  std::size_t parsed = 0;
  while (!m_closing) {
    const std::string_view input = m_input;
    const std::string context = m_ready ? FrameContext(false, m_received_frames)
                                        : std::string{kGreetingContext};
    const std::size_t max_bytes =
        m_ready ? m_options.max_payload_bytes : kMaxGreetingBytes;
    const OpenedFrame frame =
        m_options.auth->Open(input.substr(parsed), context, max_bytes);
    if (frame.status == FrameStatus::kIncomplete) break;
    if (frame.status != FrameStatus::kAccepted) {
      CountRejectedFrame(frame.status, m_options.counters);
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
  ++m_received_frames;
  if (!m_detached) m_callbacks.on_frame(std::string(payload));
  return true;
}

bool PeerConnection::HandleGreeting(std::string_view payload) {
  Greeting greeting;
  // Rejects a greeting that was reflected to its sender: it has the sender's
  // own nonce.
  if (!Decode(payload, &greeting) || greeting.nonce.size() != kNonceBytes ||
      greeting.nonce == m_own_nonce) {
    m_options.counters->Add(PeerCounter::kMalformed);
    return false;
  }
  m_peer_nonce = greeting.nonce;
  m_ready = true;
  m_options.scheduler->Cancel(std::exchange(m_handshake_timer, 0));
  if (!m_detached) m_callbacks.on_ready(greeting.advertised);
  return true;
}

std::string PeerConnection::FrameContext(bool sending,
                                         std::uint64_t sequence_number) const {
  const bool initiator = m_role == Role::kInitiator;
  std::string context =
      initiator ? m_own_nonce + m_peer_nonce : m_peer_nonce + m_own_nonce;
  context.push_back(initiator == sending ? 'i' : 'a');
  context += Encode(sequence_number);
  return context;
}

void PeerConnection::Write(std::string_view frame) {
  m_options.counters->Add(PeerCounter::kFramesSent);
  m_options.counters->Add(PeerCounter::kBytesSent, frame.size());
  m_socket->Write(frame);
}

}  // namespace chicoryvale
