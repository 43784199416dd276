#include "routing/router.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chicoryvale {
namespace {

/// Time after which callers should retry if this entry has just started: about
/// the time that it needs to receive the configuration.
constexpr Duration kRetryAfterStart = milliseconds(500);

/// Time after which callers should retry if it could not be confirmed that the
/// configuration is current. The entry asks again meanwhile.
constexpr Duration kRetryAfterUnconfirmed = milliseconds(500);

/// Upper bound of the random factor by which callers are told to return later,
/// so that those that were refused together don't return together.
constexpr double kMaxRetryAfterFactor = 1.25;

/// Multiple of the target latency that has to be left until the process ends
/// for a request to be accepted. Idempotent requests that take longer can be
/// sent again; the caller of another one would not learn whether it has run.
constexpr int kStopMarginIdempotent = 1;
constexpr int kStopMarginOnce = 4;

AdmittedOutcome OutcomeOf(const RoutedAnswer& answer, bool in_time) {
  // Without any replica to send to, the request put no load on the replicas.
  if (answer.error && answer.error->ran == Ran::kNo) {
    return AdmittedOutcome::kUnknown;
  }
  return in_time && !answer.error ? AdmittedOutcome::kServedInTime
                                  : AdmittedOutcome::kNotServedInTime;
}

}  // namespace

bool Router::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  if (config->version <= ConfigVersion()) return false;
  m_table = std::make_unique<RouteTable>(std::move(config));
  m_split_picker.Reset();
  std::erase_if(m_admissions,
                [](const auto& entry) { return entry.second->IsIdle(); });
  return true;
}

std::uint64_t Router::ConfigVersion() const {
  return m_table ? m_table->Config()->version : 0;
}

std::uint64_t Router::Handle(const RoutedRequest& request, Callback callback) {
  m_context.counters->Add(RoutingCounter::kRequests);
  if (!m_table) {
    Refuse(request, RoutingCounter::kRefusedNoConfiguration,
           {ErrorKind::kNoConfiguration,
            "no configuration has been received yet", Ran::kNo},
           kRetryAfterStart, callback);
    return 0;
  }
  const std::uint64_t number = ++m_last_query_number;
  const Match match = FindMatch(request);
  if (match.IsServed()) {
    Dispatch(number, request, match, std::move(callback));
  } else {
    AwaitFreshness(number, request, std::move(callback));
  }
  return IsOpen(number) ? number : 0;
}

Router::Match Router::FindMatch(const RoutedRequest& request) const {
  Match match;
  match.route = m_table->Find(request.host, request.path);
  if (match.route == nullptr || !m_table->Config()->workspaces) return match;
  match.workspace = m_table->FindWorkspace(request.key);
  match.lacks_key = match.workspace == nullptr && !match.route->is_public;
  return match;
}

std::shared_ptr<const OpaqueRequest> Router::Forwarded(
    const RoutedRequest& request, const Workspace* workspace) const {
  const bool has_workspaces = m_table->Config()->workspaces.has_value();
  const bool is_unchanged =
      has_workspaces ? workspace == nullptr : request.identity_headers.empty();
  if (is_unchanged) return request.request;
  auto forwarded = std::make_shared<OpaqueRequest>(*request.request);
  if (has_workspaces) {
    forwarded->workspace = workspace->name;
  } else {
    std::ranges::copy(request.identity_headers,
                      std::back_inserter(forwarded->headers));
  }
  return forwarded;
}

bool Router::IsOpen(std::uint64_t number) const {
  return m_queries.contains(number) || m_waiting.contains(number) ||
         m_unmatched.contains(number) || m_awaiting_quota.contains(number);
}

