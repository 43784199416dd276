#include "process/cluster.h"

#include <gtest/gtest.h>
#include <libsoup/soup.h>
#include <poll.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace chicoryvale {
namespace {

constexpr char kSecret[] = "secret-of-the-process-tests-0123456789abcdef";
constexpr guint kCallTimeoutSeconds = 20;
constexpr int kPollIntervalMs = 10;

HttpAnswer Send(SoupMessage* message) {
  SoupSession* session =
      soup_session_new_with_options("timeout", kCallTimeoutSeconds, nullptr);
  HttpAnswer answer;
  GBytes* bytes =
      soup_session_send_and_read(session, message, nullptr, nullptr);
  if (bytes != nullptr) {
    answer.status = static_cast<int>(soup_message_get_status(message));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    const std::string text(data == nullptr ? "" : data, size);
    answer.body = nlohmann::json::parse(text, nullptr, false);
    if (answer.body.is_discarded()) answer.body = text;
    soup_message_headers_foreach(
        soup_message_get_response_headers(message),
        [](const char* name, const char* value, gpointer user) {
          (*static_cast<std::map<std::string, std::string>*>(user))[name] =
              value;
        },
        &answer.headers);
    g_bytes_unref(bytes);
  }
  g_object_unref(message);
  g_object_unref(session);
  return answer;
}

// Returns an address of 127.0.0.0/8. Its second and third octets come from the
// process id, so that no other test program on this machine uses it.
std::string LoopbackHost(int last_octet) {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid % 250) + "." +
         std::to_string(1 + pid / 250 % 250) + "." + std::to_string(last_octet);
}

constexpr int kPeerPort = 7000;
constexpr int kFirstEntryOctet = 100;

int LastOctet(const std::string& name) {
  const int index =
      std::atoi(name.substr(name.find_first_of("0123456789")).c_str());
  return name.starts_with("entry") ? kFirstEntryOctet + index : 1 + index;
}

std::string TomlStringArray(const std::vector<std::string>& values) {
  std::string array = "[";
  for (const std::string& text : values) array += "\"" + text + "\",";
  return array + "]";
}

}  // namespace

HttpAnswer PostJson(const std::string& address, const std::string& path,
                    const nlohmann::json& body,
                    const std::vector<CallHeader>& headers) {
  SoupMessage* message =
      soup_message_new("POST", ("http://" + address + path).c_str());
  for (const CallHeader& header : headers) {
    soup_message_headers_append(soup_message_get_request_headers(message),
                                header.name.c_str(), header.value.c_str());
  }
  const std::string text = body.dump();
  GBytes* bytes = g_bytes_new(text.data(), text.size());
  soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  g_bytes_unref(bytes);
  return Send(message);
}

std::string GetText(const std::string& address, const std::string& path) {
  const HttpAnswer answer =
      Send(soup_message_new("GET", ("http://" + address + path).c_str()));
  return answer.body.is_string() ? answer.body.get<std::string>()
                                 : answer.body.dump();
}

void WaitFor(const std::function<bool()>& condition) {
  while (!condition()) poll(nullptr, 0, kPollIntervalMs);
}

Cluster::Cluster() {
  WritePrivateFile(m_folder.Path() + "/peer.key", kSecret);
  WritePrivateFile(m_folder.Path() + "/operator.token", kSecret);
}

std::string Cluster::PeerAddress(const std::string& name) const {
  return LoopbackHost(LastOctet(name)) + ":" + std::to_string(kPeerPort);
}

std::string Cluster::GroupAddressArray(int group_size) const {
  std::vector<std::string> members;
  members.reserve(static_cast<std::size_t>(group_size));
  for (int i = 0; i < group_size; ++i) {
    members.push_back(PeerAddress(ControlName(i)));
  }
  return TomlStringArray(members);
}

