#include "config/config_distributor.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace chicoryvale {
namespace {

/// Maximum number of peers remembered as sources of a higher version.
constexpr std::size_t kMaxSources = 32;

/// Time for which an entry waits for a control quorum before it uses the
/// highest version of its peers without confirmation.
constexpr Duration kTimeBeforeUnconfirmed = milliseconds(2500);

/// Time behind after which a process logs that it is behind, and the interval
/// of further lines.
constexpr Duration kLagReportDelay = milliseconds(500);
constexpr Duration kLagReportInterval = seconds(1);

std::size_t TotalBytes(const std::vector<ConfigDelta>& deltas) {
  return std::accumulate(deltas.begin(), deltas.end(), std::size_t{0},
                         [](std::size_t sum, const ConfigDelta& delta) {
                           return sum + delta.bytes.size();
                         });
}

/// Returns a lower bound of the size of the encoded `config`.
std::size_t MinFullBytes(const ClusterConfig& config) {
  return config.schema_text.size() + config.routing.text.size() +
         config.services.size() * sizeof(ServiceConfig);
}

std::string ToMillisecondText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace

Result<std::unique_ptr<ConfigDistributor>> ConfigDistributor::Make(
    DistributorOptions options) {
  const RecoveryOptions& recovery = options.recovery;
  if (recovery.scheduler == nullptr || recovery.transport == nullptr ||
      recovery.gossip == nullptr) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "a configuration distributor needs a scheduler, a "
                     "transport and gossip");
  }
  return std::unique_ptr<ConfigDistributor>(
      new ConfigDistributor(std::move(options)));
}

ConfigDistributor::ConfigDistributor(DistributorOptions options)
    : m_options(std::move(options)),
      m_scheduler(m_options.recovery.scheduler),
      m_random(m_options.random_seed),
      m_recovery(
          m_options.recovery,
          [this](const Address& from, const ConfigDigest& digest) {
            RecordSource(from, false, digest);
          },
          [this](const RecoveryRound& round) { OnRecoveryRound(round); }),
      m_history(m_options.max_history_bytes),
      m_serve_budget_bytes(static_cast<double>(m_options.serve_burst_bytes)) {}

ConfigDistributor::~ConfigDistributor() {
  m_scheduler->Cancel(m_retry_timer);
  m_scheduler->Cancel(m_lag_timer);
  m_scheduler->Cancel(m_patience_timer);
}

void ConfigDistributor::Start() {
  const std::weak_ptr<int> alive = m_alive;
  m_options.recovery.transport->SetHandler(
      PeerChannel::kConfig,
      [this, alive](const Address&, const std::string& request,
                    const PeerTransport::Responder& respond) {
        if (!alive.expired()) OnRequest(request, respond);
      });
  if (m_options.role == MemberRole::kControl) return;
  m_options.recovery.gossip->AddDigestListener(
      [this, alive](const MemberInfo& from, const ConfigDigest& digest) {
        if (alive.expired()) return;
        const bool in_same_zone =
            from.availability_zone == m_options.availability_zone;
        RecordSource(from.address, in_same_zone, digest);
      });
  m_started_at = m_scheduler->Now();
  m_recovery.Start();
}

void ConfigDistributor::SetKnownVersionCallback(KnownVersionCallback callback) {
  m_known_version_callback = std::move(callback);
}

bool ConfigDistributor::Offer(const ClusterConfig& config) {
  if (config.version <= m_digest.version) {
    m_counters.Add(DistributionCounter::kRefusedOlder);
    return false;
  }
  std::optional<ConfigDelta> delta = MakeDelta(m_config, config);
  const std::uint64_t hash = delta ? delta->header.to_hash : HashConfig(config);
  if (delta) {
    m_history.Add(std::move(*delta));
  } else {
    m_history.Clear();
  }
  m_status = ConfigStatus::kConfirmed;
  Adopt(config, hash);
  return true;
}

void ConfigDistributor::Adopt(ClusterConfig config, std::uint64_t hash) {
  m_counters.Add(DistributionCounter::kAdopted);
  m_digest = {config.version, hash};
  m_config = std::move(config);
  const Duration behind_for = m_lag.BehindFor(m_scheduler->Now());
  m_lag.OnAdopted(m_digest.version);
  if (!m_lag.IsBehind()) ReportCaughtUp(behind_for);
  std::erase_if(m_sources, [this](const auto& source) {
    return source.second.digest.version <= m_digest.version;
  });
  m_options.recovery.gossip->SetOwnDigest(m_digest);
  NotifyListener();
  FinishRecoveryIfReached();
}

