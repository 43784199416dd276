#ifndef CHICORYVALE_TESTS_FAKES_QUEUED_UPSTREAM_H_
#define CHICORYVALE_TESTS_FAKES_QUEUED_UPSTREAM_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "base/time.h"
#include "ports/scheduler.h"
#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Properties of a QueuedUpstream.
struct QueuedUpstreamOptions {
  /// Requests that are served concurrently.
  std::uint32_t slots = 2;
  /// Max number of requests that wait for a slot; further ones are shed.
  std::size_t queue_capacity = 64;
  /// Median service time.
  Duration median = milliseconds(5);
  /// Standard deviation of the logarithm of service times.
  double sigma = 0.25;
  /// Fraction of the requests that take `straggler_factor` times as long.
  double straggler_share = 0.01;
  double straggler_factor = 20.0;
  /// Time from a crash until the replica accepts connections again.
  Duration restart = seconds(2);
  std::uint64_t seed = 1;
};

/// A simulated replica on virtual time with slots, a queue, shedding,
/// cancellation, crashes and load reports. Outcomes arrive without network
/// delay.
class QueuedUpstream {
 public:
  using Callback = std::function<void(SubOutcome)>;
  using JobId = std::uint64_t;

  QueuedUpstream(Scheduler* scheduler, const QueuedUpstreamOptions& options)
      : m_scheduler(scheduler), m_options(options), m_random(options.seed) {}

  /// Accepts, queues or sheds a request. If `on_crash` is set, the process
  /// crashes kTimeToCrash after the request starts in a slot, and then
  /// `on_crash` is called.
  JobId Submit(Callback callback, std::function<void()> on_crash = {}) {
    const JobId id = ++m_last_id;
    ++m_submitted;
    if (IsDown()) {
      Reply(SubOutcomeKind::kNotConnected, std::move(callback));
    } else if (m_running.size() >= m_options.slots &&
               m_queue.size() >= m_options.queue_capacity) {
      Reply(SubOutcomeKind::kNotStarted, std::move(callback));
    } else {
      m_queue.push_back({id, std::move(callback), std::move(on_crash)});
      StartNext();
    }
    return id;
  }

  /// Cancels a request. Returns whether it was queued or running.
  bool Cancel(JobId id) {
    if (std::erase_if(m_queue, [id](const Job& job) { return job.id == id; })) {
      return true;
    }
    const auto found = m_running.find(id);
    if (found == m_running.end()) return false;
    m_scheduler->Cancel(found->second.timer);
    m_running.erase(found);
    StartNext();
    return true;
  }

  /// Crashes the process: all queued and running requests end with
  /// kConnectionLost.
  void Crash() {
    ++m_crashes;
    m_down_until = m_scheduler->Now() + m_options.restart;
    std::deque<Job> lost = std::exchange(m_queue, {});
    for (auto& [id, running] : std::exchange(m_running, {})) {
      m_scheduler->Cancel(running.timer);
      lost.push_back(std::move(running.job));
    }
    for (Job& job : lost) {
      Reply(SubOutcomeKind::kConnectionLost, std::move(job.callback));
    }
  }

  /// Sets the factor by which later service times are multiplied.
  void SetSlowness(double factor) { m_slowness = factor; }

  /// Sets a function from actual load to reported load; by default the actual
  /// load is reported.
  void SetLoadReport(std::function<std::uint32_t(std::uint32_t load)> report) {
    m_report = std::move(report);
  }

  /// Returns whether the process has crashed and not restarted yet.
  [[nodiscard]] bool IsDown() const {
    return m_scheduler->Now() < m_down_until;
  }
  /// Returns the number of queued and running requests.
  [[nodiscard]] std::uint32_t Load() const {
    return static_cast<std::uint32_t>(m_queue.size() + m_running.size());
  }
  [[nodiscard]] std::size_t Queued() const { return m_queue.size(); }
  [[nodiscard]] std::uint64_t Submitted() const { return m_submitted; }
  [[nodiscard]] std::uint64_t Crashes() const { return m_crashes; }
  /// Returns the total slot time of finished requests.
  [[nodiscard]] Duration BusyTime() const { return m_busy; }

 private:
  /// Time from the start of a crashing request to the crash.
  static constexpr Duration kTimeToCrash = milliseconds(1);

  struct Job {
    JobId id = 0;
    Callback callback;
    std::function<void()> on_crash;
  };
  struct Running {
    Job job;
    TimerId timer = 0;
  };

  void Reply(SubOutcomeKind kind, Callback callback) {
    SubOutcome outcome;
    outcome.kind = kind;
    if (kind == SubOutcomeKind::kAnswered) {
      outcome.report.load = m_report ? m_report(Load()) : Load();
    }
    m_scheduler->Schedule(
        {}, [outcome = std::move(outcome), callback = std::move(callback)] {
          callback(outcome);
        });
  }

  void StartNext() {
    while (!m_queue.empty() && m_running.size() < m_options.slots) {
      Job job = std::move(m_queue.front());
      m_queue.pop_front();
      const JobId id = job.id;
      const auto on_crash = job.on_crash;
      const Duration time = on_crash ? kTimeToCrash : ServiceTime();
      Running& running = m_running[id];
      running.job = std::move(job);
      running.timer = m_scheduler->Schedule(time, [this, id, on_crash, time] {
        if (on_crash) {
          Crash();
          on_crash();
          return;
        }
        m_busy += time;
        Job done = std::move(m_running.extract(id).mapped().job);
        StartNext();
        Reply(SubOutcomeKind::kAnswered, std::move(done.callback));
      });
    }
  }

  Duration ServiceTime() {
    std::lognormal_distribution<double> spread(0.0, m_options.sigma);
    std::bernoulli_distribution straggles(m_options.straggler_share);
    double micros = static_cast<double>(m_options.median.count()) *
                    spread(m_random) * m_slowness;
    if (straggles(m_random)) micros *= m_options.straggler_factor;
    return Duration(static_cast<std::int64_t>(micros));
  }

  Scheduler* m_scheduler;
  QueuedUpstreamOptions m_options;
  std::mt19937_64 m_random;
  JobId m_last_id = 0;
  std::deque<Job> m_queue;
  std::map<JobId, Running> m_running;
  TimePoint m_down_until{};
  double m_slowness = 1.0;
  std::function<std::uint32_t(std::uint32_t)> m_report;
  std::uint64_t m_submitted = 0;
  std::uint64_t m_crashes = 0;
  Duration m_busy{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_QUEUED_UPSTREAM_H_
