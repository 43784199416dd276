#include "chicory-controld/control_daemon.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "adapters/log.h"
#include "config/config_puller.h"
#include "endpoint/metrics_page.h"

namespace chicoryvale {
namespace {

ReplicaOptions MakeReplicaOptions(const ControlSettings& settings,
                                  const Address& self) {
  ReplicaOptions options;
  options.address = self;
  std::ranges::transform(settings.group,
                         std::back_inserter(options.initial_members),
                         [](const std::string& text) { return Address{text}; });
  if (options.initial_members.empty()) options.initial_members = {self};
  options.may_form_group = settings.may_form_group;
  std::random_device device;
  constexpr int kHalfBits = 32;
  options.seed = (std::uint64_t{device()} << kHalfBits) | device();
  return options;
}

}  // namespace

ControlDaemon::ControlDaemon(ControlSettings settings)
    : m_settings(std::move(settings)) {}

ControlDaemon::~ControlDaemon() = default;

ExitCode ControlDaemon::Run() {
  InitLog("chicory-controld", m_settings.log_level);
  if (auto started = Start(); !started) {
    Log(LogLevel::kError, "start_failed",
        {{"reason", started.error().message}});
    return ExitCode::kRunFailed;
  }
  return m_loop.Run({{"operators", m_operators->LocalAddress().host_port},
                     {"peers", m_peers->LocalAddress().host_port},
                     {"metrics", m_metrics->LocalAddress().host_port}},
                    Shutdown());
}

Result<void> ControlDaemon::Start() {
  if (auto ok = StartPeers(); !ok) return ok;
  if (auto ok = StartReplica(); !ok) return ok;
  if (auto ok = StartOperators(); !ok) return ok;
  return StartMetrics();
}

Result<void> ControlDaemon::StartPeers() {
  TcpPeerOptions options;
  options.bind = {m_settings.listen_peers};
  options.key = m_settings.peer_key;
  options.scheduler = &m_scheduler;
  auto peers = TcpPeerTransport::Make(std::move(options));
  if (!peers) return tl::unexpected(peers.error());
  m_peers = std::move(*peers);
  return {};
}

Result<void> ControlDaemon::StartReplica() {
  auto storage = DiskStorage::Make(m_settings.data_folder);
  if (!storage) return tl::unexpected(storage.error());
  m_storage = std::move(*storage);
  m_replication = std::make_unique<PeerReplicationTransport>(m_peers.get());
  auto node =
      ReplicaNode::Make(MakeReplicaOptions(m_settings, m_peers->LocalAddress()),
                        {.scheduler = &m_scheduler,
                         .storage = m_storage.get(),
                         .transport = m_replication.get(),
                         .state_machine = &m_state});
  if (!node) return tl::unexpected(node.error());
  m_node = std::move(*node);
  m_node->SetFailureCallback(
      [this](const Error& error) { OnStorageFailed(error); });
  m_claims =
      std::make_unique<ClaimService>(m_node.get(), &m_clock, m_peers.get());
  m_group = std::make_unique<ReplicatedControlGroup>(m_node.get(), &m_state);
  ServeConfig(m_peers.get(), [this]() -> const ClusterConfig& {
    return m_state.Config().Config();
  });
  return {};
}

void ControlDaemon::OnStorageFailed(const Error& error) {
  Log(LogLevel::kError, "storage_failed", {{"reason", error.message}});
  m_loop.Fail();
}

Result<void> ControlDaemon::StartOperators() {
  SoupHttpServerOptions options;
  options.bind = {m_settings.listen_operators};
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_operators = std::move(*server);
  m_endpoint = std::make_unique<OperatorEndpoint>(m_group.get(),
                                                  m_settings.operator_token);
  m_operators->SetHandler(
      [this](const HttpRequest& request, HttpResponder respond) {
        m_endpoint->Handle(request, std::move(respond));
      });
  return {};
}

Result<void> ControlDaemon::StartMetrics() {
  SoupHttpServerOptions options;
  options.bind = {m_settings.listen_metrics};
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_metrics = std::move(*server);
  m_metrics->SetHandler(
      [this](const HttpRequest&, const HttpResponder& respond) {
        respond(MetricsResponse());
      });
  return {};
}

HttpResponse ControlDaemon::MetricsResponse() const {
  return MetricsPage()
      .AddValue("control", "config_version", m_state.Config().Config().version)
      .Add("refused", m_endpoint->Errors())
      .Add("peer", m_peers->counters())
      .Add("control", m_node->Counters())
      .Response();
}

ShutdownSteps ControlDaemon::Shutdown() {
  ShutdownSteps steps;
  steps.stop_ready = [] {};
  steps.linger = m_settings.linger;
  steps.stop_accepting = [this] {
    m_endpoint->StopAccepting();
    m_operators->StopAccepting();
  };
  steps.in_flight = [this] { return m_operators->InFlight(); };
  return steps;
}

}  // namespace chicoryvale
