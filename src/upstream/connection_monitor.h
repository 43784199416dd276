#ifndef CHICORYVALE_SRC_UPSTREAM_CONNECTION_MONITOR_H_
#define CHICORYVALE_SRC_UPSTREAM_CONNECTION_MONITOR_H_

#include <cstdint>

#include "base/time.h"

namespace chicoryvale {

/// Settings of a ConnectionMonitor.
struct ConnectionMonitorSettings {
  /// An attempt without progress has stalled after this multiple of the typical
  /// latency, and not before `min_stall`.
  double stall_factor = 3.0;
  Duration min_stall = milliseconds(10);
  /// Stalls in a row on kept connections, without an answer on one between
  /// them, after which a new connection is tried.
  std::uint32_t suspicious_stalls = 3;
  /// Time in which `path_replicas` replicas of a zone have to be found silent
  /// for its other replicas to be tried on new connections too.
  Duration path_window = seconds(5);
  std::uint32_t path_replicas = 2;
  /// Bound told to callers: multiple of the typical latency, and least value.
  double bound_factor = 8.0;
  Duration min_bound = milliseconds(20);
};

/// What was found of kept connections.
enum class ConnectionVerdict : std::uint8_t {
  kNone,
  /// Those to the replica are silent.
  kReplicaConnectionsDead,
  /// Those to all replicas behind the same path are likely silent.
  kPathConnectionsDead,
};

/// Replicas of one availability zone whose connections were found silent. Not
/// thread safe.
class PathMonitor {
 public:
  /// Reports that the kept connections of a replica were silent; returns
  /// whether the path is found to have lost track of connections.
  bool OnDeadConnections(const ConnectionMonitorSettings& settings,
                         TimePoint now);

 private:
  std::uint32_t m_silent = 0;
  TimePoint m_window_start{};
};

/// Tells silent connections to one replica from a replica that is slow, by what
/// a new connection does. After stalls on kept connections the next attempt
/// goes on a new one: if that is answered in ordinary time, the kept ones are
/// silent and are replaced; if it stalls too, the replica is slow and nothing
/// is closed. Not thread safe.
class ConnectionMonitor {
 public:
  /// `path` must outlive the object.
  ConnectionMonitor(const ConnectionMonitorSettings& settings,
                    PathMonitor* path);

  [[nodiscard]] const PathMonitor* Path() const { return m_path; }

  /// Returns whether the next attempt has to open a new connection. To be
  /// called once for each attempt.
  bool TakeFresh();

  /// Reports an answer whose first byte came after `first_byte`, to an attempt
  /// on a new connection (`fresh`) or a kept one. `typical` is the typical
  /// latency. Idle kept connections are to be closed as the verdict says.
  ConnectionVerdict OnAnswer(bool fresh, Duration first_byte, Duration typical,
                             TimePoint now);

  /// Reports the end after `age` of an attempt without any progress.
  void OnNoProgress(bool fresh, Duration age, Duration typical);

  /// Returns the time without progress after which another attempt is worth its
  /// cost; zero if no latency is known.
  [[nodiscard]] Duration ProgressBound(Duration typical) const;

 private:
  enum class State : std::uint8_t {
    kTrusted,
    /// The next attempt tries a new connection.
    kSuspected,
    /// A new connection is being tried.
    kTrying,
  };

  [[nodiscard]] Duration StallAfter(Duration typical) const;

  ConnectionMonitorSettings m_settings;
  PathMonitor* m_path;
  State m_state = State::kTrusted;
  std::uint32_t m_stalls = 0;
  /// Stalls that raise suspicion; doubles while the replica proves slow.
  std::uint32_t m_needed_stalls;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CONNECTION_MONITOR_H_
