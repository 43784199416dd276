#include "config/config_distributor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chicoryvale {
namespace {

/// Peers kept as sources of a higher version.
constexpr std::size_t kMaxSources = 32;

/// Rounds without a control quorum before an entry settles for its peers.
constexpr std::size_t kRoundsWithoutQuorum = 2;

}  // namespace

Result<std::unique_ptr<ConfigDistributor>> ConfigDistributor::Make(
    DistributorOptions options) {
  const RecoveryOptions& recovery = options.recovery;
  if (recovery.scheduler == nullptr || recovery.transport == nullptr ||
      recovery.gossip == nullptr) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "a distributor needs a scheduler, a transport and gossip");
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
          [this](const Address& from, const ConfigDigest& have) {
            NoteSource(from, false, have);
          },
          [this](const RecoveryRound& round) { OnRecoveryRound(round); }),
      m_history(m_options.max_history_bytes),
      m_serve_budget_bytes(static_cast<double>(m_options.serve_burst_bytes)) {}

ConfigDistributor::~ConfigDistributor() { m_scheduler->Cancel(m_retry_timer); }

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
        const bool near = from.availability_zone == m_options.availability_zone;
        NoteSource(from.address, near, digest);
      });
  m_recovery.Start();
}

void ConfigDistributor::SetKnownVersionCallback(KnownVersionCallback known) {
  m_known_version = std::move(known);
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
  std::erase_if(m_sources, [this](const auto& source) {
    return source.second.digest.version <= m_digest.version;
  });
  m_options.recovery.gossip->SetOwnDigest(m_digest);
  Announce();
  FinishRecovery();
}

void ConfigDistributor::Announce() {
  if (m_listener && m_status != ConfigStatus::kNone) {
    m_listener(m_config, m_status);
  }
}

void ConfigDistributor::SetStatus(ConfigStatus status) {
  if (m_status == status) return;
  m_status = status;
  Announce();
}

void ConfigDistributor::OnRecoveryRound(const RecoveryRound& round) {
  m_round = round;
  ++m_rounds;
  FinishRecovery();
  PullIfBehind();
}

void ConfigDistributor::FinishRecovery() {
  if (!m_round || m_status == ConfigStatus::kConfirmed) return;
  if (m_digest.version == 0 || m_digest.version < m_round->target) return;
  if (m_round->quorum) {
    m_recovery.Stop();
    SetStatus(ConfigStatus::kConfirmed);
  } else if (m_rounds >= kRoundsWithoutQuorum) {
    SetStatus(ConfigStatus::kUnconfirmed);
  }
}

void ConfigDistributor::NoteSource(const Address& from, bool near,
                                   const ConfigDigest& digest) {
  if (digest.version == m_digest.version && digest.hash != m_digest.hash) {
    m_counters.Add(DistributionCounter::kConflictingHash);
  }
  if (digest.version <= m_digest.version) return;
  const bool known = m_sources.contains(from);
  if (!known && m_sources.size() >= kMaxSources) {
    m_sources.erase(m_sources.begin());
  }
  Source& source = m_sources[from];
  source.digest = digest;
  source.near = source.near || near;
  PullIfBehind();
}

void ConfigDistributor::PullIfBehind() {
  if (m_pulling || m_retry_timer != 0 || m_sources.empty()) return;
  const Address from = PickSource();
  m_pulling = true;
  m_counters.Add(DistributionCounter::kPulls);
  const DistributionRequest request{
      DistributionQuestion::kPull, m_ask_for_whole ? ConfigDigest{} : m_digest};
  const std::weak_ptr<int> alive = m_alive;
  m_options.recovery.transport->Call(
      from, PeerChannel::kConfig, Encode(request), m_options.pull_timeout,
      [this, alive, from](const Result<std::string>& answer) {
        if (!alive.expired()) OnPulled(from, answer);
      });
}

Address ConfigDistributor::PickSource() {
  std::uint64_t highest = 0;
  for (const auto& [address, source] : m_sources) {
    highest = std::max(highest, source.digest.version);
  }
  std::vector<Address> all;
  std::vector<Address> near;
  for (const auto& [address, source] : m_sources) {
    all.push_back(address);
    const bool newest = source.digest.version == highest;
    if (source.near && newest) near.push_back(address);
  }
  const std::vector<Address>& from = near.empty() ? all : near;
  std::uniform_int_distribution<std::size_t> index(0, from.size() - 1);
  return from[index(m_random)];
}

void ConfigDistributor::OnPulled(const Address& from,
                                 const Result<std::string>& bytes) {
  m_pulling = false;
  DistributionAnswer answer;
  if (!bytes || !Decode(*bytes, &answer)) {
    m_counters.Add(DistributionCounter::kPullsFailed);
    m_sources.erase(from);
    return RetryLater();
  }
  if (answer.reply == DistributionReply::kBusy) {
    m_counters.Add(DistributionCounter::kPullsBusy);
    return RetryLater();
  }
  if (!AdoptAnswer(answer)) {
    m_counters.Add(DistributionCounter::kRefusedDamaged);
    m_sources.erase(from);
    m_ask_for_whole = true;
    return RetryLater();
  }
  m_ask_for_whole = false;
  if (answer.have.version <= m_digest.version) m_sources.erase(from);
  PullIfBehind();
}

