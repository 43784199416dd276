#ifndef CHICORYVALE_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
#define CHICORYVALE_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "membership/packet.h"
#include "ports/member_view.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Periods, timeouts and limits of the failure detector.
struct FailureDetectorOptions {
  Duration probe_period = seconds(1);
  Duration probe_timeout = milliseconds(300);
  /// Number of helpers that are asked for an indirect probe.
  std::size_t indirect_probe_count = 3;
  /// The minimum suspicion timeout is this many probe periods, multiplied by
  /// the decimal logarithm of the group size.
  double min_suspicion_factor = 3;
  /// Ratio of the timeout of an unconfirmed suspicion to the minimum timeout.
  double unconfirmed_suspicion_factor = 3;
  /// Number of confirmations by other members at which a suspicion reaches its
  /// minimum timeout.
  std::size_t max_confirmations = 3;
  /// Upper bound of the local health multiplier, which lengthens the periods
  /// and timeouts above while this process itself seems slow.
  std::uint32_t max_health_multiplier = 8;
};

/// Interface through which a FailureDetector uses the group.
class FailureDetectorHost {
 public:
  virtual ~FailureDetectorHost() = default;
  virtual void SendTo(const Member& to, Packet packet) = 0;
  /// Sends to an address that may not belong to a known member.
  virtual void SendToAddress(const Address& to, Packet packet) = 0;
  /// Returns the next member to probe. Each member is returned once per round.
  virtual std::optional<Member> NextProbeTarget() = 0;
  /// Returns up to `count` random live members other than `excluded_id` for
  /// indirect probes.
  virtual std::vector<Member> ChooseHelpers(std::size_t count,
                                            const std::string& excluded_id) = 0;
  [[nodiscard]] virtual std::size_t GroupSize() const = 0;
  /// Called when `target` acknowledged neither the direct probe nor an indirect
  /// one.
  virtual void OnProbeFailed(const Member& target) = 0;
  /// Called when the suspicion of `id` timed out without a refutation.
  virtual void OnSuspicionTimeout(const std::string& id) = 0;
};

/// Probes one member per period, first directly and then indirectly through
/// helpers, and runs the suspicion timers. Sources: Das, Gupta and Motivala,
/// "SWIM", 2002; Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing with
/// Situational Awareness", 2017 (local health multiplier, confirmations,
/// negative acknowledgements).
/// Not thread safe: used only on the event loop.
class FailureDetector {
 public:
  /// `scheduler` and `host` outlive the detector.
  FailureDetector(FailureDetectorOptions options, Scheduler* scheduler,
                  FailureDetectorHost* host);
  ~FailureDetector();
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  /// Starts probing after `delay`.
  void Start(Duration delay);

  void OnAck(const Packet& packet);
  void OnNack(const Packet& packet);
  void OnPingRequest(const Address& from, const Packet& packet);

  /// Starts the suspicion of `id`, or adds `accuser` as a confirmation of it.
  /// Returns whether `accuser` was counted, in which case the suspicion should
  /// be gossiped.
  bool Suspect(const std::string& id, const std::string& accuser);

  /// Cancels the suspicion of `id`, if there is one.
  void ClearSuspicion(const std::string& id);

  /// Reports that this process had to refute a suspicion and may therefore be
  /// slow itself.
  void OnRefuted() { RaiseHealthMultiplier(1); }

  [[nodiscard]] std::uint32_t health_multiplier() const {
    return m_health_multiplier;
  }

 private:
  /// The probe of the current period.
  struct Probe {
    Member target;
    std::uint64_t sequence = 0;
    std::size_t helper_count = 0;
    std::size_t nack_count = 0;
    bool acked = false;
  };
  /// A probe that this process makes on behalf of another member.
  struct IndirectProbe {
    Address requester;
    std::uint64_t requester_sequence = 0;
    TimerId timer = 0;
  };
  struct Suspicion {
    std::set<std::string> accusers;
    TimePoint started_at{};
    TimePoint timeout_at{};
    TimerId timer = 0;
  };

  void StartProbePeriod();
  void FinishProbe();
  void OnProbeTimeout();
  void OnIndirectProbeTimeout(std::uint64_t sequence);
  void OnSuspicionTimer(const std::string& id);
  void ScheduleSuspicionTimer(const std::string& id, Suspicion* suspicion);
  [[nodiscard]] Duration SuspicionTimeout(std::size_t accuser_count) const;
  // Handles a period that started so late that this process must have been
  // paused.
  void OnResumeAfterPause();
  void RaiseHealthMultiplier(std::uint32_t steps);

  FailureDetectorOptions m_options;
  Scheduler* m_scheduler;
  FailureDetectorHost* m_host;
  std::uint64_t m_last_sequence = 0;
  std::uint32_t m_health_multiplier = 1;
  std::optional<Probe> m_probe;
  TimePoint m_period_end{};
  TimerId m_period_timer = 0;
  TimerId m_probe_timeout_timer = 0;
  std::unordered_map<std::uint64_t, IndirectProbe> m_indirect_probes;
  std::unordered_map<std::string, Suspicion> m_suspicions;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
