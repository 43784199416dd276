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

constexpr int kControlCount = 3;
constexpr int kGatewayCount = 4;
constexpr int kPeerPort = 7000;
constexpr char kHost[] = "soak.example";

/// Retries in a window that all gateways together may make beyond the ratio.
constexpr std::uint32_t kFixedRetries = 40;

/// Time that callers wait for an answer, as stated in their requests.
constexpr Duration kCallerDeadline = seconds(3);

constexpr Duration kRequestInterval = milliseconds(12);
constexpr Duration kConfigPutInterval = milliseconds(700);
constexpr Duration kConfigReadInterval = milliseconds(250);
constexpr Duration kCallerTimeout = seconds(4);
constexpr Duration kOperatorTimeout = seconds(2);
/// Time in which a control VM that was restarted with an empty disk catches up.
/// Until then the control group tolerates no further wiped disk.
constexpr Duration kWipeCatchUpTime = seconds(4);
/// Time after the last fault within which all gateways must serve again.
constexpr Duration kRecoveryTimeout = seconds(30);
/// Probes that a gateway must answer in a row to count as recovered.
constexpr int kMinProbesServedInRow = 20;

/// Time after a replica's word that it leaves from which on it gets nothing.
constexpr Duration kDrainTime = seconds(3);
/// Time after a refusal within which requests on their way may still arrive.
constexpr Duration kBackOffSlack = milliseconds(500);
/// Requests that may arrive while a replica wants none.
constexpr int kMaxArrivalsInBackOff = 2;

/// Returns whether `status` tells the caller that its request has not run.
bool IsNotRunStatus(int status) {
  const std::set<int> statuses = {408, 421, 429, 503};
  return statuses.contains(status);
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    item.erase(0, item.find_first_not_of(' '));
    items.push_back(item);
  }
  return items;
}

}  // namespace

SoakRun::SoakRun(std::uint64_t seed)
    : m_seed(seed),
      m_random(seed),
      m_platform(&m_poller, &m_scheduler, seed),
      m_client({.poller = &m_poller, .scheduler = &m_scheduler}),
      m_retry_check({.ratio = 0.2,
                     .window = seconds(10),
                     .fixed = kFixedRetries,
                     .max_attempts = 2}) {
  for (int i = 0; i < kControlCount + kGatewayCount; ++i) {
    auto node = std::make_unique<Node>();
    node->kind = i < kControlCount ? Kind::kControl : Kind::kGateway;
    node->index = i;
    m_nodes.push_back(std::move(node));
  }
  m_platform.SetArrivalHandler(
      [this](const RetryCheck::Arrival& arrival) { CheckArrival(arrival); });
}

SoakRun::~SoakRun() {
  for (const TimerId timer : m_timers) m_scheduler.Cancel(timer);
  for (const auto& node : m_nodes) m_scheduler.Cancel(node->action_timer);
}

// Derives the address from the process id, so that soaks that run at the same
// time use different loopback addresses.
std::string SoakRun::PeerAddress(const Node& node) const {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid % 250) + "." +
         std::to_string(1 + pid / 250 % 250) + "." +
         std::to_string(150 + node.index) + ":" + std::to_string(kPeerPort);
}

std::string SoakRun::ControlAddressArray() const {
  std::string address_array = "[";
  for (int i = 0; i < kControlCount; ++i) {
    address_array += "\"" + PeerAddress(*m_nodes[i]) + "\",";
  }
  return address_array + "]";
}

