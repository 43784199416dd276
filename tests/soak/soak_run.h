#ifndef CHICORYVALE_TESTS_SOAK_SOAK_RUN_H_
#define CHICORYVALE_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "adapters/beast_http_client.h"
#include "adapters/fd_poller.h"
#include "adapters/glib_scheduler.h"
#include "process/process.h"
#include "soak/soak_platform.h"

namespace chicoryvale {

/// One soak: control VMs and gateways run as processes, and callers and an
/// operator keep sending requests while faults occur in sequence and overlap.
/// The guarantees to callers, replicas and the operator are checked on each
/// answer, and again at the end; a violation fails the test and reports the
/// seed. Not thread safe.
class SoakRun {
 public:
  explicit SoakRun(std::uint64_t seed);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /// Starts all processes, injects faults for `duration`, stops the faults, and
  /// waits until all gateways serve requests with the newest configuration.
  void Run(Duration duration);

  /// Returns the seed and the counts of faults and answers as one line.
  [[nodiscard]] std::string Summary() const;

 private:
  enum class Kind : std::uint8_t { kControl, kGateway };

  /// One process and its state.
  struct Node {
    Kind kind = Kind::kGateway;
    int index = 0;
    std::unique_ptr<Process> process;
    /// Incremented by each event that may leave a caller without an answer.
    std::uint64_t disturbance_count = 0;
    bool is_frozen = false;
    bool is_stopping = false;
    TimerId action_timer = 0;
    [[nodiscard]] bool IsUp() const {
      return process != nullptr && !is_frozen && !is_stopping;
    }
  };

  /// A caller's request in flight. `disturbance_count` is that of `gateway`
  /// when the request was sent.
  struct PendingRequest {
    std::string id;
    bool is_gather = false;
    Node* gateway = nullptr;
    std::uint64_t disturbance_count = 0;
  };

  /// When a request to the service whose requests may run at most once was
  /// sent, and what applied to its gateway then.
  struct SentRequest {
    Node* gateway = nullptr;
    std::uint64_t disturbance_count = 0;
    TimePoint sent_at{};
  };

  /// What a gateway has learned from the answers of one replica.
  struct ReplicaWord {
    std::uint64_t disturbance_count = 0;
    std::optional<TimePoint> leaving_since;
    TimePoint back_off_begin{};
    TimePoint back_off_end{};
    int arrivals_in_back_off = 0;
  };

  void StartNode(Node* node);
  /// Runs `action` after `delay`, in place of the pending action of `node`.
  void ScheduleNodeAction(Node* node, Duration delay,
                          std::function<void()> action);
  /// Kills the process and restarts it after `downtime`.
  void Kill(Node* node, Duration downtime);
  void Freeze(Node* node, Duration duration);
  /// Stops the process gracefully and restarts it.
  void Terminate(Node* node);
  void WipeControl();
  void KillAllControls();
  void InjectProxyFault();
  void InjectNextFault();
  void StopFaults();
  /// Returns a random node of `kind` that runs, or null if there is none.
  Node* PickRunningNode(Kind kind);
  /// Whether all control VMs run and none is catching up after a wiped disk.
  [[nodiscard]] bool IsControlGroupHealthy() const;

  void SendNextRequest();
  void CheckAnswer(const PendingRequest& request, const HttpCallResult& result);
  void CheckGatherAnswer(const PendingRequest& request,
                         const HttpClientAnswer& answer);
  void CheckAtMostOnceAnswer(const PendingRequest& request,
                             const HttpCallResult& result);
  /// Checks that the gateway which sent the request keeps to what the replica
  /// has said.
  void CheckArrival(const RetryCheck::Arrival& arrival);
  /// Records what the gateway of an answered request has learned.
  void RecordWords(const PendingRequest& request);
  void PutNextConfig();
  void PutConfig(std::uint64_t version);
  void ReadConfig();
  void SendProbe(Node* gateway, int* served_in_row);
  /// Waits until each gateway answers kMinProbesServedInRow probes in a row.
  void WaitForRecovery();
  /// Runs the main loop for `duration`.
  void RunFor(Duration duration);
  /// Fails the test with the seed and `message`.
  void ReportViolation(const std::string& message) const;
  [[nodiscard]] std::string PeerAddress(const Node& node) const;
  /// Returns the peer addresses of the control VMs as a TOML array.
  [[nodiscard]] std::string ControlAddressArray() const;
  Duration DrawDuration(int min_ms, int max_ms);

  std::uint64_t m_seed;
  std::mt19937_64 m_random;
  ScratchFolder m_folder;
  FdPoller m_poller;
  GlibScheduler m_scheduler;
  SoakPlatform m_platform;
  BeastHttpClient m_client;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<TimerId> m_timers;
  bool m_faults_enabled = false;
  /// End of the time in which the last wiped control VM catches up.
  TimePoint m_wipe_catch_up_end{};
  std::uint64_t m_last_request_number = 0;
  std::uint64_t m_last_sent_version = 0;
  std::uint64_t m_accepted_version = 0;
  std::map<std::string, int> m_counts;
  std::map<std::string, SentRequest> m_sent_requests;
  RetryCheck m_retry_check;
  std::map<std::pair<const Node*, std::string>, ReplicaWord> m_words;
  /// Ids of requests that were answered with a status which means that the
  /// request has not run.
  std::vector<std::string> m_not_run_ids;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_SOAK_SOAK_RUN_H_
