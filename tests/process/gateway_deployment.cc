#include "process/gateway_deployment.h"

#include <unistd.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "fakes/raw_socket.h"
#include "process/cluster.h"

namespace chicoryvale {
namespace {

constexpr std::string_view kConfig = R"({"version":1,"routes":[
 {"name":"once","host":"h","pathPrefix":"/once/","routeType":"unsafe",
  "timeoutMs":20000,"targetLatencyMs":500,"priority":1,"backend":"s",
  "maxAttempts":2},
 {"name":"many","host":"h","pathPrefix":"/many/","routeType":"safe",
  "timeoutMs":20000,"targetLatencyMs":500,"priority":1,"backend":"s",
  "maxAttempts":2}],
 "backends":[{"name":"s","healthPath":"/health","maxConnections":50,
  "protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr char kKeys[] =
    "[keys]\npeer_key = \"test-key-0123456789abcdef0123456789\"\n";

const Address kAnyPort = {"127.0.0.1:0"};

/// Host number of the first control process; those of the others follow.
constexpr int kControlHost = 100;
constexpr int kMaxControls = 10;
/// Host number of the first gateway.
constexpr int kGatewayHost = kControlHost + kMaxControls;
/// Maximum number of control processes that settings name.
constexpr int kMaxNamedControls = 3;

std::string Exchange(const Address& server, const std::string& request) {
  RawSocket connection(server);
  connection.Send(request);
  return connection.ReceiveAll();
}

}  // namespace

HttpResponse GatewayDeployment::SoundAnswer(const HttpRequest& request) {
  HttpResponse response;
  response.headers = {{"Chicoryvale-Request-Id",
                       FindHeader(request.headers, "Chicoryvale-Request-Id")},
                      {"Chicoryvale-Server-Stamp", "mac"}};
  return response;
}

GatewayDeployment::GatewayDeployment(
    const std::vector<std::string>& replica_ids, const ReplicaHandler& handler,
    ShutdownTimes times)
    : m_handler(handler), m_times(times) {
  for (const std::string& id : replica_ids) StartReplica(id, kAnyPort);
  m_list_server = MakeServer(kAnyPort);
  m_list_server->SetHandler(
      [this](const HttpRequest&, const HttpResponder& respond) {
        HttpResponse response;
        response.body = ReplicaListJson();
        respond(response);
      });
}

std::unique_ptr<BeastHttpServer> GatewayDeployment::MakeServer(
    const Address& address) {
  BeastHttpServerOptions options;
  options.poller = &m_poller;
  options.scheduler = &m_scheduler;
  options.bind = address;
  return std::move(*BeastHttpServer::Make(options));
}

void GatewayDeployment::StartReplica(const std::string& replica_id,
                                     const Address& address) {
  Replica& replica = m_replicas[replica_id];
  replica.server = MakeServer(address);
  replica.address = replica.server->LocalAddress();
  replica.server->SetHandler([this, replica_id](const HttpRequest& request,
                                                const HttpResponder& respond) {
    m_handler(replica_id, request, respond);
  });
}

void GatewayDeployment::CrashReplica(const std::string& replica_id,
                                     Duration downtime) {
  // A server must not be destroyed by its own handler.
  m_scheduler.Schedule(Duration::zero(), [this, replica_id] {
    m_replicas.at(replica_id).server.reset();
  });
  m_scheduler.Schedule(downtime, [this, replica_id] {
    StartReplica(replica_id, m_replicas.at(replica_id).address);
  });
}

std::string GatewayDeployment::ReplicaListJson() const {
  std::string entries;
  for (const auto& [id, replica] : m_replicas) {
    if (!entries.empty()) entries += ",";
    entries += R"({"id":")" + id + R"(","backend":"s","address":")" +
               replica.address.host_port +
               R"(","zone":"a","version":"v1","slots":50,"state":"ready",)"
               R"("warmupLeftMs":0})";
  }
  return R"({"instances":[)" + entries + R"(],"nextPageToken":null})";
}

std::string GatewayDeployment::PeerAddress(int host) {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid % 250) + "." +
         std::to_string(1 + pid / 250 % 250) + "." + std::to_string(host) +
         ":7000";
}