void SoakRun::StartNode(Node* node) {
  const bool is_control = node->kind == Kind::kControl;
  const std::string name = "node" + std::to_string(node->index);
  const std::string zone = node->index % 2 == 0 ? "a" : "b";
  std::ostringstream settings;
  settings << "availability_zone = \"" << zone << "\"\n";
  if (is_control) {
    settings << "data_folder = \"" << m_folder.Path() << "/" << name << "\"\n";
  }
  settings << "[listen]\npeers = \"" << PeerAddress(*node)
           << "\"\nmetrics = \"127.0.0.1:0\"\n"
           << (is_control
                   ? "routing = \"127.0.0.1:0\"\n"
                   : "callers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n")
           << "[keys]\npeer_key = \"soak-key-0123456789abcdef0123456789\"\n"
           << "[shutdown]\nlinger_ms = " << (is_control ? 0 : 200) << "\n";
  if (is_control) {
    settings << "[group]\nmembers = " << ControlAddressArray()
             << "\nmay_form = " << (m_faults_enabled ? "false" : "true")
             << "\nkeep_members = true\n";
  } else {
    settings << "[control]\naddresses = " << ControlAddressArray()
             << "\n[platform]\nreplica_list = \""
             << m_platform.ReplicaListAddress().host_port
             << "\"\n[repeats]\nratio = 0.2\nwindow_ms = 10000\nfixed = "
             << kFixedRetries << "\n";
  }
  node->is_frozen = false;
  node->is_stopping = false;
  node->process = std::make_unique<Process>(
      is_control ? "chicory-controld" : "chicory-gatewayd", name,
      m_folder.Path(), settings.str());
}

Duration SoakRun::DrawDuration(int min_ms, int max_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(m_random));
}

void SoakRun::ReportViolation(const std::string& message) const {
  ADD_FAILURE() << "seed " << m_seed << ": " << message;
}

void SoakRun::ScheduleNodeAction(Node* node, Duration delay,
                                 std::function<void()> action) {
  m_scheduler.Cancel(node->action_timer);
  node->action_timer = m_scheduler.Schedule(delay, std::move(action));
}

void SoakRun::Kill(Node* node, Duration downtime) {
  ++m_counts["kills"];
  ++node->disturbance_count;
  node->process.reset();
  ScheduleNodeAction(node, downtime, [this, node] { StartNode(node); });
}

void SoakRun::Freeze(Node* node, Duration duration) {
  ++m_counts["freezes"];
  ++node->disturbance_count;
  node->is_frozen = true;
  node->process->Signal(SIGSTOP);
  ScheduleNodeAction(node, duration, [node] {
    node->is_frozen = false;
    node->process->Signal(SIGCONT);
  });
}

// A graceful stop must not leave a caller without an answer, so
// `disturbance_count` is incremented only after the stop has ended.
void SoakRun::Terminate(Node* node) {
  ++m_counts["terms"];
  node->is_stopping = true;
  node->process->Signal(SIGTERM);
  constexpr int kMaxStopMs = 5000;
  ScheduleNodeAction(node, milliseconds(kMaxStopMs), [this, node] {
    ++node->disturbance_count;
    node->process->Wait();
    StartNode(node);
  });
}

bool SoakRun::IsControlGroupHealthy() const {
  const bool all_up = std::ranges::all_of(m_nodes, [](const auto& node) {
    return node->kind == Kind::kGateway || node->IsUp();
  });
  return all_up && m_scheduler.Now() >= m_wipe_catch_up_end;
}

// A control group of three tolerates the loss of one disk, so a disk is wiped
// only while the other two are up to date.
void SoakRun::WipeControl() {
  if (!IsControlGroupHealthy()) return;
  ++m_counts["wipes"];
  Node* node = PickRunningNode(Kind::kControl);
  Kill(node, DrawDuration(50, 400));
  std::filesystem::remove_all(m_folder.Path() + "/node" +
                              std::to_string(node->index));
  m_wipe_catch_up_end = m_scheduler.Now() + kWipeCatchUpTime;
}

void SoakRun::KillAllControls() {
  ++m_counts["herd_kills"];
  for (const auto& node : m_nodes) {
    if (node->kind == Kind::kControl && node->process) {
      Kill(node.get(), DrawDuration(50, 600));
    }
  }
}

