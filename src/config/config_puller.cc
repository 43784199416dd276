#include "config/config_puller.h"

#include <cassert>
#include <utility>

#include "base/codec.h"

namespace chicoryvale {
namespace {

constexpr Duration kAskInterval = milliseconds(200);
constexpr Duration kAskTimeout = milliseconds(1000);

}  // namespace

ConfigPuller::ConfigPuller(Scheduler* scheduler, PeerTransport* peers,
                           std::vector<Address> control, Callback callback)
    : m_scheduler(scheduler),
      m_peers(peers),
      m_control(std::move(control)),
      m_callback(std::move(callback)) {
  assert(!m_control.empty());
}

ConfigPuller::~ConfigPuller() { m_scheduler->Cancel(m_timer); }

void ConfigPuller::Ask() {
  m_peers->Call(
      m_control[m_next], PeerChannel::kConfig, Encode(m_version), kAskTimeout,
      [this](const Result<std::string>& answer) { OnAnswer(answer); });
}

void ConfigPuller::OnAnswer(const Result<std::string>& answer) {
  if (!answer) m_next = (m_next + 1) % m_control.size();
  ClusterConfig config;
  if (answer && !answer->empty() && DecodeConfig(*answer, &config) &&
      config.version > m_version) {
    m_version = config.version;
    m_callback(config);
  }
  m_timer = m_scheduler->Schedule(kAskInterval, [this] { Ask(); });
}

void ServeConfig(PeerTransport* peers,
                 std::function<const ClusterConfig&()> source) {
  peers->SetHandler(
      PeerChannel::kConfig,
      [source = std::move(source)](const Address&, const std::string& request,
                                   const PeerTransport::Responder& respond) {
        std::uint64_t version = 0;
        const bool known = Decode(request, &version);
        const ClusterConfig& config = source();
        const bool newer = known && config.version > version;
        respond(newer ? EncodeConfig(config) : std::string());
      });
}

}  // namespace chicoryvale