void GatewayDeployment::Start(int gateways, int controls) {
  m_controls.resize(static_cast<std::size_t>(controls));
  for (int i = 0; i < controls; ++i) StartControl(i, controls);
  Deploy(std::string(kConfig));
  m_gateways.resize(static_cast<std::size_t>(gateways));
  for (int i = 0; i < gateways; ++i) StartGateway(i);
}

std::string GatewayDeployment::NamedControls(int controls) {
  std::string text;
  for (int i = 0; i < std::min(controls, kMaxNamedControls); ++i) {
    if (!text.empty()) text += ", ";
    text += '"' + PeerAddress(kControlHost + i) + '"';
  }
  return text;
}

void GatewayDeployment::StartControl(int index, int controls) {
  const std::string name = "control" + std::to_string(index);
  m_controls.at(static_cast<std::size_t>(index)) = std::make_unique<Process>(
      "chicory-controld", name, m_folder.Path(),
      m_added_settings + "availability_zone = \"a\"\ndata_folder = \"" +
          m_folder.Path() + "/data-" + name + "\"\n[listen]\npeers = \"" +
          PeerAddress(kControlHost + index) +
          "\"\nmetrics = \"127.0.0.1:0\"\nrouting = \"127.0.0.1:0\"\n" + kKeys +
          "[group]\nmembers = [" + NamedControls(controls) +
          "]\nmay_form = true\nkeep_members = true\n");
}

void GatewayDeployment::Deploy(const std::string& text, int control) const {
  const Process& process = *m_controls.at(static_cast<std::size_t>(control));
  WaitFor([&process, &text] {
    return Exchange({process.AddressOf("routing")},
                    "PUT /config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
                    "Content-Type: application/json\r\nContent-Length: " +
                        std::to_string(text.size()) + "\r\n\r\n" + text)
        .starts_with("HTTP/1.1 200");
  });
}

void GatewayDeployment::StartGateway(int index) {
  m_gateways.at(static_cast<std::size_t>(index)) = std::make_unique<Process>(
      "chicory-gatewayd", "gateway" + std::to_string(index), m_folder.Path(),
      m_added_settings + "availability_zone = \"a\"\n[listen]\npeers = \"" +
          PeerAddress(kGatewayHost + index) +
          "\"\nmetrics = \"127.0.0.1:0\"\ncallers = \"127.0.0.1:0\"\n"
          "ready = \"127.0.0.1:0\"\n" +
          kKeys + "[control]\naddresses = [" +
          NamedControls(static_cast<int>(m_controls.size())) +
          "]\n[platform]\nreplica_list = \"" +
          m_list_server->LocalAddress().host_port +
          "\"\n[repeats]\nratio = 0.2\nwindow_ms = 10000\nfixed = 100\n"
          "[shutdown]\nlinger_ms = " +
          std::to_string(m_times.linger.count()) +
          "\ngrace_ms = " + std::to_string(m_times.grace.count()) + "\n");
  WaitFor([this, index] { return Readiness(index) == 200; });
}

int GatewayDeployment::Readiness(int index) const {
  const Process& gateway = *m_gateways.at(static_cast<std::size_t>(index));
  const std::string answer =
      Exchange({gateway.AddressOf("ready")},
               "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
  constexpr std::size_t kStatusPosition = 9;
  return answer.size() > kStatusPosition
             ? std::atoi(answer.c_str() + kStatusPosition)
             : 0;
}

std::string GatewayDeployment::RequestBytes(const std::string& route,
                                            const std::string& id) {
  return "GET /" + route +
         "/x HTTP/1.1\r\nHost: h\r\n"
         "Chicoryvale-Request-Id: " +
         id + "\r\nChicoryvale-Deadline-Ms: 15000\r\n\r\n";
}

std::string GatewayDeployment::Call(int gateway, const std::string& route,
                                    const std::string& id) const {
  std::string request = RequestBytes(route, id);
  request.insert(request.size() - 2, "Connection: close\r\n");
  return Exchange(CallerAddress(gateway), request);
}

}  // namespace chicoryvale