void SoakRun::InjectProxyFault() {
  const auto index = std::uniform_int_distribution<std::size_t>(
      0, m_platform.ProxyCount() - 1)(m_random);
  LoopbackProxy& proxy = m_platform.Proxy(index);
  const auto mode = static_cast<ProxyMode>(
      std::uniform_int_distribution<int>(1, 4)(m_random));
  ++m_counts["proxy_faults"];
  proxy.SetMode(mode, DrawDuration(20, 300));
  if (DrawDuration(0, 3) == Duration::zero()) proxy.CloseAllConnections();
  m_timers.push_back(m_scheduler.Schedule(DrawDuration(200, 2500), [&proxy] {
    proxy.SetMode(ProxyMode::kForward);
  }));
}

SoakRun::Node* SoakRun::PickRunningNode(Kind kind) {
  std::vector<Node*> up;
  for (const auto& node : m_nodes) {
    if (node->kind == kind && node->IsUp()) up.push_back(node.get());
  }
  if (up.empty()) return nullptr;
  return up[std::uniform_int_distribution<std::size_t>(
      0, up.size() - 1)(m_random)];
}

void SoakRun::InjectNextFault() {
  if (!m_faults_enabled) return;
  m_timers.push_back(m_scheduler.Schedule(DrawDuration(50, 700),
                                          [this] { InjectNextFault(); }));
  constexpr int kMaxFaultNumber = 13;
  const int fault =
      std::uniform_int_distribution<int>(0, kMaxFaultNumber)(m_random);
  Node* gateway = PickRunningNode(Kind::kGateway);
  Node* control = PickRunningNode(Kind::kControl);
  if (fault <= 3) return InjectProxyFault();
  if (fault == 4) {
    ++m_counts["refusals"];
    return m_platform.SetRefusalRatio(
        DrawDuration(0, 1) == Duration::zero() ? 0 : 0.2);
  }
  if (fault == 5 && gateway) return Kill(gateway, DrawDuration(10, 800));
  if (fault == 6 && gateway) return Freeze(gateway, DrawDuration(100, 2500));
  if (fault == 7 && gateway) return Terminate(gateway);
  if (fault == 8 && control) return Kill(control, DrawDuration(10, 800));
  if (fault == 9 && control) return Freeze(control, DrawDuration(100, 3000));
  if (fault == 10) return WipeControl();
  if (fault == 11) return KillAllControls();
  if (fault == 12) {
    ++m_counts["leaves"];
    return m_platform.StartLeaving(DrawDuration(2000, 8000));
  }
  if (fault == 13) {
    ++m_counts["back_offs"];
    return m_platform.StartBackOff(DrawDuration(700, 4000));
  }
}

void SoakRun::StopFaults() {
  m_faults_enabled = false;
  m_platform.SetRefusalRatio(0);
  for (std::size_t i = 0; i < m_platform.ProxyCount(); ++i) {
    m_platform.Proxy(i).SetMode(ProxyMode::kForward);
  }
}

void SoakRun::SendNextRequest() {
  m_timers.push_back(
      m_scheduler.Schedule(kRequestInterval, [this] { SendNextRequest(); }));
  Node* gateway = PickRunningNode(Kind::kGateway);
  if (gateway == nullptr) return;
  PendingRequest request;
  request.id = "r" + std::to_string(++m_last_request_number);
  request.is_gather = m_last_request_number % 3 != 0;
  request.gateway = gateway;
  request.disturbance_count = gateway->disturbance_count;
  HttpCall call;
  call.to = {gateway->process->AddressOf("callers")};
  call.method = "GET";
  call.target = request.is_gather ? "/all/x" : "/once/x";
  call.headers = {{"Host", kHost},
                  {platform::kRequestIdHeader, request.id},
                  {platform::kDeadlineHeader, "3000"}};
  call.timeout = kCallerTimeout;
  ++m_counts["asked"];
  std::vector<std::string> services = {SoakPlatform::kAtMostOnceService};
  if (request.is_gather) services = SoakPlatform::ShardNames();
  m_retry_check.RecordRequest(request.id, services, m_scheduler.Now(),
                              m_scheduler.Now() + kCallerDeadline);
  if (!request.is_gather) {
    m_sent_requests[request.id] = {gateway, gateway->disturbance_count,
                                   m_scheduler.Now()};
  }
  m_client.Send(std::move(call), [this, request](const HttpCallResult& result) {
    CheckAnswer(request, result);
  });
}

