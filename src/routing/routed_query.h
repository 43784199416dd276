#ifndef CHICORYVALE_SRC_ROUTING_ROUTED_QUERY_H_
#define CHICORYVALE_SRC_ROUTING_ROUTED_QUERY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/latency_histogram.h"
#include "chicoryvale/error.h"
#include "ports/event_log.h"
#include "ports/relay.h"
#include "ports/replica_transport.h"
#include "ports/request_quota.h"
#include "ports/scheduler.h"
#include "ports/zone_admission.h"
#include "routing/answer_timing.h"
#include "routing/crash_guard.h"
#include "routing/rank_merger.h"
#include "routing/relay_plan.h"
#include "routing/replica_pool.h"
#include "routing/retry_budget.h"
#include "routing/routing_config.h"
#include "routing/send_tracker.h"

namespace chicoryvale {

/// Counters of routed requests. CounterNames lists their outer names in the
/// same order.
enum class RoutingCounter : std::uint8_t {
  kRequests,
  /// Complete answers.
  kAnsweredWhole,
  /// Partial answers.
  kAnsweredShort,
  /// Failed answers of a single replica that were forwarded to the caller.
  kPassedFailure,
  /// Complete answers that no caller may get.
  kAnswersWithheld,
  /// Requests whose caller disconnected before the answer.
  kCallersGone,
  /// First attempts.
  kFirstSends,
  /// Sub-requests that were sent to relays.
  kRelayed,
  /// Relay requests that failed.
  kRelaysFailed,
  kHedges,
  kRetriesNotRun,
  kRetriesWrongReplica,
  kRetriesBroken,
  kRetriesFailed,
  /// Retries and hedges that the retry budget did not allow.
  kRepeatsOverBudget,
  kRefusedNoConfiguration,
  kRefusedUnknownRoute,
  /// Requests whose key no workspace holds.
  kRefusedUnknownKey,
  /// Requests without a route or with an unknown key, while it could not be
  /// confirmed that the configuration in force is current.
  kRefusedUnconfirmed,
  kRefusedOverloaded,
  /// Requests beyond the quota of their workspace.
  kRefusedOverQuota,
  /// Requests for which the use of the quota could not be found out.
  kRefusedQuotaUnknown,
  /// Requests that came too late before the end of this process.
  kRefusedStopping,
  kRefusedNoReplica,
  kRefusedReplicasBusy,
  /// Requests whose replicas had asked for no requests for a while.
  kRefusedReplicasBackingOff,
  /// Requests that have crashed the replicas that ran them.
  kRefusedQuarantined,
  kFailedBroken,
  kFailedDeadline,
};

template <>
struct CounterNames<RoutingCounter> {
  static constexpr std::array<std::string_view, 29> kNames = {
      "requests",
      "answered_whole",
      "answered_short",
      "passed_failure",
      "answers_withheld",
      "callers_gone",
      "first_sends",
      "relayed",
      "relays_failed",
      "hedges",
      "retries_not_run",
      "retries_wrong_replica",
      "retries_broken",
      "retries_failed",
      "repeats_over_budget",
      "refused_no_configuration",
      "refused_unknown_route",
      "refused_unknown_key",
      "refused_unconfirmed",
      "refused_overloaded",
      "refused_over_quota",
      "refused_quota_unknown",
      "refused_stopping",
      "refused_no_replica",
      "refused_replicas_busy",
      "refused_replicas_backing_off",
      "refused_quarantined",
      "failed_broken",
      "failed_deadline",
  };
};

/// The final answer to a routed request.
struct RoutedAnswer {
  /// Set unless the request is answered with what replicas returned.
  std::optional<Error> error;
  /// With an error: the time after which the caller should retry; zero if there
  /// is no advice.
  Duration retry_after{};
  /// Without an error: the status and headers of the replica; for a scattered
  /// request, status 200.
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  /// For a scattered request: the signatures of the answered sub-requests, and
  /// the number of missing shards.
  bool scattered = false;
  std::vector<std::string> signatures;
  std::size_t missing_shard_count = 0;
  /// Indices of the answered sub-requests, in the order of `signatures`.
  std::vector<std::uint32_t> answered_indices;
  /// Indices of the missing shards, and the attempts on them that may have run.
  std::vector<MissingSubRequest> missing;
  /// For a relay request: ids of replicas that said that they drain.
  std::vector<std::string> draining_replicas;
  /// For a relay request: a replica to which the connection was lost while it
  /// ran a sub-request, if there is one.
  std::optional<Address> lost_replica;
};

/// Context that all queries share; the pointees outlive the queries.
struct RoutingContext {
  Scheduler* scheduler = nullptr;
  SendTracker* sends = nullptr;
  ReplicaPool* pool = nullptr;
  RetryBudget* budget = nullptr;
  EventLog* log = nullptr;
  CounterSet<RoutingCounter>* counters = nullptr;
  /// Latencies of requests from callers; may be null.
  LatencyHistogram* latencies = nullptr;
  /// Sends sub-requests by way of other entries. If null, all of them are sent
  /// directly.
  Relay* relay = nullptr;
  /// Stops requests that crash replicas. If null, none is stopped.
  CrashGuard* crash_guard = nullptr;
  /// Limits the requests of workspaces. If null, they have no quota.
  RequestQuota* quota = nullptr;
  /// Admits the requests of configurations with workspaces. If null, each entry
  /// admits its own.
  ZoneAdmission* zone_admission = nullptr;
};

/// One routed request: sends its sub-requests to replicas, retries those that
/// are lost and hedges those that are not answered, merges the answers, and
/// answers in time. The shards are those of a single configuration version. Not
/// thread safe.
class RoutedQuery {
 public:
  using Callback = std::function<void(RoutedAnswer answer)>;