void ConfigDistributor::NotifyListener() {
  if (m_listener && m_status != ConfigStatus::kNone) {
    m_listener(m_config, m_status);
  }
}

void ConfigDistributor::SetStatus(ConfigStatus status) {
  if (m_status == status) return;
  m_status = status;
  NotifyListener();
}

void ConfigDistributor::OnRecoveryRound(const RecoveryRound& round) {
  m_round = round;
  FinishRecoveryIfReached();
  PullIfBehind();
}

void ConfigDistributor::FinishRecoveryIfReached() {
  if (!m_round || m_status == ConfigStatus::kConfirmed) return;
  if (m_digest.version == 0 || m_digest.version < m_round->min_version) return;
  if (m_round->has_quorum) {
    m_recovery.Stop();
    SetStatus(ConfigStatus::kConfirmed);
  } else if (m_scheduler->Now() - m_started_at >= kTimeBeforeUnconfirmed) {
    SetStatus(ConfigStatus::kUnconfirmed);
  }
}

void ConfigDistributor::RecordSource(const Address& from, bool in_same_zone,
                                     const ConfigDigest& digest) {
  if (digest.version == m_digest.version && digest.hash != m_digest.hash) {
    m_counters.Add(DistributionCounter::kConflictingHash);
  }
  if (digest.version <= m_digest.version) return;
  m_lag.OnHeard(digest.version, from, m_scheduler->Now());
  if (m_lag_timer == 0) ArmLagTimer(kLagReportDelay);
  const bool is_known = m_sources.contains(from);
  if (!is_known && m_sources.size() >= kMaxSources) {
    m_sources.erase(m_sources.begin());
  }
  Source& source = m_sources[from];
  source.digest = digest;
  source.in_same_zone = source.in_same_zone || in_same_zone;
  PullIfBehind();
}

void ConfigDistributor::PullIfBehind() {
  if (m_retry_timer != 0 || IsAwaitingAnswer()) return;
  if (m_pulls.size() >= m_options.max_pulls_in_flight) return;
  if (const auto from = PickSource()) StartPull(*from);
}

bool ConfigDistributor::IsAwaitingAnswer() const {
  const TimePoint impatient_before =
      m_scheduler->Now() - m_options.pull_patience;
  return std::ranges::any_of(m_pulls, [impatient_before](const auto& pull) {
    return pull.second.asked_at > impatient_before;
  });
}

void ConfigDistributor::StartPull(const Address& from) {
  m_pulls[from] = {m_scheduler->Now(), m_digest.version};
  m_counters.Add(DistributionCounter::kPulls);
  const DistributionRequest request{
      DistributionRequestKind::kPull,
      m_request_full_config ? ConfigDigest{} : m_digest};
  ArmPatienceTimer();
  const std::weak_ptr<int> alive = m_alive;
  m_options.recovery.transport->Call(
      from, PeerChannel::kConfig, Encode(request), m_options.pull_timeout,
      [this, alive, from](const Result<std::string>& answer) {
        if (!alive.expired()) OnPullAnswer(from, answer);
      });
}

void ConfigDistributor::ArmPatienceTimer() {
  m_scheduler->Cancel(m_patience_timer);
  m_patience_timer = m_scheduler->Schedule(m_options.pull_patience, [this] {
    m_patience_timer = 0;
    PullIfBehind();
  });
}

std::optional<Address> ConfigDistributor::PickSource() {
  std::uint64_t highest = 0;
  for (const auto& [address, source] : m_sources) {
    if (m_pulls.contains(address)) continue;
    highest = std::max(highest, source.digest.version);
  }
  std::vector<Address> all;
  std::vector<Address> in_same_zone;
  for (const auto& [address, source] : m_sources) {
    if (m_pulls.contains(address)) continue;
    all.push_back(address);
    const bool newest = source.digest.version == highest;
    if (source.in_same_zone && newest) in_same_zone.push_back(address);
  }
  if (all.empty()) return std::nullopt;
  const std::vector<Address>& from = in_same_zone.empty() ? all : in_same_zone;
  std::uniform_int_distribution<std::size_t> index(0, from.size() - 1);
  return from[index(m_random)];
}

