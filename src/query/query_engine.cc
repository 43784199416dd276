#include "query/query_engine.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace chicoryvale {
namespace {

using enum QueryCounter;

// The answer margin is at most the timeout of the query divided by this.
constexpr int kAnswerMarginDivisor = 10;

struct FailureCounter {
  ErrorKind kind;
  QueryCounter counter;
};

constexpr std::array<FailureCounter, 7> kFailureCounters = {{
    {ErrorKind::kDeadlineExceeded, kFailedDeadline},
    {ErrorKind::kInsufficientCoverage, kFailedCoverage},
    {ErrorKind::kSnapshotUnavailable, kFailedSnapshot},
    {ErrorKind::kOverloaded, kFailedOverloaded},
    {ErrorKind::kUpstreamUnavailable, kFailedUnavailable},
    {ErrorKind::kMayHaveRun, kFailedMayHaveRun},
    {ErrorKind::kQuarantined, kFailedQuarantined},
}};

bool IsEarlyAnswer(const QueryAnswer& answer) {
  return std::ranges::find(answer.coverage, ShardState::kSkippedForEarlyAnswer,
                           &ShardCoverage::state) != answer.coverage.end();
}

}  // namespace

QueryEngine::QueryEngine(const Options& options)
    : m_options(options),
      m_random(options.random_seed),
      // A random first id makes the ids of two runs of the process distinct in
      // the logs of the upstreams.
      m_attempts((m_random() >> 1U) | 1U, &m_counters) {
  assert(options.scheduler != nullptr && options.transport != nullptr &&
         options.gate != nullptr);
}

QueryEngine::~QueryEngine() {
  for (const auto& [id, pending] : m_pending_answers) {
    m_options.scheduler->Cancel(pending.timer);
  }
  m_options.scheduler->Cancel(m_cleanup_timer);
  for (auto& [id, running] : m_queries) running.query->Cancel();
}

void QueryEngine::SetConfig(const ClusterConfig& config) {
  for (auto& [name, state] : m_services) {
    state->removed = FindService(config, name) == nullptr;
  }
  for (const ServiceConfig& service : config.services) ApplyService(service);
  DeleteRemovedServices();
}

QueryId QueryEngine::Start(QuerySpec spec, AnswerMergerFactory* mergers,
                           QueryCallback callback) {
  assert(mergers != nullptr);
  return Start(std::move(spec), mergers->Make(), std::move(callback));
}

QueryId QueryEngine::Start(QuerySpec spec, std::unique_ptr<AnswerMerger> merger,
                           QueryCallback callback) {
  assert(merger != nullptr && callback != nullptr);
  const QueryId id = ++m_last_id;
  const Result<ServiceState*> service = ResolveService(spec);
  if (!service) {
    ScheduleAnswer(id, MakeFailedAnswer(service.error()), std::move(callback));
    return id;
  }
  m_counters.Add(kStarted);
  spec.timeout -=
      std::min(m_options.answer_margin, spec.timeout / kAnswerMarginDivisor);
  auto query = std::make_unique<Query>(
      MakeDependencies(), *service, std::move(spec), std::move(merger),
      [this, id](QueryAnswer answer) { OnQueryDone(id, std::move(answer)); });
  Query* started = query.get();
  m_queries.emplace(id, RunningQuery{std::move(query), std::move(callback)});
  started->Start();
  // The gate may have refused all attempts, which ends the query.
  const auto running = m_queries.find(id);
  if (running != m_queries.end()) running->second.starting = false;
  return id;
}

bool QueryEngine::Cancel(QueryId id) {
  const auto pending = m_pending_answers.find(id);
  if (pending != m_pending_answers.end()) {
    m_options.scheduler->Cancel(pending->second.timer);
    m_pending_answers.erase(pending);
    return true;
  }
  const auto found = m_queries.find(id);
  if (found == m_queries.end() || !found->second.query->MayCancel()) {
    return false;
  }
  m_counters.Add(kCancelled);
  found->second.query->Cancel();
  DeleteLater(std::move(found->second.query));
  m_queries.erase(found);
  return true;
}

std::optional<SnapshotId> QueryEngine::CurrentSnapshot(
    const std::string& service) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) return std::nullopt;
  return found->second->snapshots.Current(m_options.scheduler->Now());
}