  /// The request and how it is to be answered.
  struct Input {
    std::shared_ptr<const OpaqueRequest> request;
    /// Owner of `route`.
    std::shared_ptr<const RoutingConfig> config;
    const Route* route = nullptr;
    /// Services of the sub-requests: the shards, or the one service that was
    /// picked from the traffic split.
    std::vector<std::string> services;
    /// Time from the arrival of the request to the final answer.
    Duration time_limit{};
    /// Time from the arrival of the request to Start.
    Duration waited{};
    /// Set for a relay request of another entry: the time within which it is
    /// answered with the sub-requests that have been answered by then, however
    /// few.
    std::optional<Duration> answer_within;
  };

  /// `callback` is called once, possibly from within Start; it may destroy the
  /// query.
  RoutedQuery(const RoutingContext& context, Input input, Callback callback);
  ~RoutedQuery();
  RoutedQuery(const RoutedQuery&) = delete;
  RoutedQuery& operator=(const RoutedQuery&) = delete;

  void Start();

  /// Ends the query as if its time limit had passed. Does nothing if it has
  /// ended.
  void EndNow();

  /// Ends the query without an answer because its caller has disconnected, and
  /// cancels the work of its replicas. Does nothing if the query has ended.
  void CancelOnDisconnect();

 private:
  /// Why a further attempt is made.
  enum class RetryReason : std::uint8_t {
    /// The open attempt has not been answered; the further one is a hedge, or a
    /// retry after the target latency.
    kSilent,
    /// The replica refused the sub-request, or no connection was available.
    kNotRun,
    /// Another replica answered at the address.
    kWrongReplica,
    /// The attempt ended without a complete answer, or a relay did not answer
    /// the sub-request.
    kBroken,
    /// The replica answered with a failure.
    kFailed,
  };

  /// One attempt in flight.
  struct Send {
    std::uint64_t id = 0;
    std::string replica_id;
    Address address;
    TimePoint sent_at{};
  };

  /// Sub-requests that were sent to a relay together, by index.
  struct RelayCall {
    RelayId id = 0;
    std::string zone;
    std::vector<std::size_t> indices;
  };

  /// The request to one service.
  struct SubRequest {
    std::string service;
    /// Attempts in flight.
    std::vector<Send> open;
    /// Replicas that the sub-request was sent to since the last pause before a
    /// retry.
    std::vector<std::string> tried;
    /// All attempts, including refused ones.
    std::uint32_t total_attempts = 0;
    /// Attempts that may have run, which `max_attempts` of the route limits;
    /// refused attempts do not count.
    std::uint32_t runs = 0;
    /// Whether the sub-request is answered or given up.
    bool resolved = false;
    std::optional<ReplicaAnswer> answer;
    /// The last failed answer, which the caller gets if the request has only
    /// one sub-request.
    std::optional<ReplicaAnswer> last_failure;
    TimerId retry_timer = 0;
    /// Whether the sub-request was sent to a relay that has not replied.
    bool at_relay = false;

    /// Whether an attempt was made, here or at a relay.
    [[nodiscard]] bool IsSent() const { return total_attempts > 0; }

    /// Records that a relay request was sent; the relay makes at least one
    /// attempt.
    void BeginRelay() {
      at_relay = true;
      runs = 1;
      total_attempts = 1;
    }

    /// Records that the relay did not accept the request, so that nothing ran.
    void RollBackRelay() {
      runs = 0;
      total_attempts = 0;
    }
  };

  /// Why a request is refused of which nothing has run.
  struct Refusal {
    RoutingCounter counter{};
    /// For the log.
    std::string_view outcome;
    /// For the caller.
    std::string_view message;
    Duration retry_after{};
  };