void ConfigDistributor::OnPullAnswer(const Address& from,
                                     const Result<std::string>& bytes) {
  const Pull pull = m_pulls.extract(from).mapped();
  DistributionAnswer answer;
  if (!bytes || !Decode(*bytes, &answer)) {
    m_counters.Add(DistributionCounter::kPullsFailed);
    LogFailedPull(from, pull,
                  bytes ? "malformed answer" : bytes.error().message);
    m_sources.erase(from);
    return ScheduleRetry();
  }
  if (answer.kind == DistributionAnswerKind::kBusy) {
    m_counters.Add(DistributionCounter::kPullsBusy);
    LogFailedPull(from, pull, "the source has used up its serving budget");
    return ScheduleRetry();
  }
  const std::uint64_t source_version = answer.digest.version;
  if (!AdoptAnswer(std::move(answer))) {
    // The answer may lead from a version that another pull has replaced.
    if (m_digest.version != pull.version) return PullIfBehind();
    m_counters.Add(DistributionCounter::kRefusedDamaged);
    LogFailedPull(from, pull, "the configuration received is damaged");
    m_sources.erase(from);
    m_request_full_config = true;
    return ScheduleRetry();
  }
  m_request_full_config = false;
  if (source_version <= m_digest.version) m_sources.erase(from);
  PullIfBehind();
}

bool ConfigDistributor::AdoptAnswer(DistributionAnswer answer) {
  if (answer.kind == DistributionAnswerKind::kDeltas) {
    return AdoptDeltas(std::move(answer.deltas));
  }
  if (answer.kind == DistributionAnswerKind::kFull) return AdoptFull(answer);
  return answer.kind == DistributionAnswerKind::kUpToDate;
}

bool ConfigDistributor::AdoptDeltas(std::vector<ConfigDelta> deltas) {
  // Another pull may have delivered the first deltas in the meantime.
  std::erase_if(deltas, [this](const ConfigDelta& delta) {
    return delta.header.to_version <= m_digest.version;
  });
  if (deltas.empty()) return true;
  ClusterConfig config = m_config;
  if (!ApplyDeltas(deltas, &config)) return false;
  const std::uint64_t hash = deltas.back().header.to_hash;
  for (ConfigDelta& delta : deltas) m_history.Add(std::move(delta));
  Adopt(std::move(config), hash);
  return true;
}

bool ConfigDistributor::AdoptFull(const DistributionAnswer& answer) {
  ClusterConfig config;
  if (!DecodeConfig(answer.full_config, &config) ||
      config.version != answer.digest.version ||
      HashConfig(config) != answer.digest.hash) {
    return false;
  }
  if (config.version <= m_digest.version) {
    m_counters.Add(DistributionCounter::kRefusedOlder);
    return true;
  }
  m_counters.Add(DistributionCounter::kAdoptedFullConfig);
  m_history.Clear();
  Adopt(std::move(config), answer.digest.hash);
  return true;
}

void ConfigDistributor::ScheduleRetry() {
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  const Duration delay(static_cast<Duration::rep>(
      jitter(m_random) * static_cast<double>(m_options.retry_pause.count())));
  m_scheduler->Cancel(m_retry_timer);
  m_retry_timer = m_scheduler->Schedule(delay, [this] {
    m_retry_timer = 0;
    PullIfBehind();
  });
}

void ConfigDistributor::ArmLagTimer(Duration delay) {
  m_lag_timer = m_scheduler->Schedule(delay, [this] {
    m_lag_timer = 0;
    ReportLag();
  });
}

void ConfigDistributor::ReportLag() {
  const auto newest = m_lag.Newest();
  if (!newest) return;
  const TimePoint now = m_scheduler->Now();
  const Duration behind_for = m_lag.BehindFor(now);
  if (behind_for < kLagReportDelay) {
    return ArmLagTimer(kLagReportDelay - behind_for);
  }
  ArmLagTimer(kLagReportInterval);
  if (m_options.log == nullptr) return;
  m_lag_reported = true;
  std::string asked;
  for (const auto& [address, pull] : m_pulls) {
    if (!asked.empty()) asked += ' ';
    asked +=
        address.host_port + '/' + ToMillisecondText(now - pull.asked_at) + "ms";
  }
  m_options.log->Write(LogLevel::kWarning, "configuration_behind",
                       {{"version", std::to_string(m_digest.version)},
                        {"known_version", std::to_string(newest->version)},
                        {"heard_from", newest->from.host_port},
                        {"behind_ms", ToMillisecondText(behind_for)},
                        {"sources", std::to_string(m_sources.size())},
                        {"asked", asked}});
}

void ConfigDistributor::ReportCaughtUp(Duration behind_for) {
  if (!std::exchange(m_lag_reported, false)) return;
  m_options.log->Write(LogLevel::kInfo, "configuration_caught_up",
                       {{"version", std::to_string(m_digest.version)},
                        {"behind_ms", ToMillisecondText(behind_for)}});
}