Result<ServiceState*> QueryEngine::ResolveService(const QuerySpec& spec) {
  if (!m_accepting) {
    m_counters.Add(kRefusedShuttingDown);
    return MakeError(ErrorKind::kShuttingDown, "the process is shutting down");
  }
  if (spec.timeout <= Duration::zero()) {
    m_counters.Add(kRefusedDeadline);
    return MakeError(ErrorKind::kInvalidDeadline, "the deadline has passed");
  }
  const auto found = m_services.find(spec.service);
  if (found == m_services.end() || found->second->removed ||
      found->second->snapshots.ShardCount() == 0) {
    m_counters.Add(kRefusedNoConfiguration);
    return MakeError(ErrorKind::kNoConfiguration,
                     "no shard of " + spec.service + " is in the shard map");
  }
  const std::uint64_t epoch = found->second->snapshots.MapEpoch();
  if (spec.map_epoch != 0 && spec.map_epoch != epoch) {
    m_counters.Add(kRefusedEpoch);
    return tl::unexpected<Error>(
        Error{ErrorKind::kSnapshotUnavailable,
              "the shard map of " + spec.service + " has changed", Ran::kNo});
  }
  return found->second.get();
}

void QueryEngine::ScheduleAnswer(QueryId id, QueryAnswer answer,
                                 QueryCallback callback) {
  const TimerId timer = m_options.scheduler->Schedule(
      Duration::zero(), [this, id, answer = std::move(answer),
                         callback = std::move(callback)]() mutable {
        const QueryCallback pending_callback = std::move(callback);
        QueryAnswer pending_answer = std::move(answer);
        m_pending_answers.erase(id);
        pending_callback(std::move(pending_answer));
      });
  m_pending_answers.emplace(id, PendingAnswer{timer});
}

// Deletes a query from the event loop, because the methods of the query may be
// on the call stack.
void QueryEngine::DeleteLater(std::unique_ptr<Query> query) {
  m_cancelled_queries.push_back(std::move(query));
  if (m_cancelled_queries.size() > 1) return;
  m_cleanup_timer = m_options.scheduler->Schedule(Duration::zero(), [this] {
    m_cleanup_timer = 0;
    m_cancelled_queries.clear();
  });
}

void QueryEngine::OnQueryDone(QueryId id, QueryAnswer answer) {
  const auto found = m_queries.find(id);
  assert(found != m_queries.end());
  // The destructor of `ended` deletes the query at the end of this call.
  RunningQuery ended = std::move(found->second);
  m_queries.erase(found);
  CountResult(answer);
  if (ended.starting) {
    // The caller of Start does not know the id yet.
    return ScheduleAnswer(id, std::move(answer), std::move(ended.callback));
  }
  ended.callback(std::move(answer));
}

void QueryEngine::CountResult(const QueryAnswer& answer) {
  if (!answer.body) {
    const auto row = std::ranges::find(
        kFailureCounters, answer.body.error().kind, &FailureCounter::kind);
    assert(row != kFailureCounters.end());
    m_counters.Add(row->counter);
    return;
  }
  const bool complete = CountCovered(answer.coverage) == answer.coverage.size();
  m_counters.Add(complete ? kAnsweredWhole : kAnsweredPartly);
  if (IsEarlyAnswer(answer)) m_counters.Add(kAnsweredEarly);
}

void QueryEngine::ApplyService(const ServiceConfig& config) {
  auto& state = m_services[config.name];
  if (!state) state = std::make_unique<ServiceState>();
  const std::uint64_t old_epoch = state->snapshots.MapEpoch();
  state->snapshots.Apply(config);
  if (old_epoch == config.map_epoch) return;
  std::vector<QueryId> affected;
  for (const auto& [id, running] : m_queries) {
    if (running.query->Service() == state.get()) affected.push_back(id);
  }
  for (const QueryId id : affected) {
    const auto found = m_queries.find(id);
    if (found != m_queries.end()) found->second.query->HandleMapChange();
  }
}

void QueryEngine::DeleteRemovedServices() {
  std::erase_if(m_services, [](const auto& entry) {
    return entry.second->removed && entry.second->queries_in_flight == 0;
  });
}

QueryDependencies QueryEngine::MakeDependencies() {
  return QueryDependencies{
      m_options.scheduler, m_options.transport, m_options.gate,   &m_counters,
      &m_attempts,         &m_random,           m_options.hedging};
}

}  // namespace chicoryvale
