#include "config/config_recovery.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chicoryvale {

struct ConfigRecovery::Round {
  /// Control VMs that are asked.
  std::size_t controls = 0;
  std::size_t open = 0;
  std::size_t answers = 0;
  std::size_t control_answers = 0;
  std::uint64_t highest_known = 0;
  std::uint64_t highest_have = 0;
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
  auto round = std::make_shared<Round>();
  std::vector<Address> peers;
  for (const MemberInfo& peer :
       m_options.gossip->RandomPeers(m_options.peers_per_round)) {
    if (std::ranges::find(m_options.control_addresses, peer.address) ==
        m_options.control_addresses.end()) {
      peers.push_back(peer.address);
    }
  }
  round->controls = m_options.control_addresses.size();
  round->open = round->controls + peers.size();
  for (const Address& to : m_options.control_addresses) Query(to, true, round);
  for (const Address& peer : peers) Query(peer, false, round);
  if (round->open == 0) FinishRound(*round);
}

void ConfigRecovery::Query(const Address& to, bool control,
                           const std::shared_ptr<Round>& round) {
  const DistributionRequest request;
  const std::weak_ptr<int> alive = m_alive;
  m_options.transport->Call(
      to, PeerChannel::kConfig, Encode(request), m_options.request_timeout,
      [this, alive, to, control, round](const Result<std::string>& answer) {
        if (alive.expired()) return;
        if (answer) OnAnswer(to, control, *answer, round.get());
        if (--round->open == 0) FinishRound(*round);
      });
}

void ConfigRecovery::OnAnswer(const Address& from, bool control,
                              const std::string& bytes, Round* round) {
  DistributionAnswer answer;
  if (!Decode(bytes, &answer) || answer.reply != DistributionReply::kVersion) {
    return;
  }
  ++round->answers;
  round->highest_have = std::max(round->highest_have, answer.have.version);
  if (control) {
    ++round->control_answers;
    round->highest_known = std::max(round->highest_known, answer.known_version);
  }
  m_on_source(from, answer.have);
}

void ConfigRecovery::FinishRound(const Round& round) {
  if (!m_running) return;
  m_timer = m_options.scheduler->Schedule(m_options.round_pause,
                                          [this] { BeginRound(); });
  const bool quorum = 2 * round.control_answers > round.controls;
  // Without a quorum, what a control VM merely knows may never be committed.
  const std::uint64_t target =
      quorum ? std::max(round.highest_known, round.highest_have)
             : round.highest_have;
  m_on_round({quorum, round.answers, target});
}

}  // namespace chicoryvale
