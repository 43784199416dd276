#ifndef CHICORYVALE_SRC_ADAPTERS_DAEMON_LOOP_H_
#define CHICORYVALE_SRC_ADAPTERS_DAEMON_LOOP_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "adapters/command_line.h"
#include "base/time.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// A listening address that a daemon prints when it is ready.
struct ReadyAddress {
  std::string name;
  std::string host_port;
};

/// Callbacks and times of a graceful shutdown, and the callback of a reload.
struct ShutdownSteps {
  /// Makes the readiness check fail, so that the load balancer sends no new
  /// requests.
  std::function<void()> withdraw_readiness;
  /// Time between withdraw_readiness and stop_accepting, for the load balancer
  /// to notice. New requests are still served during it.
  Duration linger{};
  /// Stops accepting requests. May also announce that this process leaves
  /// the membership.
  std::function<void()> stop_accepting;
  /// Returns the number of requests that are still in flight and of other
  /// operations that the shutdown waits for.
  std::function<std::uint32_t()> in_flight;
  /// Closes the connections without a request, so that no further request is
  /// read. Called when nothing is in flight any more; the loop ends if that is
  /// still so an instant later. May be empty.
  std::function<void()> close_idle;
  /// Time after the signal at which `end_requests` is called; zero for never.
  /// The process ends soon after, even with requests in flight.
  Duration shutdown_timeout{};
  /// Ends the requests that are in flight with a final answer. May be empty.
  std::function<void()> end_requests;
  /// Reloads the settings, on SIGHUP; may be empty.
  std::function<void()> reload;
};

/// The event loop of a daemon. Runs until SIGTERM or SIGINT, then shuts down
/// gracefully; further ones are only logged, because they must not cut requests
/// in flight. Not thread safe.
class DaemonLoop {
 public:
  /// `scheduler` must outlive the loop.
  explicit DaemonLoop(Scheduler* scheduler);
  ~DaemonLoop();
  DaemonLoop(const DaemonLoop&) = delete;
  DaemonLoop& operator=(const DaemonLoop&) = delete;

  /// Prints one JSON line with `addresses` on standard output and runs the
  /// loop.
  ExitCode Run(const std::vector<ReadyAddress>& addresses,
               const ShutdownSteps& steps);

  /// Ends the loop immediately with kRunFailed, for an error after which the
  /// process can't continue.
  void Fail();

 private:
  static gboolean OnSignal(gpointer data);
  static gboolean OnReload(gpointer data);
  void BeginShutdown();
  void PollInFlight();
  void EndIfIdle();
  void EndRequests();

  Scheduler* m_scheduler;
  GMainLoop* m_loop;
  ShutdownSteps m_steps;
  ExitCode m_exit = ExitCode::kOk;
  bool m_shutting_down = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_DAEMON_LOOP_H_
