#ifndef CHICORYVALE_SRC_ADAPTERS_GLIB_SCHEDULER_H_
#define CHICORYVALE_SRC_ADAPTERS_GLIB_SCHEDULER_H_

#include <glib.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include "ports/scheduler.h"

namespace chicoryvale {

/// Scheduler on the GMainContext that is the thread default at the first call
/// of Schedule. All timers share one GSource, so that they fire in order of
/// their due times even if the loop is late; GLib would dispatch separate
/// sources in the order in which they were scheduled. The source returns its
/// timeout from its prepare function, because each change of a ready time, set
/// by g_source_set_ready_time, would cost a write and a read of the context's
/// eventfd. Not thread safe: use it only on the thread that iterates the
/// context. A callback may destroy the scheduler.
class GlibScheduler : public Scheduler {
 public:
  GlibScheduler() = default;
  ~GlibScheduler() override;
  GlibScheduler(const GlibScheduler&) = delete;
  GlibScheduler& operator=(const GlibScheduler&) = delete;

 protected:
  [[nodiscard]] TimePoint OnNow() const override;
  TimerId OnSchedule(Duration delay, std::function<void()> callback) override;
  void OnCancel(TimerId id) override;

 private:
  struct Source;
  /// Callbacks by due time, then by timer id, which is the order of scheduling.
  using TimerMap =
      std::map<std::pair<TimePoint, TimerId>, std::function<void()>>;

  static gboolean Prepare(GSource* source, gint* timeout_ms);
  static gboolean Check(GSource* source);
  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer);
  void RunDueTimers();
  void EnsureSource();

  TimerId m_last_id = 0;
  TimerMap m_timers;
  std::unordered_map<TimerId, TimePoint> m_due_times;
  GSource* m_source = nullptr;
  /// Expires with the scheduler; checked after callbacks, which may destroy it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_GLIB_SCHEDULER_H_
