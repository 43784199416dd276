#ifndef CHICORYVALE_SRC_UPSTREAM_CONNECTION_MONITOR_H_
#define CHICORYVALE_SRC_UPSTREAM_CONNECTION_MONITOR_H_

#include <cstdint>

#include "base/time.h"

namespace chicoryvale {

/// Settings of a ConnectionMonitor.
struct ConnectionMonitorSettings {
  /// An attempt without progress counts as stalled after this multiple of the
  /// typical latency, but not before `min_stall_timeout`.
  double stall_timeout_factor = 3.0;
  Duration min_stall_timeout = milliseconds(10);
  /// Number of consecutive stalls on kept connections, without an answer on one
  /// between them, after which a new connection is probed.
  std::uint32_t initial_stall_threshold = 3;
  /// If connections to replicas of a zone are found dead
  /// `path_replica_threshold` times within `path_window`, those of the zone's
  /// other replicas are replaced too. Detections are counted, so a replica
  /// whose connections are found dead twice counts twice.
  Duration path_window = seconds(5);
  std::uint32_t path_replica_threshold = 2;
  /// The progress bound given to callers: a multiple of the typical latency,
  /// and its minimum.
  double progress_bound_factor = 8.0;
  Duration min_progress_bound = milliseconds(20);
};

/// What the answer to an attempt says about kept connections.
enum class ConnectionVerdict : std::uint8_t {
  kNone,
  /// The kept connections to the replica are dead.
  kReplicaConnectionsDead,
  /// The kept connections to all replicas behind the same network path are
  /// probably dead.
  kPathConnectionsDead,
};

/// Counts how often kept connections to replicas of one availability zone, all
/// reached over the same network path, were found dead. Not thread safe.
class PathMonitor {
 public:
  /// Records that the kept connections of a replica were found dead. Returns
  /// whether enough detections occurred within `path_window` to replace the
  /// connections of all replicas of the zone.
  bool OnDeadConnections(const ConnectionMonitorSettings& settings,
                         TimePoint now);

 private:
  std::uint32_t m_affected_replicas = 0;
  TimePoint m_window_start{};
};

/// Distinguishes dead connections to one replica from a slow replica. A
/// connection is dead if neither end has closed it but nothing sent on it is
/// answered. After a number of stalls on kept connections the next attempt
/// probes a new connection: if it is answered within the ordinary time, the
/// kept connections are dead and are replaced; if it stalls too, the replica is
/// slow and no connection is closed. Not thread safe.
class ConnectionMonitor {
 public:
  /// `path` must outlive the object.
  ConnectionMonitor(const ConnectionMonitorSettings& settings,
                    PathMonitor* path);

  [[nodiscard]] const PathMonitor* Path() const { return m_path; }

  /// Returns whether the next attempt has to open a new connection, and starts
  /// the probe if so. To be called once for each attempt.
  bool StartProbeIfSuspected();

  /// Records the answer to an attempt on a new (`fresh_connection`) or a kept
  /// connection, with the time until its first byte. `typical` is the replica's
  /// typical latency. The caller has to close the idle kept connections that
  /// the verdict names.
  ConnectionVerdict OnAnswer(bool fresh_connection, Duration first_byte,
                             Duration typical, TimePoint now);

  /// Records that an attempt ended after `age` without any progress.
  void OnNoProgress(bool fresh_connection, Duration age, Duration typical);

  /// Returns the time without progress after which another attempt is worth its
  /// cost; zero if no latency is known.
  [[nodiscard]] Duration ProgressBound(Duration typical) const;

 private:
  enum class State : std::uint8_t {
    kTrusted,
    /// The next attempt has to open a new connection.
    kSuspected,
    /// An attempt on a new connection is in flight.
    kProbing,
  };

  [[nodiscard]] Duration StallTimeout(Duration typical) const;

  ConnectionMonitorSettings m_settings;
  PathMonitor* m_path;
  State m_state = State::kTrusted;
  std::uint32_t m_consecutive_stalls = 0;
  /// Number of consecutive stalls that start a probe. Doubles with each probe
  /// that finds the replica slow.
  std::uint32_t m_stall_threshold;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CONNECTION_MONITOR_H_