void Cluster::StartControl(int index, int group_size,
                           const std::vector<std::string>& refused_peers) {
  const std::string name = ControlName(index);
  std::ostringstream settings;
  settings << "availability_zone = \"a\"\n"
           << m_added_settings << "data_folder = \"" << m_folder.Path() << "/"
           << name << "\"\n"
           << "[listen]\noperators = \"127.0.0.1:0\"\npeers = \""
           << PeerAddress(name) << "\"\nmetrics = \"127.0.0.1:0\"\n"
           << "[keys]\noperator_token_file = \"" << m_folder.Path()
           << "/operator.token\"\npeer_key_file = \"" << m_folder.Path()
           << "/peer.key\"\n[group]\nmembers = "
           << GroupAddressArray(group_size)
           << "\nmay_form = true\n[testing]\nrefused_peers = "
           << TomlStringArray(refused_peers) << "\n[shutdown]\nlinger_ms = 0\n";
  m_processes.erase(name);
  m_processes[name] = std::make_unique<Process>(
      "chicory-controld", name, m_folder.Path(), settings.str());
}

void Cluster::StartEntry(int index, int group_size, const std::string& zone,
                         const std::vector<std::string>& refused_peers) {
  const std::string name = EntryName(index);
  std::ostringstream settings;
  settings << "availability_zone = \"" << zone << "\"\n"
           << m_added_settings
           << "[listen]\ncallers = \"127.0.0.1:0\"\npeers = \""
           << PeerAddress(name) << "\"\nmetrics = \"127.0.0.1:0\"\n"
           << "[keys]\npeer_key_file = \"" << m_folder.Path()
           << "/peer.key\"\n[control]\naddresses = "
           << GroupAddressArray(group_size)
           << "\n[upstreams]\nentry_seats = 3\n[membership]\nseeds = [\""
           << PeerAddress(EntryName(0)) << "\"]\n[testing]\nrefused_peers = "
           << TomlStringArray(refused_peers) << "\n[shutdown]\nlinger_ms = 0\n";
  m_processes.erase(name);
  m_processes[name] = std::make_unique<Process>(
      "chicory-entryd", name, m_folder.Path(), settings.str());
}

void Cluster::StartUpstreams(const std::string& example,
                             const std::string& services) {
  const std::string settings =
      "schema = \"" CHICORYVALE_SOURCE_DIR "/examples/" + example +
      "/schema.proto\"\n" + "placement_folder = \"" + m_folder.Path() + "\"\n" +
      services;
  m_processes["upstreams"] = std::make_unique<Process>(
      "chicory-standin", "upstreams", m_folder.Path(), settings);
}

void Cluster::WipeControl(int index) const {
  std::filesystem::remove_all(m_folder.Path() + "/" + ControlName(index));
}

int Cluster::RunCtl(std::vector<std::string> command, std::string* output) {
  std::vector<std::string> arguments = {"chicoryctl", "--token-file",
                                        m_folder.Path() + "/operator.token"};
  for (const auto& [name, process] : m_processes) {
    if (!name.starts_with("control")) continue;
    arguments.push_back("--control");
    arguments.push_back(process->AddressOf("operators"));
  }
  arguments.insert(arguments.end(), command.begin(), command.end());
  std::string ignored;
  return RunProgram(arguments, output == nullptr ? &ignored : output);
}

void Cluster::Deploy(const std::string& example,
                     const std::vector<std::string>& services) {
  ASSERT_EQ(RunCtl({"schema", "apply",
                    std::string(CHICORYVALE_SOURCE_DIR "/examples/") + example +
                        "/schema.proto"}),
            0);
  for (const std::string& service : services) {
    ASSERT_EQ(RunCtl({"placement", "set", service,
                      m_folder.Path() + "/" + service + ".placement.json"}),
              0);
  }
}

int Cluster::ChangeUpstreams(const nlohmann::json& change) {
  return PostJson(Upstreams().AddressOf("control"), "/control/set", change, {})
      .body.value("replicas", 0);
}

nlohmann::json Cluster::UpstreamCounts() {
  return nlohmann::json::parse(
      GetText(Upstreams().AddressOf("control"), "/control/counts"), nullptr,
      false);
}

std::int64_t Cluster::EntryMetric(int index, const std::string& name) {
  const std::string text =
      GetText(Entry(index).AddressOf("metrics"), "/metrics");
  const std::size_t position = text.find("chicoryvale_" + name + " ");
  if (position == std::string::npos) return -1;
  return std::strtoll(text.c_str() + text.find(' ', position), nullptr, 10);
}

}  // namespace chicoryvale