void ConfigDistributor::LogFailedPull(const Address& from, const Pull& pull,
                                      std::string_view reason) {
  if (m_options.log == nullptr) return;
  m_options.log->Write(
      LogLevel::kWarning, "configuration_pull_failed",
      {{"from", from.host_port},
       {"version", std::to_string(m_digest.version)},
       {"known_version", std::to_string(m_lag.HighestVersion())},
       {"asked_ms_ago", ToMillisecondText(m_scheduler->Now() - pull.asked_at)},
       {"reason", std::string(reason)}});
}

void ConfigDistributor::OnRequest(const std::string& bytes,
                                  const PeerTransport::Responder& respond) {
  DistributionRequest request;
  if (!Decode(bytes, &request) ||
      request.kind > DistributionRequestKind::kConfirmedVersionOfLeader) {
    m_counters.Add(DistributionCounter::kMalformedRequests);
    return respond("");
  }
  if (request.kind == DistributionRequestKind::kPull) {
    return respond(Encode(AnswerPull(request.digest)));
  }
  if (request.kind != DistributionRequestKind::kKnownVersion) {
    return AnswerConfirmedVersion(
        request.kind == DistributionRequestKind::kConfirmedVersion, respond);
  }
  DistributionAnswer answer;
  answer.digest = m_digest;
  answer.known_version = m_digest.version;
  if (m_known_version_callback) {
    answer.known_version =
        std::max(answer.known_version, m_known_version_callback());
  }
  if (m_group_view_callback) answer.group = m_group_view_callback();
  respond(Encode(answer));
}

void ConfigDistributor::AnswerConfirmedVersion(
    bool may_forward, const PeerTransport::Responder& respond) {
  if (!m_confirm_version) {
    m_counters.Add(DistributionCounter::kMalformedRequests);
    return respond("");
  }
  const std::weak_ptr<int> alive = m_alive;
  m_confirm_version(may_forward, [this, alive, respond](
                                     std::optional<std::uint64_t> version) {
    if (alive.expired()) return;
    DistributionAnswer answer;
    answer.digest = m_digest;
    answer.kind = version ? DistributionAnswerKind::kVersion
                          : DistributionAnswerKind::kBusy;
    answer.known_version = version.value_or(0);
    respond(Encode(answer));
  });
}

DistributionAnswer ConfigDistributor::AnswerPull(
    const ConfigDigest& requester_digest) {
  DistributionAnswer answer;
  answer.digest = m_digest;
  answer.kind = DistributionAnswerKind::kUpToDate;
  if (requester_digest.version >= m_digest.version) return answer;
  std::vector<ConfigDelta> deltas =
      requester_digest.version == 0
          ? std::vector<ConfigDelta>{}
          : m_history.DeltasSince(requester_digest.version);
  if (!HasServeBudget()) {
    m_counters.Add(DistributionCounter::kServesRefused);
    answer.kind = DistributionAnswerKind::kBusy;
    return answer;
  }
  if (deltas.empty() || TotalBytes(deltas) > MinFullBytes(m_config)) {
    m_counters.Add(DistributionCounter::kServedFullConfig);
    answer.kind = DistributionAnswerKind::kFull;
    answer.full_config = EncodeConfig(m_config);
    SpendServeBudget(answer.full_config.size());
    return answer;
  }
  m_counters.Add(DistributionCounter::kServedDeltas);
  answer.kind = DistributionAnswerKind::kDeltas;
  for (const ConfigDelta& delta : deltas) SpendServeBudget(delta.bytes.size());
  answer.deltas = std::move(deltas);
  return answer;
}

bool ConfigDistributor::HasServeBudget() {
  const TimePoint now = m_scheduler->Now();
  const double refill = ToSeconds(now - m_serve_budget_refilled_at) *
                        static_cast<double>(m_options.serve_bytes_per_second);
  m_serve_budget_refilled_at = now;
  m_serve_budget_bytes =
      std::min(m_serve_budget_bytes + refill,
               static_cast<double>(m_options.serve_burst_bytes));
  return m_serve_budget_bytes > 0;
}

void ConfigDistributor::SpendServeBudget(std::size_t bytes) {
  // An answer that is larger than the rest of the budget makes it negative.
  m_serve_budget_bytes -= static_cast<double>(bytes);
  m_counters.Add(DistributionCounter::kServedBytes, bytes);
}

}  // namespace chicoryvale