  [[nodiscard]] bool CanBeServed() const;
  [[nodiscard]] bool IsForRelay() const {
    return m_input.answer_within.has_value();
  }
  /// Sends the sub-requests that have not been sent.
  void SendAll();
  void SendToRelays();
  void SendToNeighbors();
  void SendGroup(const RelayGroup& group);
  void SendToRelay(RelayCall call, std::uint64_t affinity);
  void OnRelayEnd(const RelayCall& call, const Result<RelayAnswer>& answer);
  void RetryRelayed(std::size_t index);
  void RecordRelayAnswer(const RelayCall& call, const RelayAnswer& answer);
  void CancelRelays();
  /// Sends an attempt to the best replica that was not tried. Returns false if
  /// there is none or the remaining time is too short.
  bool SendAttempt(std::size_t index);
  void SendFirstAttempt(std::size_t index);
  /// Sends a sub-request for the first time, and not by way of a relay.
  void SendDirectly(std::size_t index);
  [[nodiscard]] bool MayRetryRefused(const SubRequest& sub_request) const;
  void ScheduleRetry(std::size_t index, RetryReason reason);
  /// Sends a retry or hedge if the maximum numbers of attempts, the retry
  /// budget and the replicas allow it. Returns whether it was sent.
  bool TryRetry(std::size_t index, RetryReason reason);
  void RetryRefused(std::size_t index, RetryReason reason);
  void OnAttemptEnd(std::size_t index, std::uint64_t send_id,
                    ReplicaAnswer answer);
  void OnAttemptFailed(std::size_t index, const ReplicaAnswer& answer);
  /// Records whether the replica of `send` survived the request.
  void RecordReplicaState(const Send& send, const ReplicaAnswer& answer);
  /// Asks the crash guard whether the request may run. A relay doesn't ask: the
  /// entry that sent it the request has.
  [[nodiscard]] bool BeginGuardedRun();
  /// Reports to the crash guard how the request ended.
  void ReportToCrashGuard() const;
  /// Returns whether the request is a trial that no replica has survived, which
  /// may run at one replica only.
  [[nodiscard]] bool IsUnprovenTrial() const {
    return m_guarded_run && m_guarded_run->trial && !m_replica_survived;
  }
  void FinishQuarantined();
  /// Returns whether a retry of the sub-request waits until a replica has
  /// survived the request, which may be what crashes replicas.
  [[nodiscard]] bool AwaitsSurvivor(std::size_t index) const;
  void ResolveUnanswered(std::size_t index);
  void OnHedgeTimer();
  void OnPartialAnswerTimer();
  void OnDeadline();
  void FinishIfSettled();
  [[nodiscard]] std::size_t CountAnswered() const;
  [[nodiscard]] bool MayHaveRun() const;
  /// Returns the time until the query has to end.
  [[nodiscard]] Duration TimeLeft() const;
  /// Returns the time that a replica gets for an attempt that starts now.
  [[nodiscard]] Duration AttemptTimeLimit() const;
  void FinishWithAnswers();
  void FinishWithoutAnswer(bool deadline_passed);
  [[nodiscard]] Refusal ExplainRefusal() const;
  [[nodiscard]] std::size_t CountNeeded() const;
  void Finish(RoutedAnswer answer, std::string_view outcome);
  void RecordEnd(const RoutedAnswer& answer, std::string_view outcome) const;
  void StopTimers();

  RoutingContext m_context;
  Input m_input;
  Callback m_callback;
  AnswerTiming m_timing;
  /// When the request arrived.
  TimePoint m_started{};
  /// Decides for all sends of the request whether they go to another
  /// availability zone (see ReplicaPool::DrawPlacement). Those of a relay stay
  /// in its zone, which the sender has chosen.
  double m_zone_draw = ReplicaPool::kOwnZoneDraw;
  std::vector<SubRequest> m_sub_requests;
  std::vector<RelayCall> m_relay_calls;
  /// Merged records of the sub-requests that relays answered.
  std::vector<std::string> m_relay_bodies;
  /// For a relay request: ids of replicas that said that they drain.
  std::vector<std::string> m_draining_replicas;
  TimerId m_hedge_timer = 0;
  TimerId m_partial_answer_timer = 0;
  TimerId m_deadline_timer = 0;
  bool m_partial_answer_due = false;
  bool m_finished = false;
  /// Number of retries and hedges.
  std::uint32_t m_retry_count = 0;
  /// Whether a replica has answered the request, with success or not.
  bool m_replica_survived = false;
  /// Whether a replica has answered the request with success.
  bool m_replica_succeeded = false;
  /// Whether only the first sub-request may be sent until a replica survives
  /// it, because the request has crashed a replica before. Source: Dean and
  /// Barroso, The Tail at Scale, 2013 ("canary requests").
  bool m_is_canary = false;
  /// The run that the crash guard knows of.
  std::optional<CrashGuard::Run> m_guarded_run;
  /// Number of connections to replicas that were lost while the replica ran the
  /// request, and the replica of the last one.
  std::uint32_t m_lost_count = 0;
  std::optional<Address> m_lost_replica;
  /// Expires when the query is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTED_QUERY_H_
