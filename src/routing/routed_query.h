#ifndef CHICORYVALE_SRC_ROUTING_ROUTED_QUERY_H_
#define CHICORYVALE_SRC_ROUTING_ROUTED_QUERY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/latency_histogram.h"
#include "chicoryvale/error.h"
#include "ports/event_log.h"
#include "ports/relay.h"
#include "ports/replica_transport.h"
#include "ports/scheduler.h"
#include "routing/answer_timing.h"
#include "routing/rank_merger.h"
#include "routing/relay_plan.h"
#include "routing/replica_pool.h"
#include "routing/retry_budget.h"
#include "routing/routing_config.h"
#include "routing/send_tracker.h"

namespace chicoryvale {

enum class RoutingCounter : std::uint8_t {
  kRequests,
  kAnsweredWhole,
  kAnsweredShort,
  kPassedFailure,
  kCallersGone,
  kFirstSends,
  kRelayed,
  kRelaysFailed,
  kHedges,
  kRetriesNotRun,
  kRetriesWrongReplica,
  kRetriesBroken,
  kRetriesFailed,
  kRepeatsOverBudget,
  kRefusedNoConfiguration,
  kRefusedUnknownRoute,
  kRefusedNoReplica,
  kRefusedReplicasBusy,
  kFailedBroken,
  kFailedDeadline,
};

template <>
struct CounterNames<RoutingCounter> {
  static constexpr std::array<std::string_view, 20> kNames = {
      "requests",
      "answered_whole",
      "answered_short",
      "passed_failure",
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
      "refused_no_replica",
      "refused_replicas_busy",
      "failed_broken",
      "failed_deadline",
  };
};

/// How a routed request ended.
struct RoutedAnswer {
  /// Set unless the request is answered with what replicas answered.
  std::optional<Error> error;
  /// With an error: when the caller should come again; zero for no advice.
  Duration retry_after{};
  /// Without an error: status and headers of the one replica; 200 for a
  /// scattered request.
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  /// Of a scattered request: the signatures of the parts that are in, and the
  /// number of those that are not.
  bool scattered = false;
  std::vector<std::string> signatures;
  std::size_t missing_shard_count = 0;
  /// Places of the parts that are in.
  std::vector<std::uint32_t> part_indices;
  std::vector<RelayMissing> missing_parts;
};

/// What queries work with; all outlive them.
struct RoutingContext {
  Scheduler* scheduler = nullptr;
  SendTracker* sends = nullptr;
  ReplicaPool* pool = nullptr;
  RetryBudget* budget = nullptr;
  EventLog* log = nullptr;
  CounterSet<RoutingCounter>* counters = nullptr;
  /// Of requests that came from callers; null counts none.
  LatencyHistogram* latencies = nullptr;
  /// Asks entries of other zones for parts; null sends all directly.
  Relay* relay = nullptr;
};

/// One routed request: sends its parts, repeats what is lost or silent, merges,
/// and answers in time. Its shards are those of one configuration version. Not
/// thread safe.
class RoutedQuery {
 public:
  using Callback = std::function<void(RoutedAnswer answer)>;

  /// What is asked.
  struct Question {
    std::shared_ptr<const OpaqueRequest> request;
    /// Holds `route`.
    std::shared_ptr<const RoutingConfig> config;
    const Route* route = nullptr;
    /// Services of the parts: the shards, or the one that the split drew.
    std::vector<std::string> services;
    /// Time within which the request has its final answer.
    Duration time_limit{};
    /// Set for a question of another entry: it is answered by then with the
    /// parts that are in, whatever they are.
    std::optional<Duration> answer_within;
  };

  /// `done` is called once, possibly from within Start; it may destroy the
  /// query.
  RoutedQuery(const RoutingContext& parts, Question question, Callback done);
  ~RoutedQuery();
  RoutedQuery(const RoutedQuery&) = delete;
  RoutedQuery& operator=(const RoutedQuery&) = delete;

