#include "zone_admission/group_admission.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace chicoryvale {
namespace {

/// Maximum wait as a percentage of the target latency.
constexpr int kMaxWaitPercent = 25;
constexpr int kPercent = 100;

/// Time after the last request that was not served in time from which the limit
/// says nothing about the present load.
constexpr Duration kForgetTime = seconds(5);

/// Range of the time after which refused callers should retry, relative to
/// their target latency. It is wide, so that they do not all return at once.
constexpr double kMinRetryAfterRatio = 0.3;
constexpr double kMaxRetryAfterRatio = 1.0;

/// Time over which the rate at which requests end is measured.
constexpr Duration kEndRateTime = milliseconds(500);

/// Weight of a new sample in the mean time in flight.
constexpr int kMeanWeightInverse = 8;

}  // namespace

GroupAdmission::~GroupAdmission() {
  for (const auto& [ticket, waiting] : m_waiting) {
    m_scheduler->Cancel(waiting.timer);
  }
  for (const auto& [ticket, admitted] : m_admitted) {
    m_scheduler->Cancel(admitted.expiry);
  }
}

Duration GroupAdmission::MaxWait(Duration target_latency) {
  return target_latency * kMaxWaitPercent / kPercent;
}

std::size_t GroupAdmission::InFlightCount() const {
  const TimePoint now = m_scheduler->Now();
  return std::accumulate(
      m_reports.begin(), m_reports.end(), m_admitted.size(),
      [now](std::size_t sum, const auto& entry) {
        const Report& report = entry.second;
        return now < report.expire_at ? sum + report.in_flight : sum;
      });
}

bool GroupAdmission::IsIdle() const {
  return m_waiting.empty() && m_admitted.empty() && !IsSaturated() &&
         InFlightCount() == 0 &&
         (!m_has_missed || m_scheduler->Now() >= m_last_miss_at + kForgetTime);
}

// Without a request that was not served in time, the limit is only a guess.
bool GroupAdmission::HasRoom() const {
  if (!m_has_missed) return true;
  return static_cast<double>(InFlightCount() + 1) <= m_limit.Limit();
}

bool GroupAdmission::IsBelowShare(const ZoneAdmissionRequest& request) const {
  const bool is_next = std::ranges::none_of(m_queues, [&](const auto& entry) {
    return entry.first < request.priority && entry.second.Size() > 0;
  });
  if (!is_next) return false;
  const auto usage = m_usage.find(request.workspace);
  const bool is_new = usage == m_usage.end();
  const std::size_t workspaces = m_usage.size() + (is_new ? 1 : 0);
  const std::uint32_t admitted = is_new ? 0 : usage->second.admitted;
  return admitted + 1 <= m_limit.Limit() / static_cast<double>(workspaces);
}

void GroupAdmission::RemoveUsage(const std::string& workspace,
                                 std::uint32_t Usage::*count) {
  const auto usage = m_usage.find(workspace);
  --(usage->second.*count);
  if (usage->second.waiting + usage->second.admitted == 0) {
    m_usage.erase(usage);
  }
}

void GroupAdmission::ForgetOldMiss() {
  const bool is_old =
      m_has_missed && m_scheduler->Now() >= m_last_miss_at + kForgetTime;
  if (!is_old || IsSaturated()) return;
  m_limit = OutcomeLimit(kLimitOptions);
  m_has_missed = false;
}

AdmissionTicket GroupAdmission::Submit(const ZoneAdmissionRequest& request,
                                       Decide decide) {
  ForgetOldMiss();
  const AdmissionTicket ticket = ++m_last_ticket;
  const TimePoint now = m_scheduler->Now();
  Waiting waiting{request, std::move(decide), now, 0};
  const bool is_admitted =
      HasRoom() ? m_waiting.empty() : IsBelowShare(request);
  if (is_admitted) {
    m_counters->Add(GroupAdmissionCounter::kAdmittedAtOnce);
    Admit(ticket, waiting);
    return ticket;
  }
  MarkSaturated();
  const Duration max_wait = MaxWait(request.target_latency);
  const Duration expected_wait = ExpectedWait(request);
  if (expected_wait > max_wait) {
    m_counters->Add(GroupAdmissionCounter::kRefusedAtOnce);
    Refuse(waiting, expected_wait);
    return ticket;
  }
  waiting.timer =
      m_scheduler->Schedule(max_wait, [this, ticket] { OnWaitEnd(ticket); });
  m_queues[request.priority].Push({ticket, request.workspace, now + max_wait});
  ++m_usage[request.workspace].waiting;
  m_waiting.emplace(ticket, std::move(waiting));
  AdmitWaiting();
  return ticket;
}

// The requests in flight leave at an even rate. Before a request come all more
// urgent ones and those that the fair order puts first.
Duration GroupAdmission::ExpectedWait(
    const ZoneAdmissionRequest& request) const {
  std::size_t ahead = 0;
  for (const auto& [priority, queue] : m_queues) {
    if (priority > request.priority) break;
    ahead += priority < request.priority
                 ? queue.Size()
                 : queue.CountAheadOfNew(request.workspace);
  }
  const double over_limit =
      std::max(static_cast<double>(InFlightCount()) - m_limit.Limit(), 0.0);
  const double turns = static_cast<double>(ahead) + over_limit;
  return Duration(static_cast<Duration::rep>(
      turns * static_cast<double>(m_mean_in_flight_time.count()) /
      m_limit.Limit()));
}

