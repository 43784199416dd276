#include "chicory-controld/control_daemon.h"

#include <utility>

#include "adapters/log.h"
#include "config/config_puller.h"
#include "endpoint/metrics_page.h"

namespace chicoryvale {

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
  m_group = std::make_unique<LocalControlGroup>(m_peers->LocalAddress());
  ServeConfig(m_peers.get(),
              [this]() -> const ClusterConfig& { return m_group->Config(); });
  return {};
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
      .AddValue("control", "config_version", m_group->Config().version)
      .Add("refused", m_endpoint->Errors())
      .Add("peer", m_peers->counters())
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
