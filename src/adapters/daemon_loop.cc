#include "adapters/daemon_loop.h"

#include <glib-unix.h>

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "adapters/log.h"

namespace chicoryvale {
namespace {

constexpr Duration kInFlightPollInterval = milliseconds(5);

/// Time in which the final answers of requests that were still in flight at the
/// shutdown timeout are sent.
constexpr Duration kFinalAnswersTime = milliseconds(100);

}  // namespace

DaemonLoop::DaemonLoop(Scheduler* scheduler)
    : m_scheduler(scheduler), m_loop(g_main_loop_new(nullptr, FALSE)) {}

DaemonLoop::~DaemonLoop() { g_main_loop_unref(m_loop); }

ExitCode DaemonLoop::Run(const std::vector<ReadyAddress>& addresses,
                         const ShutdownSteps& steps) {
  m_steps = steps;
  const guint sigterm_source =
      g_unix_signal_add(SIGTERM, &DaemonLoop::OnSignal, this);
  const guint sigint_source =
      g_unix_signal_add(SIGINT, &DaemonLoop::OnSignal, this);
  const guint sighup_source =
      g_unix_signal_add(SIGHUP, &DaemonLoop::OnReload, this);
  nlohmann::ordered_json ready;
  ready["ready"] = true;
  for (const ReadyAddress& address : addresses) {
    ready[address.name] = address.host_port;
  }
  std::cout << ready.dump() << std::endl;
  Log(LogLevel::kInfo, "started");
  g_main_loop_run(m_loop);
  g_source_remove(sigterm_source);
  g_source_remove(sigint_source);
  g_source_remove(sighup_source);
  Log(LogLevel::kInfo, "stopped");
  return m_exit;
}

void DaemonLoop::Fail() {
  m_exit = ExitCode::kRunFailed;
  g_main_loop_quit(m_loop);
}

gboolean DaemonLoop::OnSignal(gpointer data) {
  auto* loop = static_cast<DaemonLoop*>(data);
  if (loop->m_shutting_down) {
    Log(LogLevel::kInfo, "shutdown_signal_repeated");
  } else {
    loop->BeginShutdown();
  }
  return G_SOURCE_CONTINUE;
}

gboolean DaemonLoop::OnReload(gpointer data) {
  auto* loop = static_cast<DaemonLoop*>(data);
  Log(LogLevel::kInfo, "reload_requested");
  if (loop->m_steps.reload) loop->m_steps.reload();
  return G_SOURCE_CONTINUE;
}

void DaemonLoop::BeginShutdown() {
  m_shutting_down = true;
  Log(LogLevel::kInfo, "shutdown_started");
  m_steps.withdraw_readiness();
  if (m_steps.shutdown_timeout > Duration::zero()) {
    m_scheduler->Schedule(m_steps.shutdown_timeout, [this] { EndRequests(); });
  }
  m_scheduler->Schedule(m_steps.linger, [this] {
    m_steps.stop_accepting();
    PollInFlight();
  });
}

void DaemonLoop::PollInFlight() {
  const bool is_idle = m_steps.in_flight() == 0;
  if (is_idle && m_steps.close_idle) m_steps.close_idle();
  m_scheduler->Schedule(kInFlightPollInterval, [this, is_idle] {
    if (is_idle) {
      EndIfIdle();
    } else {
      PollInFlight();
    }
  });
}

// Ends the loop unless a request was read since nothing was in flight, on a
// connection that was still open.
void DaemonLoop::EndIfIdle() {
  if (m_steps.in_flight() > 0) return PollInFlight();
  g_main_loop_quit(m_loop);
}

void DaemonLoop::EndRequests() {
  Log(LogLevel::kWarning, "shutdown_cut_short",
      {{"in_flight", std::to_string(m_steps.in_flight())}});
  if (!m_steps.end_requests) return g_main_loop_quit(m_loop);
  m_steps.end_requests();
  m_scheduler->Schedule(kFinalAnswersTime,
                        [this] { g_main_loop_quit(m_loop); });
}

}  // namespace chicoryvale
