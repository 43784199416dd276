#include "soak/soak_run.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "platform/wire_names.h"
#include "routing/rank_merger.h"

namespace chicoryvale {
namespace {

constexpr int kControls = 3;
constexpr int kGateways = 4;
constexpr int kPeerPort = 7000;
constexpr char kHost[] = "soak.example";

constexpr Duration kAskEach = milliseconds(12);
constexpr Duration kPutEach = milliseconds(700);
constexpr Duration kReadEach = milliseconds(250);
constexpr Duration kCallerTime = seconds(4);
constexpr Duration kOperatorTime = seconds(2);
/// A control VM that came back with an empty disk counts as lost for so long.
constexpr Duration kCatchUpTime = seconds(4);
/// Time in which all is served again after the last fault.
constexpr Duration kRecoveryTime = seconds(30);
/// Probes that a gateway answers in a row when it has recovered.
constexpr int kServedInRow = 20;

/// Statuses that say that a request has not run.
bool SaysNotRun(int status) {
  const std::set<int> statuses = {408, 421, 429, 503};
  return statuses.contains(status);
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    part.erase(0, part.find_first_not_of(' '));
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

SoakRun::SoakRun(std::uint64_t seed)
    : m_seed(seed),
      m_random(seed),
      m_platform(&m_poller, &m_scheduler, seed),
      m_client({.poller = &m_poller, .scheduler = &m_scheduler}) {
  for (int i = 0; i < kControls + kGateways; ++i) {
    auto node = std::make_unique<Node>();
    node->kind = i < kControls ? Kind::kControl : Kind::kGateway;
    node->index = i;
    m_nodes.push_back(std::move(node));
  }
}

SoakRun::~SoakRun() {
  for (const TimerId timer : m_rounds) m_scheduler.Cancel(timer);
  for (const auto& node : m_nodes) m_scheduler.Cancel(node->timer);
}

// Each run has loopback addresses of its own, from the process id.
std::string SoakRun::PeerAddress(const Node& node) const {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid % 250) + "." +
         std::to_string(1 + pid / 250 % 250) + "." +
         std::to_string(150 + node.index) + ":" + std::to_string(kPeerPort);
}

std::string SoakRun::ControlList() const {
  std::string list = "[";
  for (int i = 0; i < kControls; ++i) {
    list += "\"" + PeerAddress(*m_nodes[i]) + "\",";
  }
  return list + "]";
}

void SoakRun::StartNode(Node* node) {
  const bool control = node->kind == Kind::kControl;
  const std::string name = "node" + std::to_string(node->index);
  const std::string zone = node->index % 2 == 0 ? "a" : "b";
  std::ostringstream settings;
  settings << "availability_zone = \"" << zone << "\"\n";
  if (control) {
    settings << "data_folder = \"" << m_folder.Path() << "/" << name << "\"\n";
  }
  settings << "[listen]\npeers = \"" << PeerAddress(*node)
           << "\"\nmetrics = \"127.0.0.1:0\"\n"
           << (control ? "routing = \"127.0.0.1:0\"\n"
                       : "callers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n")
           << "[keys]\npeer_key = \"soak-key-0123456789abcdef0123456789\"\n"
           << "[shutdown]\nlinger_ms = " << (control ? 0 : 200) << "\n";
  if (control) {
    settings << "[group]\nmembers = " << ControlList()
             << "\nmay_form = " << (m_faults_on ? "false" : "true")
             << "\nkeep_members = true\n";
  } else {
    settings << "[control]\naddresses = " << ControlList()
             << "\n[platform]\nreplica_list = \""
             << m_platform.ListAddress().host_port
             << "\"\n[repeats]\nratio = 0.2\nwindow_ms = 10000\nfixed = 100\n";
  }
  node->frozen = false;
  node->stopping = false;
  node->process = std::make_unique<Process>(
      control ? "chicory-controld" : "chicory-gatewayd", name, m_folder.Path(),
      settings.str());
}

Duration SoakRun::Draw(int from_ms, int to_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(from_ms, to_ms)(m_random));
}

void SoakRun::Broken(const std::string& what) const {
  ADD_FAILURE() << "seed " << m_seed << ": " << what;
}

void SoakRun::After(Node* node, Duration pause, std::function<void()> work) {
  m_scheduler.Cancel(node->timer);
  node->timer = m_scheduler.Schedule(pause, std::move(work));
}

void SoakRun::Kill(Node* node, Duration down) {
  ++m_counts["kills"];
  ++node->disturbed;
  node->process.reset();
  After(node, down, [this, node] { StartNode(node); });
}

void SoakRun::Freeze(Node* node, Duration time) {
  ++m_counts["freezes"];
  ++node->disturbed;
  node->frozen = true;
  node->process->Signal(SIGSTOP);
  After(node, time, [node] {
    node->frozen = false;
    node->process->Signal(SIGCONT);
  });
}

// A graceful stop costs no caller its answer: `disturbed` stays.
void SoakRun::Terminate(Node* node) {
  ++m_counts["terms"];
  node->stopping = true;
  node->process->Signal(SIGTERM);
  constexpr int kLongestStopMs = 5000;
  After(node, milliseconds(kLongestStopMs), [this, node] {
    ++node->disturbed;
    node->process->Wait();
    StartNode(node);
  });
}

bool SoakRun::ControlsWhole() const {
  const bool all_up = std::ranges::all_of(m_nodes, [](const auto& node) {
    return node->kind == Kind::kGateway || node->IsUp();
  });
  return all_up && m_scheduler.Now() >= m_wiped_until;
}

// One lost disk is what a group of three bears.
void SoakRun::WipeControl() {
  if (!ControlsWhole()) return;
  ++m_counts["wipes"];
  Node* node = Pick(Kind::kControl);
  Kill(node, Draw(50, 400));
  std::filesystem::remove_all(m_folder.Path() + "/node" +
                              std::to_string(node->index));
  m_wiped_until = m_scheduler.Now() + kCatchUpTime;
}

void SoakRun::KillAllControls() {
  ++m_counts["herd_kills"];
  for (const auto& node : m_nodes) {
    if (node->kind == Kind::kControl && node->process) {
      Kill(node.get(), Draw(50, 600));
    }
  }
}

void SoakRun::HarmProxy() {
  const auto index = std::uniform_int_distribution<std::size_t>(
      0, m_platform.CountProxies() - 1)(m_random);
  LoopbackProxy& proxy = m_platform.Proxy(index);
  const auto mode = static_cast<ProxyMode>(
      std::uniform_int_distribution<int>(1, 4)(m_random));
  ++m_counts["proxy_faults"];
  proxy.SetMode(mode, Draw(20, 300));
  if (Draw(0, 3) == Duration::zero()) proxy.ResetAll();
  m_rounds.push_back(m_scheduler.Schedule(
      Draw(200, 2500), [&proxy] { proxy.SetMode(ProxyMode::kPass); }));
}

SoakRun::Node* SoakRun::Pick(Kind kind) {
  std::vector<Node*> up;
  for (const auto& node : m_nodes) {
    if (node->kind == kind && node->IsUp()) up.push_back(node.get());
  }
  if (up.empty()) return nullptr;
  return up[std::uniform_int_distribution<std::size_t>(
      0, up.size() - 1)(m_random)];
}

void SoakRun::NextFault() {
  if (!m_faults_on) return;
  m_rounds.push_back(
      m_scheduler.Schedule(Draw(50, 700), [this] { NextFault(); }));
  constexpr int kLastFault = 11;
  const int fault = std::uniform_int_distribution<int>(0, kLastFault)(m_random);
  Node* gateway = Pick(Kind::kGateway);
  Node* control = Pick(Kind::kControl);
  if (fault <= 3) return HarmProxy();
  if (fault == 4) {
    ++m_counts["refusals"];
    return m_platform.SetRefusedShare(Draw(0, 1) == Duration::zero() ? 0 : 0.2);
  }
  if (fault == 5 && gateway) return Kill(gateway, Draw(10, 800));
  if (fault == 6 && gateway) return Freeze(gateway, Draw(100, 2500));
  if (fault == 7 && gateway) return Terminate(gateway);
  if (fault == 8 && control) return Kill(control, Draw(10, 800));
  if (fault == 9 && control) return Freeze(control, Draw(100, 3000));
  if (fault == 10) return WipeControl();
  if (fault == 11) return KillAllControls();
}

void SoakRun::HealAll() {
  m_faults_on = false;
  m_platform.SetRefusedShare(0);
  for (std::size_t i = 0; i < m_platform.CountProxies(); ++i) {
    m_platform.Proxy(i).SetMode(ProxyMode::kPass);
  }
}

void SoakRun::AskNext() {
  m_rounds.push_back(m_scheduler.Schedule(kAskEach, [this] { AskNext(); }));
  Node* gateway = Pick(Kind::kGateway);
  if (gateway == nullptr) return;
  Asked asked;
  asked.id = "r" + std::to_string(++m_last_request);
  asked.scattered = m_last_request % 3 != 0;
  asked.gateway = gateway;
  asked.disturbed = gateway->disturbed;
  HttpCall call;
  call.to = {gateway->process->AddressOf("callers")};
  call.method = "GET";
  call.target = asked.scattered ? "/all/x" : "/once/x";
  call.headers = {{"Host", kHost},
                  {platform::kRequestIdHeader, asked.id},
                  {platform::kDeadlineHeader, "3000"}};
  call.timeout = kCallerTime;
  ++m_counts["asked"];
  m_client.Send(std::move(call), [this, asked](const HttpCallResult& result) {
    CheckAnswer(asked, result);
  });
}

void SoakRun::CheckAnswer(const Asked& asked, const HttpCallResult& result) {
  const bool calm = asked.gateway->disturbed == asked.disturbed;
  if (result.end == HttpCallEnd::kTimedOut && calm) {
    Broken(asked.id + " got no answer");
  }
  const bool cut = result.end == HttpCallEnd::kBroken;
  // One that crosses the close of its connection was not passed on.
  if (cut && calm && m_platform.RanAnywhere(asked.id)) {
    Broken(asked.id + " was cut: " + result.detail);
  }
  if (result.end != HttpCallEnd::kAnswered) return;
  ++m_counts["status_" + std::to_string(result.answer.status)];
  if (asked.scattered) return CheckScattered(asked, result.answer);
  CheckOnce(asked, result);
}

void SoakRun::CheckScattered(const Asked& asked,
                             const HttpClientAnswer& answer) {
  if (answer.status != 200) return;
  const auto signatures =
      Split(FindHeader(answer.headers, platform::kShardSignaturesHeader));
  const std::string missing =
      FindHeader(answer.headers, platform::kMissingShardsHeader);
  const std::size_t missing_count = missing.empty() ? 0 : std::stoul(missing);
  std::set<std::string> services;
  std::vector<std::string> records;
  for (const std::string& signature : signatures) {
    const std::string service = signature.substr(0, signature.find(':'));
    if (signature != SoakPlatform::Signature(service, asked.id)) {
      Broken(asked.id + " holds the part " + signature);
    }
    services.insert(service);
    for (auto& record : SoakPlatform::Records(service, asked.id)) {
      records.push_back(record);
    }
  }
  std::ranges::sort(records, std::greater{});
  std::string body;
  for (std::size_t i = 0;
       i < std::min(records.size(), SoakPlatform::kTopRecords); ++i) {
    body += records[i];
  }
  if (services.size() != signatures.size()) {
    Broken(asked.id + " holds a part twice");
  }
  if (signatures.size() + missing_count !=
      static_cast<std::size_t>(SoakPlatform::kShards)) {
    Broken(asked.id + " does not account for all shards");
  }
  if (answer.body != body) Broken(asked.id + " has a wrong body");
}

void SoakRun::CheckOnce(const Asked& asked, const HttpCallResult& result) {
  const int runs = m_platform.Runs(SoakPlatform::kOnceService, asked.id);
  if (runs > 1) Broken(asked.id + " ran twice");
  if (SaysNotRun(result.answer.status)) m_refused_ids.push_back(asked.id);
  if (result.answer.status == 200 &&
      FindHeader(result.answer.headers, platform::kSignatureHeader) !=
          SoakPlatform::Signature(SoakPlatform::kOnceService, asked.id)) {
    Broken(asked.id + " has the answer of another request");
  }
}

void SoakRun::PutNext() {
  m_rounds.push_back(m_scheduler.Schedule(kPutEach, [this] { PutNext(); }));
  Put(++m_sent_version);
}

// As the platform's operator does, until there is a clear answer.
void SoakRun::Put(std::uint64_t version) {
  Node* control = Pick(Kind::kControl);
  const auto again = [this, version] {
    m_rounds.push_back(m_scheduler.Schedule(milliseconds(200),
                                            [this, version] { Put(version); }));
  };
  if (control == nullptr) return again();
  HttpCall call;
  call.to = {control->process->AddressOf("routing")};
  call.method = "PUT";
  call.target = platform::kConfigPath;
  call.headers = {{"Host", "control"}, {"Content-Type", "application/json"}};
  call.body =
      std::make_shared<const std::string>(SoakPlatform::ConfigText(version));
  call.timeout = kOperatorTime;
  m_client.Send(std::move(call),
                [this, version, again](const HttpCallResult& result) {
                  const bool answered = result.end == HttpCallEnd::kAnswered;
                  const int status = answered ? result.answer.status : 0;
                  if (status == 200) {
                    m_accepted_version = std::max(m_accepted_version, version);
                    ++m_counts["accepted"];
                    return;
                  }
                  if (status >= 400 && status < 500) {
                    Broken("version " + std::to_string(version) +
                           " was refused: " + result.answer.body);
                    return;
                  }
                  again();
                });
}

void SoakRun::ReadConfig() {
  m_rounds.push_back(m_scheduler.Schedule(kReadEach, [this] { ReadConfig(); }));
  Node* control = Pick(Kind::kControl);
  if (control == nullptr) return;
  HttpCall call;
  call.to = {control->process->AddressOf("routing")};
  call.method = "GET";
  call.target = platform::kConfigPath;
  call.headers = {{"Host", "control"}};
  call.timeout = kOperatorTime;
  m_client.Send(std::move(call), [this, accepted = m_accepted_version](
                                     const HttpCallResult& result) {
    const bool read =
        result.end == HttpCallEnd::kAnswered && result.answer.status == 200;
    if (!read) return;
    ++m_counts["reads"];
    const auto document =
        nlohmann::json::parse(result.answer.body, nullptr, false);
    const auto version =
        document.is_object() ? document.value("version", std::uint64_t{0}) : 0;
    if (version < accepted) {
      Broken("read version " + std::to_string(version) + " after " +
             std::to_string(accepted) + " was accepted");
    }
    if (result.answer.body != SoakPlatform::ConfigText(version)) {
      Broken("version " + std::to_string(version) + " is not what was sent");
    }
  });
}

void SoakRun::RunFor(Duration duration) {
  const TimePoint end = m_scheduler.Now() + duration;
  bool over = false;
  m_scheduler.Schedule(duration, [&over] { over = true; });
  while (!over) g_main_context_iteration(nullptr, TRUE);
  EXPECT_GE(m_scheduler.Now(), end);
}

// Counts answers in a row on the route of the newest accepted version.
void SoakRun::Probe(Node* gateway, int* served) {
  if (!gateway->IsUp()) return;
  HttpCall call;
  call.to = {gateway->process->AddressOf("callers")};
  call.method = "GET";
  call.target = "/v" + std::to_string(m_accepted_version) + "/x";
  call.headers = {
      {"Host", kHost},
      {platform::kRequestIdHeader, "p" + std::to_string(++m_last_request)},
      {platform::kDeadlineHeader, "3000"}};
  call.timeout = kCallerTime;
  m_client.Send(std::move(call), [served](const HttpCallResult& result) {
    const bool good =
        result.end == HttpCallEnd::kAnswered && result.answer.status == 200;
    *served = good ? *served + 1 : 0;
  });
}

void SoakRun::WaitUntilServed() {
  std::vector<int> served(kGateways, 0);
  const TimePoint end = m_scheduler.Now() + kRecoveryTime;
  while (std::ranges::min(served) < kServedInRow) {
    if (m_scheduler.Now() > end) {
      Broken("not all gateways serve version " +
             std::to_string(m_accepted_version));
      break;
    }
    for (int i = 0; i < kGateways; ++i) {
      Probe(m_nodes[kControls + i].get(), &served[i]);
    }
    RunFor(milliseconds(100));
  }
  // No answer to a probe comes after its counter is gone.
  RunFor(kCallerTime);
}

void SoakRun::Run(Duration duration) {
  for (const auto& node : m_nodes) StartNode(node.get());
  m_faults_on = true;
  PutNext();
  while (m_accepted_version == 0) g_main_context_iteration(nullptr, TRUE);
  RunFor(seconds(1));
  AskNext();
  ReadConfig();
  NextFault();
  RunFor(duration);
  HealAll();
  // The longest stop, then a stretch without changes.
  RunFor(seconds(6));
  for (const TimerId timer : std::exchange(m_rounds, {})) {
    m_scheduler.Cancel(timer);
  }
  RunFor(kOperatorTime);
  WaitUntilServed();
  for (const std::string& id : m_refused_ids) {
    if (m_platform.Runs(SoakPlatform::kOnceService, id) > 0) {
      Broken(id + " was told that it did not run, and did");
    }
  }
  EXPECT_GT(m_counts["status_200"], 0);
}

std::string SoakRun::Summary() const {
  std::string text = "seed " + std::to_string(m_seed);
  for (const auto& [name, count] : m_counts) {
    text += " " + name + "=" + std::to_string(count);
  }
  return text;
}

}  // namespace chicoryvale