void GroupAdmission::Admit(AdmissionTicket ticket, const Waiting& waiting) {
  Admitted& admitted = m_admitted[ticket];
  admitted.workspace = waiting.request.workspace;
  ++m_usage[admitted.workspace].admitted;
  admitted.target_latency = waiting.request.target_latency;
  admitted.started_at = m_scheduler->Now();
  admitted.expiry =
      m_scheduler->Schedule(waiting.request.time_limit, [this, ticket] {
        m_counters->Add(GroupAdmissionCounter::kExpired);
        Finish(ticket, AdmittedOutcome::kUnknown);
      });
  waiting.decide({true, {}});
}

void GroupAdmission::AdmitWaiting() {
  while (!m_waiting.empty() && HasRoom()) {
    const auto queue = std::ranges::find_if(
        m_queues, [](const auto& entry) { return entry.second.Size() > 0; });
    const auto next = queue->second.Pop(
        [](const std::string& /*workspace*/) { return true; });
    const auto node = m_waiting.extract(next->ticket);
    m_scheduler->Cancel(node.mapped().timer);
    m_counters->Add(GroupAdmissionCounter::kAdmittedAfterWait);
    Admit(next->ticket, node.mapped());
    RemoveUsage(next->workspace, &Usage::waiting);
  }
}

void GroupAdmission::Refuse(const Waiting& waiting, Duration expected_wait) {
  std::uniform_real_distribution<double> ratio(kMinRetryAfterRatio,
                                               kMaxRetryAfterRatio);
  const auto spread = static_cast<Duration::rep>(
      ratio(m_random) *
      static_cast<double>(waiting.request.target_latency.count()));
  waiting.decide({false, expected_wait + Duration(spread)});
}

void GroupAdmission::OnWaitEnd(AdmissionTicket ticket) {
  const Waiting waiting = Extract(ticket);
  m_counters->Add(GroupAdmissionCounter::kRefusedAfterWait);
  MarkSaturated();
  Refuse(waiting, ExpectedWait(waiting.request));
}

GroupAdmission::Waiting GroupAdmission::Extract(AdmissionTicket ticket) {
  auto node = m_waiting.extract(ticket);
  Waiting& waiting = node.mapped();
  m_scheduler->Cancel(waiting.timer);
  const Duration max_wait = MaxWait(waiting.request.target_latency);
  m_queues[waiting.request.priority].Remove(
      {ticket, waiting.request.workspace, waiting.submitted_at + max_wait});
  RemoveUsage(waiting.request.workspace, &Usage::waiting);
  return std::move(waiting);
}

void GroupAdmission::Finish(AdmissionTicket ticket, AdmittedOutcome outcome) {
  if (m_waiting.contains(ticket)) {
    Extract(ticket);
    return;
  }
  const auto node = m_admitted.extract(ticket);
  if (node.empty()) return;
  m_scheduler->Cancel(node.mapped().expiry);
  RemoveUsage(node.mapped().workspace, &Usage::admitted);
  RecordOutcome({node.mapped().target_latency,
                 m_scheduler->Now() - node.mapped().started_at, outcome});
  AdmitWaiting();
}

void GroupAdmission::RecordInFlight(const std::string& entry,
                                    std::uint32_t count) {
  ForgetOldMiss();
  const TimePoint now = m_scheduler->Now();
  if (count == 0) {
    m_reports.erase(entry);
  } else {
    m_reports[entry] = {count, now + kReportTime};
  }
  if (!HasRoom()) MarkSaturated();
  AdmitWaiting();
}

void GroupAdmission::RecordEnd(const EndedRequest& ended) {
  RecordOutcome(ended);
}

double GroupAdmission::LimitByEndRate(Duration target_latency) const {
  const double rate_per_s =
      static_cast<double>(m_ended_at.size()) / ToSeconds(kEndRateTime);
  return rate_per_s * ToSeconds(target_latency - MaxWait(target_latency));
}

void GroupAdmission::RecordOutcome(const EndedRequest& ended) {
  if (ended.outcome == AdmittedOutcome::kUnknown) return;
  const TimePoint now = m_scheduler->Now();
  m_ended_at.push_back(now);
  while (m_ended_at.front() < now - kEndRateTime) m_ended_at.pop_front();
  m_mean_in_flight_time +=
      m_mean_in_flight_time == Duration::zero()
          ? ended.time_in_flight
          : (ended.time_in_flight - m_mean_in_flight_time) / kMeanWeightInverse;
  // The ended request was in flight until now.
  const auto in_flight = static_cast<std::uint32_t>(InFlightCount() + 1);
  if (ended.outcome == AdmittedOutcome::kServedInTime) {
    m_limit.OnServedInTime(in_flight);
    return;
  }
  // Without a limit, far more requests can be in flight than end in time.
  if (!m_has_missed) {
    OutcomeLimit::Options options = kLimitOptions;
    options.initial =
        std::clamp(LimitByEndRate(ended.target_latency), options.min,
                   std::max<double>(in_flight, options.min));
    m_limit = OutcomeLimit(options);
  }
  m_limit.OnNotServedInTime(now - ended.time_in_flight, now);
  m_has_missed = true;
  m_last_miss_at = now;
}

void GroupAdmission::MarkSaturated() {
  if (!IsSaturated()) m_counters->Add(GroupAdmissionCounter::kSaturations);
  m_saturated_until = m_scheduler->Now() + kSaturatedTime;
}

}  // namespace chicoryvale