bool ConfigDistributor::AdoptAnswer(const DistributionAnswer& answer) {
  if (answer.reply == DistributionReply::kSteps) {
    return AdoptSteps(answer.steps);
  }
  if (answer.reply == DistributionReply::kWhole) return AdoptWhole(answer);
  return answer.reply == DistributionReply::kNothingNewer;
}

bool ConfigDistributor::AdoptSteps(const std::vector<ConfigDelta>& steps) {
  ClusterConfig config = m_config;
  std::vector<ConfigDelta> applied;
  for (const ConfigDelta& step : steps) {
    // Another pull may have brought the first steps meanwhile.
    if (step.header.to_version <= config.version) continue;
    if (!ApplyDelta(step, &config)) return false;
    applied.push_back(step);
  }
  if (applied.empty()) return true;
  const std::uint64_t hash = applied.back().header.to_hash;
  for (ConfigDelta& step : applied) m_history.Add(std::move(step));
  Adopt(std::move(config), hash);
  return true;
}

bool ConfigDistributor::AdoptWhole(const DistributionAnswer& answer) {
  ClusterConfig config;
  if (!DecodeConfig(answer.whole, &config) ||
      config.version != answer.have.version ||
      HashConfig(config) != answer.have.hash) {
    return false;
  }
  if (config.version <= m_digest.version) {
    m_counters.Add(DistributionCounter::kRefusedOlder);
    return true;
  }
  m_counters.Add(DistributionCounter::kAdoptedFullConfig);
  m_history.Clear();
  Adopt(std::move(config), answer.have.hash);
  return true;
}

void ConfigDistributor::RetryLater() {
  std::uniform_real_distribution<double> part(0.5, 1.5);
  const Duration pause(static_cast<Duration::rep>(
      part(m_random) * static_cast<double>(m_options.retry_pause.count())));
  m_retry_timer = m_scheduler->Schedule(pause, [this] {
    m_retry_timer = 0;
    PullIfBehind();
  });
}

void ConfigDistributor::OnRequest(const std::string& bytes,
                                  const PeerTransport::Responder& respond) {
  DistributionRequest request;
  if (!Decode(bytes, &request) ||
      request.question > DistributionQuestion::kPull) {
    m_counters.Add(DistributionCounter::kMalformedRequests);
    return respond("");
  }
  if (request.question == DistributionQuestion::kPull) {
    return respond(Encode(AnswerPull(request.have)));
  }
  DistributionAnswer answer;
  answer.have = m_digest;
  answer.known_version = m_digest.version;
  if (m_known_version) {
    answer.known_version = std::max(answer.known_version, m_known_version());
  }
  respond(Encode(answer));
}

DistributionAnswer ConfigDistributor::AnswerPull(const ConfigDigest& have) {
  DistributionAnswer answer;
  answer.have = m_digest;
  answer.reply = DistributionReply::kNothingNewer;
  if (have.version >= m_digest.version) return answer;
  std::vector<ConfigDelta> steps = have.version == 0
                                       ? std::vector<ConfigDelta>{}
                                       : m_history.Since(have.version);
  if (!HasServeBudget()) {
    m_counters.Add(DistributionCounter::kServesRefused);
    answer.reply = DistributionReply::kBusy;
    return answer;
  }
  if (steps.empty()) {
    m_counters.Add(DistributionCounter::kServedFullConfig);
    answer.reply = DistributionReply::kWhole;
    answer.whole = EncodeConfig(m_config);
    TakeServeBudget(answer.whole.size());
    return answer;
  }
  m_counters.Add(DistributionCounter::kServedDeltas);
  answer.reply = DistributionReply::kSteps;
  for (const ConfigDelta& step : steps) TakeServeBudget(step.bytes.size());
  answer.steps = std::move(steps);
  return answer;
}

bool ConfigDistributor::HasServeBudget() {
  const TimePoint now = m_scheduler->Now();
  const double refill = ToSeconds(now - m_serve_refilled) *
                        static_cast<double>(m_options.serve_bytes_per_second);
  m_serve_refilled = now;
  m_serve_budget_bytes =
      std::min(m_serve_budget_bytes + refill,
               static_cast<double>(m_options.serve_burst_bytes));
  return m_serve_budget_bytes > 0;
}

void ConfigDistributor::TakeServeBudget(std::size_t bytes) {
  // An answer larger than what is left makes the budget negative.
  m_serve_budget_bytes -= static_cast<double>(bytes);
  m_counters.Add(DistributionCounter::kServedBytes, bytes);
}

}  // namespace chicoryvale