void SoakRun::CheckAnswer(const PendingRequest& request,
                          const HttpCallResult& result) {
  const bool is_undisturbed =
      request.gateway->disturbance_count == request.disturbance_count;
  if (result.end == HttpCallEnd::kTimedOut && is_undisturbed) {
    ReportViolation(request.id + " got no answer");
  }
  const bool connection_lost = result.end == HttpCallEnd::kBroken;
  // A request may arrive while the gateway closes the connection. It may end
  // unanswered then, but must not have been forwarded to a replica.
  if (connection_lost && is_undisturbed &&
      m_platform.HasRunAnywhere(request.id)) {
    ReportViolation(request.id +
                    " lost its connection after it ran: " + result.detail);
  }
  if (result.end != HttpCallEnd::kAnswered) return;
  ++m_counts["status_" + std::to_string(result.answer.status)];
  if (request.is_gather) return CheckGatherAnswer(request, result.answer);
  CheckAtMostOnceAnswer(request, result);
}

// The gateway of a request that may run once at most has heard each replica
// that refused the request if it was served, or refused as not run, in the end.
void SoakRun::RecordWords(const PendingRequest& request) {
  if (request.gateway->disturbance_count != request.disturbance_count) return;
  for (const auto& said : m_platform.NoticesTo(request.id)) {
    ReplicaWord& word = m_words[{request.gateway, said.replica_id}];
    if (word.disturbance_count != request.disturbance_count) word = {};
    word.disturbance_count = request.disturbance_count;
    const TimePoint now = m_scheduler.Now();
    if (said.leaving && !word.leaving_since) word.leaving_since = now;
    const TimePoint begin = now + kBackOffSlack;
    const TimePoint end =
        m_sent_requests.at(request.id).sent_at + said.back_off;
    if (end > std::max(begin, word.back_off_end)) {
      word.back_off_begin = begin;
      word.back_off_end = end;
      word.arrivals_in_back_off = 0;
    }
  }
}

void SoakRun::CheckArrival(const RetryCheck::Arrival& arrival) {
  m_retry_check.RecordArrival(arrival);
  const std::string& replica_id = arrival.replica_id;
  const std::string& request_id = arrival.request_id;
  const auto sent = m_sent_requests.find(request_id);
  if (sent == m_sent_requests.end()) return;
  const SentRequest& request = sent->second;
  const auto found = m_words.find({request.gateway, replica_id});
  if (found == m_words.end()) return;
  ReplicaWord& word = found->second;
  const bool is_excused =
      word.disturbance_count != request.gateway->disturbance_count;
  if (is_excused) return;
  if (word.leaving_since &&
      request.sent_at > *word.leaving_since + kDrainTime) {
    ReportViolation(request_id + " reached " + replica_id + ", which leaves");
  }
  const TimePoint now = m_scheduler.Now();
  if (now < word.back_off_begin || now > word.back_off_end) return;
  if (++word.arrivals_in_back_off > kMaxArrivalsInBackOff) {
    ReportViolation(request_id + " reached " + replica_id +
                    ", which wants no requests");
  }
}

void SoakRun::CheckGatherAnswer(const PendingRequest& request,
                                const HttpClientAnswer& answer) {
  if (answer.status != 200) return;
  const auto signatures =
      SplitList(FindHeader(answer.headers, platform::kShardSignaturesHeader));
  const std::string missing =
      FindHeader(answer.headers, platform::kMissingShardsHeader);
  const std::size_t missing_count = missing.empty() ? 0 : std::stoul(missing);
  std::set<std::string> services;
  std::vector<std::string> records;
  for (const std::string& signature : signatures) {
    const std::string service = signature.substr(0, signature.find(':'));
    if (signature != SoakPlatform::Signature(service, request.id)) {
      ReportViolation(request.id + " contains the wrong signature " +
                      signature);
    }
    services.insert(service);
    for (auto& record : SoakPlatform::Records(service, request.id)) {
      records.push_back(record);
    }
  }
  std::ranges::sort(records, std::greater{});
  std::string body;
  for (std::size_t i = 0;
       i < std::min(records.size(), SoakPlatform::kTopRecordCount); ++i) {
    body += records[i];
  }
  if (services.size() != signatures.size()) {
    ReportViolation(request.id + " contains a shard twice");
  }
  if (signatures.size() + missing_count !=
      static_cast<std::size_t>(SoakPlatform::kShardCount)) {
    ReportViolation(request.id + " does not account for all shards");
  }
  if (answer.body != body) ReportViolation(request.id + " has a wrong body");
}

