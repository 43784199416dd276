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

/// Scheduler on the GMainContext that is the thread's default at the first
/// Schedule. Timers fire in order of their due times, however late the loop is:
/// they share one GSource, while GLib would run sources of their own in order
/// of Schedule. The source tells the loop its next time when the loop asks: a
/// ready time, set by g_source_set_ready_time, would cost a write and a read of
/// the context's eventfd each time it changes. Not thread safe: used only on
/// the thread that iterates the context. A callback may destroy the scheduler.
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
  /// Timers by due time, then by order of Schedule.
  using DueTimers =
      std::map<std::pair<TimePoint, TimerId>, std::function<void()>>;

  static gboolean Prepare(GSource* source, gint* timeout_ms);
  static gboolean Check(GSource* source);
  static gboolean Dispatch(GSource* source, GSourceFunc, gpointer);
  void FireDue();
  void EnsureSource();

  TimerId m_last_id = 0;
  DueTimers m_due;
  std::unordered_map<TimerId, TimePoint> m_due_times;
  GSource* m_source = nullptr;
  /// Expires with the scheduler.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_GLIB_SCHEDULER_H_