// The route or the key may have been added by a change that has not arrived
// here. Only if the configuration is current does their lack say that there is
// none.
void Router::AwaitFreshness(std::uint64_t number, const RoutedRequest& request,
                            Callback callback) {
  m_unmatched.emplace(number, UnmatchedRequest{request, std::move(callback),
                                               m_context.scheduler->Now()});
  if (m_freshness == nullptr) return OnFreshness(number, true);
  const std::weak_ptr<int> alive = m_alive;
  m_freshness->Confirm([this, alive, number](bool is_current) {
    if (!alive.expired()) OnFreshness(number, is_current);
  });
}

void Router::OnFreshness(std::uint64_t number, bool is_current) {
  auto node = m_unmatched.extract(number);
  if (node.empty()) return;
  UnmatchedRequest& unmatched = node.mapped();
  RoutedRequest& request = unmatched.request;
  const Match match = FindMatch(request);
  if (match.IsServed()) {
    if (request.time_left) {
      *request.time_left -= m_context.scheduler->Now() - unmatched.received_at;
    }
    return Dispatch(number, request, match, std::move(unmatched.callback));
  }
  if (is_current) return RefuseUnmatched(unmatched, match);
  RefuseUnconfirmed(request, unmatched.callback);
}

void Router::RefuseUnmatched(const UnmatchedRequest& unmatched,
                             const Match& match) {
  if (match.route == nullptr) {
    return Refuse(unmatched.request, RoutingCounter::kRefusedUnknownRoute,
                  {ErrorKind::kUnknownEndpoint,
                   "no route matches this host and path", Ran::kNo},
                  Duration::zero(), unmatched.callback);
  }
  Refuse(unmatched.request, RoutingCounter::kRefusedUnknownKey,
         {ErrorKind::kUnauthenticated,
          "the request has no key that a workspace holds", Ran::kNo},
         Duration::zero(), unmatched.callback);
}

void Router::RefuseUnconfirmed(const RoutedRequest& request,
                               const Callback& callback) {
  Refuse(request, RoutingCounter::kRefusedUnconfirmed,
         {ErrorKind::kNoConfiguration,
          "no route or key matches, but this entry cannot confirm now that its "
          "configuration is current",
          Ran::kNo},
         SpreadRetryAfter(kRetryAfterUnconfirmed), callback);
}

void Router::Dispatch(std::uint64_t number, const RoutedRequest& request,
                      const Match& match, Callback callback) {
  const Route& route = *match.route;
  if (!MayEndInTime(route)) {
    return Refuse(
        request, RoutingCounter::kRefusedStopping,
        {ErrorKind::kShuttingDown, "this entry is shutting down", Ran::kNo},
        Duration::zero(), callback);
  }
  if (m_context.crash_guard != nullptr &&
      !m_context.crash_guard->MayRun(*request.request)) {
    return Refuse(
        request, RoutingCounter::kRefusedQuarantined,
        {ErrorKind::kUpstreamUnavailable,
         "this request has crashed the replicas that ran it", Ran::kNo},
        m_context.crash_guard->RetryAfter(*request.request), callback);
  }
  const bool has_quota = m_context.quota != nullptr &&
                         match.workspace != nullptr &&
                         match.workspace->max_requests_per_s > 0;
  if (has_quota) {
    return AwaitQuota(number, request, *match.workspace, std::move(callback));
  }
  StartMatched(number, request, match, m_context.scheduler->Now(),
               std::move(callback));
}

void Router::AwaitQuota(std::uint64_t number, const RoutedRequest& request,
                        const Workspace& workspace, Callback callback) {
  m_awaiting_quota.emplace(number,
                           RequestAwaitingQuota{request, std::move(callback),
                                                m_context.scheduler->Now()});
  const WorkspaceQuota quota{workspace.name, workspace.max_requests_per_s,
                             workspace.burst, ConfigVersion()};
  m_context.quota->Acquire(
      quota, [this, alive = std::weak_ptr<int>(m_alive), number,
              name = quota.workspace](const QuotaDecision& decision) {
        if (alive.expired()) return;
        OnQuotaDecision(number, name, decision);
      });
}

