#include "config/config_recovery.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace chicoryvale {

namespace {

/// Returns `first` doubled `doublings` times, but at most `max`.
Duration Backoff(Duration first, Duration max, std::uint32_t doublings) {
  constexpr std::uint32_t kMaxDoublings = 10;
  return std::min(first * (1U << std::min(doublings, kMaxDoublings)), max);
}

}  // namespace

struct ConfigRecovery::Round {
  std::set<Address> asked;
  std::size_t in_flight = 0;
  std::size_t answer_count = 0;
  /// The newest membership of the control group among the answers.
  ControlGroupView group;
  /// The highest version in the log of each VM that is a voter by its own log.
  std::map<Address, std::uint64_t> logged_versions;
  std::uint64_t highest_adopted_version = 0;

  /// Returns the versions of the voters in `group` that have answered, in
  /// ascending order.
  [[nodiscard]] std::vector<std::uint64_t> VersionsOfVoters() const {
    std::vector<std::uint64_t> versions;
    for (const Address& voter : group.voters) {
      const auto answered = logged_versions.find(voter);
      if (answered != logged_versions.end()) {
        versions.push_back(answered->second);
      }
    }
    std::ranges::sort(versions);
    return versions;
  }

  [[nodiscard]] bool HasQuorum() const {
    return 2 * VersionsOfVoters().size() > group.voters.size();
  }

  /// Returns a version that is at least the newest accepted one. Requires a
  /// quorum. Each quorum has a voter that has logged that version, so the one
  /// with the lowest versions is enough. A voter that has lost its leader may
  /// have logged changes that were refused or lost.
  [[nodiscard]] std::uint64_t QuorumVersion() const {
    return VersionsOfVoters().at(group.voters.size() / 2);
  }
};

ConfigRecovery::ConfigRecovery(RecoveryOptions options,
                               SourceCallback on_source, RoundCallback on_round)
    : m_options(std::move(options)),
      m_on_source(std::move(on_source)),
      m_on_round(std::move(on_round)) {}

ConfigRecovery::~ConfigRecovery() { Stop(); }

void ConfigRecovery::Start() {
  m_running = true;
  BeginRound();
}

void ConfigRecovery::Stop() {
  m_running = false;
  m_options.scheduler->Cancel(std::exchange(m_timer, 0));
}

void ConfigRecovery::BeginRound() {
  m_timer = 0;
  ++m_round_count;
  const auto round = std::make_shared<Round>();
  for (const Address& to : m_options.control_addresses) Query(to, round);
  for (const MemberInfo& peer :
       m_options.gossip->RandomPeers(m_options.peers_per_round)) {
    Query(peer.address, round);
  }
  if (round->in_flight == 0) FinishRound(*round);
}

void ConfigRecovery::Query(const Address& to,
                           const std::shared_ptr<Round>& round) {
  if (!round->asked.insert(to).second) return;
  ++round->in_flight;
  const DistributionRequest request;
  const std::weak_ptr<int> alive = m_alive;
  const Duration timeout =
      Backoff(m_options.first_request_timeout, m_options.max_request_timeout,
              m_round_count - 1);
  m_options.transport->Call(
      to, PeerChannel::kConfig, Encode(request), timeout,
      [this, alive, to, round](const Result<std::string>& answer) {
        if (alive.expired()) return;
        if (answer) OnAnswer(to, *answer, round);
        if (--round->in_flight == 0) FinishRound(*round);
      });
}

void ConfigRecovery::OnAnswer(const Address& from, const std::string& bytes,
                              const std::shared_ptr<Round>& round) {
  DistributionAnswer answer;
  if (!Decode(bytes, &answer) ||
      answer.kind != DistributionAnswerKind::kVersion) {
    return;
  }
  const bool had_quorum = round->HasQuorum();
  ++round->answer_count;
  round->highest_adopted_version =
      std::max(round->highest_adopted_version, answer.digest.version);
  if (!answer.group.voter.host_port.empty()) {
    round->logged_versions[answer.group.voter] = answer.known_version;
  }
  if (answer.group.index > round->group.index) {
    round->group = std::move(answer.group);
  }
  m_on_source(from, answer.digest);
  if (round->HasQuorum() && !had_quorum) ReportRound(*round);
  if (!m_running) return;
  for (const Address& voter : round->group.voters) Query(voter, round);
}

void ConfigRecovery::FinishRound(const Round& round) {
  if (!m_running) return;
  const Duration pause = Backoff(m_options.first_round_pause,
                                 m_options.max_round_pause, m_round_count - 1);
  m_timer = m_options.scheduler->Schedule(pause, [this] { BeginRound(); });
  ReportRound(round);
}

void ConfigRecovery::ReportRound(const Round& round) {
  if (!m_running) return;
  const bool has_quorum = round.HasQuorum();
  // Without a quorum, a version that a voter has only in its log may never
  // be committed.
  const std::uint64_t min_version =
      has_quorum
          ? std::max(round.QuorumVersion(), round.highest_adopted_version)
          : round.highest_adopted_version;
  m_on_round({has_quorum, round.answer_count, min_version});
}

}  // namespace chicoryvale