void SoakRun::CheckAtMostOnceAnswer(const PendingRequest& request,
                                    const HttpCallResult& result) {
  const int run_count =
      m_platform.RunCount(SoakPlatform::kAtMostOnceService, request.id);
  if (run_count > 1) ReportViolation(request.id + " ran twice");
  const int status = result.answer.status;
  if (status == 200 || IsNotRunStatus(status)) RecordWords(request);
  if (IsNotRunStatus(status)) m_not_run_ids.push_back(request.id);
  if (status == 200 &&
      FindHeader(result.answer.headers, platform::kSignatureHeader) !=
          SoakPlatform::Signature(SoakPlatform::kAtMostOnceService,
                                  request.id)) {
    ReportViolation(request.id + " has the answer of another request");
  }
}

void SoakRun::PutNextConfig() {
  m_timers.push_back(
      m_scheduler.Schedule(kConfigPutInterval, [this] { PutNextConfig(); }));
  PutConfig(++m_last_sent_version);
}

// Retries until the version is accepted or refused, as the platform's operator
// does.
void SoakRun::PutConfig(std::uint64_t version) {
  Node* control = PickRunningNode(Kind::kControl);
  const auto schedule_retry = [this, version] {
    m_timers.push_back(m_scheduler.Schedule(
        milliseconds(200), [this, version] { PutConfig(version); }));
  };
  if (control == nullptr) return schedule_retry();
  HttpCall call;
  call.to = {control->process->AddressOf("routing")};
  call.method = "PUT";
  call.target = platform::kConfigPath;
  call.headers = {{"Host", "control"}, {"Content-Type", "application/json"}};
  call.body =
      std::make_shared<const std::string>(SoakPlatform::ConfigJson(version));
  call.timeout = kOperatorTimeout;
  m_client.Send(std::move(call),
                [this, version, schedule_retry](const HttpCallResult& result) {
                  const bool answered = result.end == HttpCallEnd::kAnswered;
                  const int status = answered ? result.answer.status : 0;
                  if (status == 200) {
                    m_accepted_version = std::max(m_accepted_version, version);
                    ++m_counts["accepted"];
                    return;
                  }
                  if (status >= 400 && status < 500) {
                    ReportViolation("version " + std::to_string(version) +
                                    " was refused: " + result.answer.body);
                    return;
                  }
                  schedule_retry();
                });
}

void SoakRun::ReadConfig() {
  m_timers.push_back(
      m_scheduler.Schedule(kConfigReadInterval, [this] { ReadConfig(); }));
  Node* control = PickRunningNode(Kind::kControl);
  if (control == nullptr) return;
  HttpCall call;
  call.to = {control->process->AddressOf("routing")};
  call.method = "GET";
  call.target = platform::kConfigPath;
  call.headers = {{"Host", "control"}};
  call.timeout = kOperatorTimeout;
  m_client.Send(std::move(call), [this, accepted = m_accepted_version](
                                     const HttpCallResult& result) {
    const bool read_succeeded =
        result.end == HttpCallEnd::kAnswered && result.answer.status == 200;
    if (!read_succeeded) return;
    ++m_counts["reads"];
    const auto document =
        nlohmann::json::parse(result.answer.body, nullptr, false);
    const auto version =
        document.is_object() ? document.value("version", std::uint64_t{0}) : 0;
    if (version < accepted) {
      ReportViolation("read version " + std::to_string(version) + " after " +
                      std::to_string(accepted) + " was accepted");
    }
    if (result.answer.body != SoakPlatform::ConfigJson(version)) {
      ReportViolation("version " + std::to_string(version) +
                      " differs from the configuration sent");
    }
  });
}