void Router::OnQuotaDecision(std::uint64_t number, const std::string& workspace,
                             const QuotaDecision& decision) {
  const bool has_token = decision.verdict == QuotaVerdict::kWithinQuota;
  auto node = m_awaiting_quota.extract(number);
  if (node.empty()) {
    if (has_token) m_context.quota->GiveBack(workspace);
    return;
  }
  RequestAwaitingQuota& waited = node.mapped();
  if (!has_token) return RefuseByQuota(waited, decision);
  // The configuration may have changed meanwhile.
  const Match match = FindMatch(waited.request);
  const bool is_same_workspace = match.IsServed() &&
                                 match.workspace != nullptr &&
                                 match.workspace->name == workspace;
  if (!is_same_workspace) {
    m_context.quota->GiveBack(workspace);
    return RefuseUnconfirmed(waited.request, waited.callback);
  }
  StartMatched(number, waited.request, match, waited.received_at,
               std::move(waited.callback));
}

void Router::RefuseByQuota(const RequestAwaitingQuota& waited,
                           const QuotaDecision& decision) {
  const Duration retry_after = SpreadRetryAfter(decision.retry_after);
  if (decision.verdict == QuotaVerdict::kOverQuota) {
    return Refuse(waited.request, RoutingCounter::kRefusedOverQuota,
                  {ErrorKind::kWorkspaceOverShare,
                   "the workspace has used its quota", Ran::kNo},
                  retry_after, waited.callback);
  }
  Refuse(waited.request, RoutingCounter::kRefusedQuotaUnknown,
         {ErrorKind::kOverloaded,
          "the entry that owns the quota of the workspace does not answer",
          Ran::kNo},
         retry_after, waited.callback);
}

void Router::GiveBackToken(const OpaqueRequest& request) {
  if (m_context.quota == nullptr || !request.workspace) return;
  m_context.quota->GiveBack(*request.workspace);
}

void Router::StartMatched(std::uint64_t number, const RoutedRequest& request,
                          const Match& match, TimePoint received_at,
                          Callback callback) {
  const Route& route = *match.route;
  RoutedQuery::Input input;
  input.request = Forwarded(request, match.workspace);
  input.config = m_table->Config();
  input.route = &route;
  input.services = route.IsScattered()
                       ? route.scatter.shards
                       : std::vector<std::string>{m_split_picker.Pick(route)};
  input.time_limit =
      std::min(route.timeout, request.time_left.value_or(route.timeout));
  if (m_end) {
    input.time_limit = std::min(input.time_limit, *m_end - received_at);
  }
  const std::uint32_t priority =
      match.workspace == nullptr
          ? route.priority
          : match.workspace->priority.value_or(route.priority);
  WaitingRequest waiting{request, {}, {}, received_at, priority};
  if (SharesAdmission()) {
    waiting.input = std::move(input);
    waiting.callback = std::move(callback);
    SubmitToZone(number, std::move(waiting));
  } else if (route.IsScattered()) {
    waiting.input = std::move(input);
    waiting.callback = std::move(callback);
    SubmitScattered(number, std::move(waiting));
  } else {
    input.waited = m_context.scheduler->Now() - received_at;
    StartQuery(number, std::move(input), std::move(callback));
  }
}

void Router::BeginStop(TimePoint end) { m_end = end; }

bool Router::MayEndInTime(const Route& route) const {
  if (!m_end) return true;
  const int margin = route.idempotent ? kStopMarginIdempotent : kStopMarginOnce;
  return *m_end - m_context.scheduler->Now() >= margin * route.target_latency;
}

