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

/// An address that a daemon tells when it is ready.
struct ReadyAddress {
  std::string name;
  std::string host_port;
};

/// Steps of a graceful shutdown.
struct ShutdownSteps {
  /// Turns readiness off, so that the balancer sends nothing new.
  std::function<void()> withdraw_readiness;
  /// Time for the balancer to notice; requests are served meanwhile.
  Duration linger{};
  /// Refuses new requests, hands over what has to be.
  std::function<void()> stop_accepting;
  /// Returns the requests that are still in flight.
  std::function<std::uint32_t()> in_flight;
  /// Time from the signal after which the process ends with requests in
  /// flight; zero for none.
  Duration shutdown_timeout{};
  /// Reads the settings again, on SIGHUP; may be empty.
  std::function<void()> reload;
};

/// The event loop of a daemon: runs until SIGTERM or SIGINT, then shuts down
/// gracefully; a second signal ends it at once with kRunFailed.
/// Not thread safe.
class DaemonLoop {
 public:
  /// `scheduler` must outlive the loop.
  explicit DaemonLoop(Scheduler* scheduler);
  ~DaemonLoop();
  DaemonLoop(const DaemonLoop&) = delete;
  DaemonLoop& operator=(const DaemonLoop&) = delete;

  /// Prints one JSON line with `addresses` on standard output and runs.
  ExitCode Run(const std::vector<ReadyAddress>& addresses,
               const ShutdownSteps& steps);

  /// Ends the loop at once with kRunFailed, for a fault that the process
  /// can't go on with.
  void Fail();

 private:
  static gboolean OnSignal(gpointer data);
  static gboolean OnReload(gpointer data);
  void BeginShutdown();
  void PollInFlight();

  Scheduler* m_scheduler;
  GMainLoop* m_loop;
  ShutdownSteps m_steps;
  ExitCode m_exit = ExitCode::kOk;
  bool m_stopping = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_DAEMON_LOOP_H_
