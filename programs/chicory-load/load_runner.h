#ifndef CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_RUNNER_H_
#define CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_RUNNER_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <random>
#include <vector>

#include "adapters/glib_scheduler.h"
#include "chicory-load/call_statistics.h"
#include "chicory-load/load_plan.h"

namespace chicoryvale {

/// Generates the load of a plan as an open loop: the arrivals of each stream do
/// not wait for answers. Not thread safe.
class LoadRunner {
 public:
  explicit LoadRunner(LoadPlan plan);
  ~LoadRunner();
  LoadRunner(const LoadRunner&) = delete;
  LoadRunner& operator=(const LoadRunner&) = delete;

  /// Runs on the default main context until the last call has ended. Must be
  /// called only once.
  void Run();

  /// Returns the results of each stream, in the order of the plan.
  [[nodiscard]] const std::vector<CallStatistics>& Results() const {
    return m_results;
  }

  /// Returns the time from the start of the run to the end of the last call.
  [[nodiscard]] Duration Elapsed() const { return m_elapsed; }

 private:
  struct Call;
  void ScheduleArrival(std::size_t stream, TimePoint after);
  void StartCall(std::size_t stream, TimePoint due);
  SoupMessage* MakeMessage(const CallStream& stream, std::size_t entry);
  static void OnAnswer(GObject* session, GAsyncResult* result, gpointer call);

  LoadPlan m_plan;
  GlibScheduler m_scheduler;
  std::mt19937_64 m_random;
  std::vector<SoupSession*> m_sessions;
  std::vector<CallStatistics> m_results;
  std::uint64_t m_arrivals = 0;
  std::uint32_t m_in_flight = 0;
  std::size_t m_active_streams = 0;
  std::size_t m_next_entry = 0;
  TimePoint m_start{};
  Duration m_elapsed{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_RUNNER_H_