void Router::EndAll() {
  std::vector<std::uint64_t> unmatched;
  std::ranges::transform(m_unmatched, std::back_inserter(unmatched),
                         [](const auto& entry) { return entry.first; });
  for (const std::uint64_t number : unmatched) OnFreshness(number, false);
  const QuotaDecision unknown{QuotaVerdict::kUnknown, Duration::zero()};
  std::vector<std::uint64_t> awaiting_quota;
  std::ranges::transform(m_awaiting_quota, std::back_inserter(awaiting_quota),
                         [](const auto& entry) { return entry.first; });
  for (const std::uint64_t number : awaiting_quota) {
    OnQuotaDecision(number, {}, unknown);
  }
  std::vector<std::uint64_t> waiting;
  std::ranges::transform(m_waiting, std::back_inserter(waiting),
                         [](const auto& entry) { return entry.first; });
  for (const std::uint64_t number : waiting) {
    CancelAdmission(number);
    if (m_waiting.contains(number)) RefuseWaiting(number, Duration::zero());
  }
  std::vector<std::uint64_t> running;
  std::ranges::transform(m_queries, std::back_inserter(running),
                         [](const auto& entry) { return entry.first; });
  for (const std::uint64_t number : running) {
    const auto query = m_queries.find(number);
    if (query != m_queries.end()) query->second->EndNow();
  }
}

Duration Router::SpreadRetryAfter(Duration retry_after) {
  std::uniform_real_distribution<double> factor(1.0, kMaxRetryAfterFactor);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(retry_after.count()) * factor(m_random)));
}

RequestAdmission& Router::AdmissionOf(const Route& route) {
  std::unique_ptr<RequestAdmission>& admission =
      m_admissions[route.scatter.shards.front()];
  if (!admission) {
    admission =
        std::make_unique<RequestAdmission>(m_context.scheduler, m_random());
  }
  return *admission;
}

bool Router::SharesAdmission() const {
  return m_context.zone_admission != nullptr &&
         m_table->Config()->workspaces.has_value();
}

void Router::SubmitToZone(std::uint64_t number, WaitingRequest waiting) {
  const ZoneAdmissionRequest request{
      waiting.input.services.front(),
      waiting.input.request->workspace.value_or(""), waiting.priority,
      waiting.input.route->target_latency, waiting.input.time_limit};
  m_waiting.emplace(number, std::move(waiting));
  m_context.zone_admission->Submit(
      number, request,
      [this, alive = std::weak_ptr<int>(m_alive),
       number](const ZoneAdmissionDecision& decision) {
        if (alive.expired()) return;
        if (decision.is_admitted) return StartAdmitted(number);
        RefuseWaiting(number, decision.retry_after);
      });
}

void Router::SubmitScattered(std::uint64_t number, WaitingRequest waiting) {
  const Route& route = *waiting.input.route;
  RequestAdmission& admission = AdmissionOf(route);
  RequestAdmission::Request request;
  request.priority = waiting.priority;
  request.target_latency = route.target_latency;
  request.admit = [this, number] { StartAdmitted(number); };
  request.refuse = [this, number](Duration retry_after) {
    RefuseWaiting(number, retry_after);
  };
  m_waiting.emplace(number, std::move(waiting));
  admission.Submit(number, std::move(request));
}

bool Router::IsStillAuthorized(const WaitingRequest& waiting) const {
  if (m_table->Config() == waiting.input.config) return true;
  const Match match = FindMatch(waiting.request);
  return match.route == nullptr ||
         Forwarded(waiting.request, match.workspace)->workspace ==
             waiting.input.request->workspace;
}

void Router::StartAdmitted(std::uint64_t number) {
  auto node = m_waiting.extract(number);
  WaitingRequest& waiting = node.mapped();
  RoutedQuery::Input& input = waiting.input;
  const TimePoint received_at = waiting.received_at;
  input.waited = m_context.scheduler->Now() - received_at;
  const ShardSet shards = input.services.front();
  if (!IsStillAuthorized(waiting)) {
    FinishAdmitted(shards, number, AdmittedOutcome::kUnknown);
    GiveBackToken(*input.request);
    return RefuseUnconfirmed(waiting.request, waiting.callback);
  }
  const Duration target_latency = input.route->target_latency;
  StartQuery(number, std::move(input),
             [this, shards, number, received_at, target_latency,
              callback = std::move(waiting.callback)](RoutedAnswer answer) {
               const Duration latency =
                   m_context.scheduler->Now() - received_at;
               FinishAdmitted(shards, number,
                              OutcomeOf(answer, latency <= target_latency));
               callback(std::move(answer));
             });
}

