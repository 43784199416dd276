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

/// Times and bounds of the failure detector.
struct FailureDetectorOptions {
  Duration probe_period = seconds(1);
  Duration probe_timeout = milliseconds(300);
  std::size_t indirect_probes = 3;
  /// The shortest suspicion lasts this many probe periods, times the decimal
  /// logarithm of the group's size.
  double suspicion_factor = 3;
  /// An unconfirmed suspicion lasts this many times longer.
  double unconfirmed_factor = 3;
  /// Confirmations by other members after which a suspicion is shortest.
  std::size_t confirmations = 3;
  /// Largest factor on the times above while this process itself seems slow.
  std::uint32_t max_health_factor = 8;
};

/// What a FailureDetector needs of the group.
class FailureDetectorHost {
 public:
  virtual ~FailureDetectorHost() = default;
  virtual void SendTo(const Member& to, Packet packet) = 0;
  /// Sends to an address of which perhaps no member is known.
  virtual void SendToAddress(const Address& to, Packet packet) = 0;
  /// Returns the next member to probe, each one once in a round.
  virtual std::optional<Member> NextProbeTarget() = 0;
  /// Returns up to `count` random live members other than `except`.
  virtual std::vector<Member> Helpers(std::size_t count,
                                      const std::string& except) = 0;
  [[nodiscard]] virtual std::size_t GroupSize() const = 0;
  virtual void OnProbeFailed(const Member& target) = 0;
  virtual void OnSuspicionEnded(const std::string& id) = 0;
};

/// Probes one member in each period, first directly, then through others, and
/// times the suspicions. Sources: Das, Gupta and Motivala, "SWIM", 2002;
/// Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing with Situational
/// Awareness", 2017 (health factor, confirmations, negative answers).
/// Not thread safe: used only on the event loop.
class FailureDetector {
 public:
  /// `scheduler` and `host` outlive the detector.
  FailureDetector(FailureDetectorOptions options, Scheduler* scheduler,
                  FailureDetectorHost* host);
  ~FailureDetector();
  FailureDetector(const FailureDetector&) = delete;
  FailureDetector& operator=(const FailureDetector&) = delete;

  /// Begins to probe after `delay`.
  void Start(Duration delay);

  void OnAck(const Packet& packet);
  void OnNack(const Packet& packet);
  void OnPingRequest(const Address& from, const Packet& packet);

  /// Starts the suspicion of `id`, or confirms it by one more accuser. Returns
  /// whether the accuser counts, so that others should hear of it.
  bool Suspect(const std::string& id, const std::string& accuser);

  /// Ends the suspicion of `id`, if there is one.
  void ClearSuspicion(const std::string& id);

  /// This process had to refute: it may be slow itself.
  void OnRefuted() { Worsen(1); }

  [[nodiscard]] std::uint32_t health_factor() const { return m_health; }

 private:
  struct Probe {
    Member target;
    std::uint64_t sequence = 0;
    std::size_t helpers = 0;
    std::size_t nacks = 0;
    bool acked = false;
  };
  struct Relay {
    Address asker;
    std::uint64_t asker_sequence = 0;
    TimerId timer = 0;
  };
  struct Suspicion {
    std::set<std::string> accusers;
    TimePoint start{};
    TimePoint due{};
    TimerId timer = 0;
  };

  void Tick();
  void FinishProbe();
  void OnProbeTimeout();
  void OnRelayTimeout(std::uint64_t sequence);
  void OnSuspicionTimer(const std::string& id);
  void ScheduleSuspicion(const std::string& id, Suspicion* suspicion);
  [[nodiscard]] Duration SuspicionTime(std::size_t accusers) const;
  void OnWake();
  void Worsen(std::uint32_t steps);

  FailureDetectorOptions m_options;
  Scheduler* m_scheduler;
  FailureDetectorHost* m_host;
  std::uint64_t m_last_sequence = 0;
  std::uint32_t m_health = 1;
  std::optional<Probe> m_probe;
  TimePoint m_tick_due{};
  TimerId m_tick_timer = 0;
  TimerId m_timeout_timer = 0;
  std::unordered_map<std::uint64_t, Relay> m_relays;
  std::unordered_map<std::string, Suspicion> m_suspicions;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
