#ifndef CHICORYVALE_SRC_ZONE_ADMISSION_GROUP_ADMISSION_H_
#define CHICORYVALE_SRC_ZONE_ADMISSION_GROUP_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

#include "admission/fair_queue.h"
#include "admission/outcome_limit.h"
#include "base/counters.h"
#include "ports/scheduler.h"
#include "ports/zone_admission.h"

namespace chicoryvale {

/// Events of a GroupAdmission.
enum class GroupAdmissionCounter : std::uint8_t {
  kAdmittedAtOnce,
  kAdmittedAfterWait,
  /// Requests whose turn would have come too late.
  kRefusedAtOnce,
  /// Requests whose turn had not come within the maximum wait.
  kRefusedAfterWait,
  /// Admitted requests whose end was not reported within their time limit.
  kExpired,
  /// Times at which the group became saturated.
  kSaturations,
};

template <>
struct CounterNames<GroupAdmissionCounter> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "admitted_at_once", "admitted_after_wait",
      "refused_at_once",  "refused_after_wait",
      "expired",          "saturations"};
};

/// A request that an entry sent without asking and that has ended.
struct EndedRequest {
  Duration target_latency{};
  Duration time_in_flight{};
  AdmittedOutcome outcome = AdmittedOutcome::kUnknown;
};

/// Admits the requests of all entries of an availability zone to one group of
/// replicas. It learns from the outcomes of all of them how many may be in
/// flight. While as many are, further ones wait: the most urgent ones are
/// admitted first, and among equally urgent ones each workspace gets the same
/// share, however many requests it sends. A new request of a workspace below
/// its share is admitted even beyond the limit. A request whose turn would come
/// too late is refused at once. Not thread safe.
class GroupAdmission {
 public:
  using Decide = std::function<void(const ZoneAdmissionDecision& decision)>;

  /// The lowest limit is above 1, because requests also miss their target
  /// latency for other reasons than load. The limit grows slowly, because each
  /// time it becomes too high, requests of all workspaces are late.
  static constexpr OutcomeLimit::Options kLimitOptions{
      .initial = 16, .min = 4, .increase_per_round = 0.2};

  /// Time for which the group counts as saturated after the last sign of it.
  static constexpr Duration kSaturatedTime = seconds(3);

  /// `scheduler` and `counters` outlive the object.
  GroupAdmission(Scheduler* scheduler,
                 CounterSet<GroupAdmissionCounter>* counters,
                 std::uint64_t seed)
      : m_scheduler(scheduler),
        m_counters(counters),
        m_random(seed),
        m_last_ticket(m_random()) {}
  ~GroupAdmission();
  GroupAdmission(const GroupAdmission&) = delete;
  GroupAdmission& operator=(const GroupAdmission&) = delete;

  /// Asks for the admission of a request. Calls `decide` once, possibly from
  /// within this call, unless the request is cancelled. Returns its ticket.
  AdmissionTicket Submit(const ZoneAdmissionRequest& request, Decide decide);

  /// Ends an admitted request, or removes a waiting one. Does nothing if it has
  /// ended.
  void Finish(AdmissionTicket ticket, AdmittedOutcome outcome);

  /// Records how many requests `entry` has in flight for which it did not ask.
  /// Counts until the next report of the entry, or for kReportTime.
  void RecordInFlight(const std::string& entry, std::uint32_t count);

  /// Records the end of a request for which its entry did not ask.
  void RecordEnd(const EndedRequest& ended);

  /// Returns whether entries should ask before they send a request.
  [[nodiscard]] bool IsSaturated() const {
    return m_scheduler->Now() < m_saturated_until;
  }

  /// Returns whether nothing would be lost if the object were destroyed.
  [[nodiscard]] bool IsIdle() const;

  /// Returns the maximum number of requests in flight.
  [[nodiscard]] double Limit() const { return m_limit.Limit(); }
  [[nodiscard]] std::size_t WaitingCount() const { return m_waiting.size(); }
  /// Returns the number of requests in flight, with those that were reported.
  [[nodiscard]] std::size_t InFlightCount() const;

  /// Returns how long a request with this target latency waits at most.
  static Duration MaxWait(Duration target_latency);

  /// Time for which a report of requests in flight counts.
  static constexpr Duration kReportTime = seconds(1);

 private:
  struct Waiting {
    ZoneAdmissionRequest request;
    Decide decide;
    TimePoint submitted_at{};
    TimerId timer = 0;
  };
  struct Admitted {
    std::string workspace;
    Duration target_latency{};
    TimePoint started_at{};
    TimerId expiry = 0;
  };
  /// Number of requests of a workspace.
  struct Usage {
    std::uint32_t waiting = 0;
    std::uint32_t admitted = 0;
  };
  struct Report {
    std::uint32_t in_flight = 0;
    TimePoint expire_at{};
  };

  // Removes the limit once no request has missed its target latency for some
  // seconds and the group is not saturated.
  void ForgetOldMiss();
  [[nodiscard]] bool HasRoom() const;
  // Returns whether a request may exceed the limit, because its workspace has
  // less than its share in flight and no more urgent request waits.
  [[nodiscard]] bool IsBelowShare(const ZoneAdmissionRequest& request) const;
  void RemoveUsage(const std::string& workspace, std::uint32_t Usage::*count);
  // Returns the time until the turn of a request that is submitted now.
  [[nodiscard]] Duration ExpectedWait(
      const ZoneAdmissionRequest& request) const;
  void Admit(AdmissionTicket ticket, const Waiting& waiting);
  void AdmitWaiting();
  void Refuse(const Waiting& waiting, Duration expected_wait);
  void OnWaitEnd(AdmissionTicket ticket);
  // Removes a waiting request from its queue.
  Waiting Extract(AdmissionTicket ticket);
  void RecordOutcome(const EndedRequest& ended);
  // Returns how many requests in flight let a request with this target latency
  // end in time after the maximum wait, at the rate at which requests end now.
  [[nodiscard]] double LimitByEndRate(Duration target_latency) const;
  void MarkSaturated();

  Scheduler* m_scheduler;
  CounterSet<GroupAdmissionCounter>* m_counters;
  std::mt19937_64 m_random;
  OutcomeLimit m_limit{kLimitOptions};
  /// When a request was last not served in time.
  TimePoint m_last_miss_at{};
  bool m_has_missed = false;
  TimePoint m_saturated_until{};
  /// Starts at random, so that a ticket of another owner, or of an earlier run
  /// of this process, is not taken for one of this object.
  AdmissionTicket m_last_ticket;
  /// When requests ended, for the last kEndRateTime.
  std::deque<TimePoint> m_ended_at;
  /// Recency-weighted mean of the time that requests are in flight.
  Duration m_mean_in_flight_time{};
  std::unordered_map<AdmissionTicket, Waiting> m_waiting;
  /// The waiting requests, by priority.
  std::map<std::uint32_t, FairQueue> m_queues;
  std::unordered_map<AdmissionTicket, Admitted> m_admitted;
  std::unordered_map<std::string, Report> m_reports;
  /// The workspaces that have a request waiting or admitted.
  std::unordered_map<std::string, Usage> m_usage;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ZONE_ADMISSION_GROUP_ADMISSION_H_
