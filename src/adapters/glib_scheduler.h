#ifndef CHICORYVALE_SRC_ADAPTERS_GLIB_SCHEDULER_H_
#define CHICORYVALE_SRC_ADAPTERS_GLIB_SCHEDULER_H_

#include <glib.h>

#include <functional>
#include <unordered_map>

#include "ports/scheduler.h"

namespace chicoryvale {

/// Scheduler on the thread-default GMainContext.
/// Not thread safe: used only on the thread that iterates the context.
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
  struct Timer;
  void Fire(TimerId id);

  TimerId m_last_id = 0;
  std::unordered_map<TimerId, GSource*> m_sources;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_GLIB_SCHEDULER_H_