void Router::RefuseWaiting(std::uint64_t number, Duration retry_after) {
  const auto node = m_waiting.extract(number);
  const WaitingRequest& waiting = node.mapped();
  GiveBackToken(*waiting.input.request);
  Refuse(waiting.request, RoutingCounter::kRefusedOverloaded,
         {ErrorKind::kOverloaded, "too many requests are in flight", Ran::kNo},
         retry_after, waiting.callback);
}

void Router::FinishAdmitted(const ShardSet& shards, std::uint64_t number,
                            AdmittedOutcome outcome) {
  const auto admission = m_admissions.find(shards);
  if (admission != m_admissions.end()) {
    admission->second->Finish(number, outcome);
  }
  if (m_context.zone_admission != nullptr) {
    m_context.zone_admission->Finish(number, outcome);
  }
}

void Router::CancelAdmission(std::uint64_t number) {
  for (const auto& [shards, admission] : m_admissions) {
    admission->Cancel(number);
  }
  if (m_context.zone_admission != nullptr) {
    m_context.zone_admission->Cancel(number);
  }
}

void Router::StartQuery(std::uint64_t number, RoutedQuery::Input input,
                        Callback callback) {
  const std::shared_ptr<const OpaqueRequest> request = input.request;
  auto query = std::make_unique<RoutedQuery>(
      m_context, std::move(input),
      [this, number, request,
       callback = std::move(callback)](RoutedAnswer answer) {
        if (answer.error && answer.error->ran == Ran::kNo) {
          GiveBackToken(*request);
        }
        // The query is destroyed after its current call has returned.
        auto node = m_queries.extract(number);
        if (!node.empty()) {
          m_context.scheduler->Schedule(Duration::zero(),
                                        [ended = std::shared_ptr<RoutedQuery>(
                                             std::move(node.mapped()))] {});
        }
        answer.retry_after = SpreadRetryAfter(answer.retry_after);
        callback(std::move(answer));
      });
  RoutedQuery* started = query.get();
  m_queries.emplace(number, std::move(query));
  started->Start();
}

void Router::CancelOnDisconnect(std::uint64_t query) {
  CancelAdmission(query);
  const auto waiting = m_waiting.find(query);
  if (waiting != m_waiting.end()) GiveBackToken(*waiting->second.input.request);
  if (m_waiting.erase(query) + m_unmatched.erase(query) +
          m_awaiting_quota.erase(query) !=
      0) {
    return m_context.counters->Add(RoutingCounter::kCallersGone);
  }
  const auto node = m_queries.extract(query);
  if (!node.empty()) node.mapped()->CancelOnDisconnect();
}

std::string Router::WorkspaceName(const RoutedRequest& request) const {
  const Workspace* workspace =
      m_table ? m_table->FindWorkspace(request.key) : nullptr;
  return workspace == nullptr ? "" : workspace->name;
}

void Router::Refuse(const RoutedRequest& request, RoutingCounter counter,
                    const Error& error, Duration retry_after,
                    const Callback& callback) {
  m_context.counters->Add(counter);
  m_context.log->Write(LogLevel::kWarning, "request_refused",
                       {{"id", request.request->id},
                        {"host", request.host},
                        {"path", request.path},
                        {"workspace", WorkspaceName(request)},
                        {"config_version", std::to_string(ConfigVersion())},
                        {"reason", std::string(PropertiesOf(error.kind).name)},
                        {"retry_after_ms", MillisecondsText(retry_after)}});
  RoutedAnswer answer;
  answer.error = error;
  answer.retry_after = retry_after;
  callback(std::move(answer));
}

}  // namespace chicoryvale