  void Start();

  /// Ends the query whose caller has gone, and the work of its replicas.
  void CancelOnDisconnect();

 private:
  enum class RepeatReason : std::uint8_t {
    kSilent,
    kNotRun,
    kWrongReplica,
    kBroken,
    kFailed,
  };

  /// One send of a part.
  struct PartSend {
    std::uint64_t number = 0;
    std::string replica_id;
    TimePoint sent_at{};
  };

  /// Parts that another entry was asked for.
  struct RelayCall {
    RelayId id = 0;
    std::string zone;
    std::vector<std::size_t> parts;
  };

  /// What one service contributes.
  struct Part {
    std::string service;
    std::vector<PartSend> open;
    /// Replicas that the part was sent to.
    std::vector<std::string> tried;
    std::uint32_t sends = 0;
    /// Sends that may have run.
    std::uint32_t attempts = 0;
    bool resolved = false;
    std::optional<ReplicaAnswer> answer;
    /// The last failure, for the caller of a request to one replica.
    std::optional<ReplicaAnswer> failure;
    TimerId retry_timer = 0;
    /// A relay was asked and has not answered.
    bool relayed = false;

    /// Notes that a relay is asked, which sends the part at least once.
    void BeginRelay() {
      relayed = true;
      attempts = 1;
      sends = 1;
    }

    /// Notes that the relay took nothing, so that nothing ran.
    void TakeBackRelay() {
      attempts = 0;
      sends = 0;
    }
  };

  [[nodiscard]] bool CanBeServed() const;
  [[nodiscard]] bool IsForRelay() const {
    return m_question.answer_within.has_value();
  }
  void AskRelays();
  void AskNeighbors();
  void AskRelaysOf(const RelayGroup& group);
  void AskRelay(RelayCall call, std::uint64_t affinity);
  void OnRelayEnd(const RelayCall& call, const Result<RelayAnswer>& answer);
  void RepeatRelayedPart(std::size_t index);
  void TakeRelayedParts(const RelayCall& call, const RelayAnswer& answer);
  void CancelRelays();
  bool SendPart(std::size_t index);
  void SendFirst(std::size_t index);
  [[nodiscard]] bool MayWaitForRoom(const Part& part) const;
  void WaitForRoom(std::size_t index, RepeatReason reason);
  bool RepeatPart(std::size_t index, RepeatReason reason);
  void RetryNotRun(std::size_t index, RepeatReason reason);
  void OnSendEnd(std::size_t index, std::uint64_t number, ReplicaAnswer answer);
  void OnPartFailed(std::size_t index, const ReplicaAnswer& answer);
  void ResolveUnanswered(std::size_t index);
  void OnHedgeTime();
  void OnShortAnswerTime();
  void OnDeadline();
  void FinishIfSettled();
  [[nodiscard]] std::size_t CountAnswered() const;
  [[nodiscard]] bool MayHaveRun() const;
  [[nodiscard]] Duration TimeLeft() const;
  [[nodiscard]] Duration SendTime() const;
  void FinishWithAnswers();
  void FinishWithoutAnswer(bool deadline);
  void Finish(RoutedAnswer answer, std::string_view outcome);
  void NoteEnd(const RoutedAnswer& answer, std::string_view outcome) const;
  void StopTimers();

  RoutingContext m_parts;
  Question m_question;
  Callback m_done;
  AnswerTiming m_timing;
  TimePoint m_started{};
  std::vector<Part> m_services;
  std::vector<RelayCall> m_relays;
  /// Merged records of the parts that relays answered.
  std::vector<std::string> m_relay_bodies;
  TimerId m_hedge_timer = 0;
  TimerId m_short_timer = 0;
  TimerId m_deadline_timer = 0;
  bool m_short_time_passed = false;
  bool m_finished = false;
  std::uint32_t m_repeats = 0;
  /// Expires with the query.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTED_QUERY_H_
