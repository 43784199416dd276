#include "config/freshness_check.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chicoryvale {

FreshnessCheck::FreshnessCheck(FreshnessOptions options,
                               SourceCallback on_source)
    : m_options(std::move(options)),
      m_on_source(std::move(on_source)),
      m_random(m_options.random_seed) {}

FreshnessCheck::~FreshnessCheck() {
  for (const TimerId timer :
       {m_deadline_timer, m_patience_timer, m_round_timer}) {
    m_options.scheduler->Cancel(timer);
  }
}

void FreshnessCheck::OnApplied(std::uint64_t version) {
  m_applied_version = std::max(m_applied_version, version);
  ReleaseIfCurrent();
}

void FreshnessCheck::OnConfirm(Callback callback) {
  if (IsCurrent()) {
    m_counters.Add(FreshnessCounter::kConfirmed);
    return callback(true);
  }
  if (m_waiting.size() >= m_options.max_waiting) {
    m_counters.Add(FreshnessCounter::kNotConfirmed);
    return callback(false);
  }
  m_waiting.push_back(
      {m_options.scheduler->Now() + m_options.max_wait, std::move(callback)});
  if (m_deadline_timer == 0) ArmDeadlineTimer();
  // With a recent confirmation, only the confirmed version has to arrive.
  if (!HasRecentConfirmation() && !m_round_open && m_round_timer == 0) {
    BeginRound();
  }
}

bool FreshnessCheck::HasRecentConfirmation() const {
  return m_confirmed_at &&
         m_options.scheduler->Now() - *m_confirmed_at <= m_options.max_age;
}

bool FreshnessCheck::IsCurrent() const {
  return HasRecentConfirmation() && m_applied_version >= m_confirmed_version;
}

void FreshnessCheck::BeginRound() {
  m_counters.Add(FreshnessCounter::kRounds);
  ++m_round;
  m_round_open = true;
  m_round_started_at = m_options.scheduler->Now();
  m_asked.clear();
  m_requests_open = 0;
  AskNext();
}

void FreshnessCheck::AskNext() {
  m_options.scheduler->Cancel(std::exchange(m_patience_timer, 0));
  const auto to = m_asked.size() < m_options.max_requests_per_round
                      ? PickControl()
                      : std::nullopt;
  if (!to) {
    if (m_requests_open == 0) EndRound();
    return;
  }
  m_counters.Add(FreshnessCounter::kRequests);
  m_asked.insert(*to);
  ++m_requests_open;
  m_patience_timer = m_options.scheduler->Schedule(m_options.patience, [this] {
    m_patience_timer = 0;
    AskNext();
  });
  const std::weak_ptr<int> alive = m_alive;
  m_options.transport->Call(
      *to, PeerChannel::kConfig,
      Encode(
          DistributionRequest{DistributionRequestKind::kConfirmedVersion, {}}),
      m_options.request_timeout,
      [this, alive, round = m_round,
       from = *to](const Result<std::string>& bytes) {
        if (!alive.expired()) OnAnswer(round, from, bytes);
      });
}

std::optional<Address> FreshnessCheck::PickControl() {
  const std::string& own_zone = m_options.members->Self().availability_zone;
  std::vector<Address> candidates;
  std::vector<Address> in_own_zone;
  for (const Member& member : m_options.members->Members()) {
    const bool may_answer = member.info.role == MemberRole::kControl &&
                            member.state <= MemberState::kSuspect &&
                            !m_asked.contains(member.info.address);
    if (!may_answer) continue;
    candidates.push_back(member.info.address);
    if (member.info.availability_zone == own_zone) {
      in_own_zone.push_back(member.info.address);
    }
  }
  if (!in_own_zone.empty()) candidates = std::move(in_own_zone);
  if (candidates.empty()) {
    std::ranges::copy_if(
        m_options.control_addresses, std::back_inserter(candidates),
        [this](const Address& to) { return !m_asked.contains(to); });
  }
  if (candidates.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  return candidates[index(m_random)];
}

void FreshnessCheck::OnAnswer(std::uint64_t round, const Address& from,
                              const Result<std::string>& bytes) {
  if (round != m_round || !m_round_open) return;
  --m_requests_open;
  DistributionAnswer answer;
  const bool is_confirmed = bytes && Decode(*bytes, &answer) &&
                            answer.kind == DistributionAnswerKind::kVersion;
  if (!is_confirmed) {
    m_counters.Add(FreshnessCounter::kRequestsFailed);
    return AskNext();
  }
  m_confirmed_version = std::max(m_confirmed_version, answer.known_version);
  m_confirmed_at = m_round_started_at;
  EndRound();
  m_on_source(from, answer.digest);
  ReleaseIfCurrent();
}

void FreshnessCheck::EndRound() {
  m_round_open = false;
  m_options.scheduler->Cancel(std::exchange(m_patience_timer, 0));
  const bool is_confirmed = m_confirmed_at == m_round_started_at;
  if (is_confirmed || m_waiting.empty()) return;
  m_round_timer = m_options.scheduler->Schedule(m_options.round_pause, [this] {
    m_round_timer = 0;
    if (!m_waiting.empty()) BeginRound();
  });
}

void FreshnessCheck::ArmDeadlineTimer() {
  const Duration delay =
      m_waiting.front().deadline - m_options.scheduler->Now();
  m_deadline_timer =
      m_options.scheduler->Schedule(std::max(delay, Duration::zero()), [this] {
        m_deadline_timer = 0;
        ReleaseExpired();
      });
}

void FreshnessCheck::ReleaseExpired() {
  const TimePoint now = m_options.scheduler->Now();
  const std::weak_ptr<int> alive = m_alive;
  while (!m_waiting.empty() && m_waiting.front().deadline <= now) {
    const Callback callback = std::move(m_waiting.front().callback);
    m_waiting.pop_front();
    m_counters.Add(FreshnessCounter::kNotConfirmed);
    callback(false);
    if (alive.expired()) return;
  }
  if (!m_waiting.empty() && m_deadline_timer == 0) ArmDeadlineTimer();
}

void FreshnessCheck::ReleaseIfCurrent() {
  const std::weak_ptr<int> alive = m_alive;
  while (!m_waiting.empty() && IsCurrent()) {
    const Callback callback = std::move(m_waiting.front().callback);
    m_waiting.pop_front();
    m_counters.Add(FreshnessCounter::kConfirmed);
    callback(true);
    if (alive.expired()) return;
  }
}

}  // namespace chicoryvale