void SoakRun::RunFor(Duration duration) {
  const TimePoint end = m_scheduler.Now() + duration;
  bool is_over = false;
  m_scheduler.Schedule(duration, [&is_over] { is_over = true; });
  while (!is_over) g_main_context_iteration(nullptr, TRUE);
  EXPECT_GE(m_scheduler.Now(), end);
}

// Calls the route that exists only in the newest accepted version. A success
// increments `served_in_row`, a failure resets it.
void SoakRun::SendProbe(Node* gateway, int* served_in_row) {
  if (!gateway->IsUp()) return;
  const std::string id = "p" + std::to_string(++m_last_request_number);
  m_retry_check.RecordRequest(id, {SoakPlatform::ShardName(0)},
                              m_scheduler.Now(),
                              m_scheduler.Now() + kCallerDeadline);
  HttpCall call;
  call.to = {gateway->process->AddressOf("callers")};
  call.method = "GET";
  call.target = "/v" + std::to_string(m_accepted_version) + "/x";
  call.headers = {{"Host", kHost},
                  {platform::kRequestIdHeader, id},
                  {platform::kDeadlineHeader, "3000"}};
  call.timeout = kCallerTimeout;
  m_client.Send(std::move(call), [served_in_row](const HttpCallResult& result) {
    const bool is_served =
        result.end == HttpCallEnd::kAnswered && result.answer.status == 200;
    *served_in_row = is_served ? *served_in_row + 1 : 0;
  });
}

void SoakRun::WaitForRecovery() {
  std::vector<int> served_in_row(kGatewayCount, 0);
  const TimePoint end = m_scheduler.Now() + kRecoveryTimeout;
  while (std::ranges::min(served_in_row) < kMinProbesServedInRow) {
    if (m_scheduler.Now() > end) {
      ReportViolation("not all gateways serve version " +
                      std::to_string(m_accepted_version));
      break;
    }
    for (int i = 0; i < kGatewayCount; ++i) {
      SendProbe(m_nodes[kControlCount + i].get(), &served_in_row[i]);
    }
    RunFor(milliseconds(100));
  }
  // Lets all probes end before `served_in_row`, which they update, is
  // destroyed.
  RunFor(kCallerTimeout);
}

void SoakRun::Run(Duration duration) {
  for (const auto& node : m_nodes) StartNode(node.get());
  m_faults_enabled = true;
  PutNextConfig();
  while (m_accepted_version == 0) g_main_context_iteration(nullptr, TRUE);
  RunFor(seconds(1));
  SendNextRequest();
  ReadConfig();
  InjectNextFault();
  RunFor(duration);
  StopFaults();
  // Covers the longest graceful stop and a period without changes.
  RunFor(seconds(6));
  for (const TimerId timer : std::exchange(m_timers, {})) {
    m_scheduler.Cancel(timer);
  }
  RunFor(kOperatorTimeout);
  WaitForRecovery();
  for (const std::string& id : m_not_run_ids) {
    if (m_platform.RunCount(SoakPlatform::kAtMostOnceService, id) > 0) {
      ReportViolation(id + " ran although its caller was told that it did not");
    }
  }
  for (const std::string& violation : m_retry_check.FindViolations()) {
    ReportViolation(violation);
  }
  EXPECT_GT(m_counts["status_200"], 0);
}

std::string SoakRun::Summary() const {
  std::string text = "seed " + std::to_string(m_seed);
  for (const auto& [name, count] : m_counts) {
    text += " " + name + "=" + std::to_string(count);
  }
  text += " retry_budget_use=" + std::to_string(m_retry_check.HighestUse());
  return text;
}

}  // namespace chicoryvale
