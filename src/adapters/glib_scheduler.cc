#include "adapters/glib_scheduler.h"

#include <utility>

namespace chicoryvale {

struct GlibScheduler::Timer {
  GlibScheduler* scheduler;
  TimerId id;
  std::function<void()> callback;
};

GlibScheduler::~GlibScheduler() {
  for (auto& [id, source] : m_sources) {
    g_source_destroy(source);
    g_source_unref(source);
  }
}

TimePoint GlibScheduler::OnNow() const {
  return TimePoint(Duration(g_get_monotonic_time()));
}

TimerId GlibScheduler::OnSchedule(Duration delay,
                                  std::function<void()> callback) {
  const TimerId id = ++m_last_id;
  GSource* source = g_timeout_source_new(0);
  // A ready time has microseconds; a GLib timeout has only milliseconds.
  g_source_set_ready_time(source, g_get_monotonic_time() + delay.count());
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        auto* timer = static_cast<Timer*>(data);
        // Firing frees `timer`, so that its callback is moved out first.
        auto run = std::move(timer->callback);
        timer->scheduler->Fire(timer->id);
        run();
        return G_SOURCE_REMOVE;
      },
      new Timer{this, id, std::move(callback)},
      [](gpointer data) { delete static_cast<Timer*>(data); });
  g_source_attach(source, g_main_context_get_thread_default());
  m_sources.emplace(id, source);
  return id;
}

void GlibScheduler::OnCancel(TimerId id) { Fire(id); }

void GlibScheduler::Fire(TimerId id) {
  const auto found = m_sources.find(id);
  if (found == m_sources.end()) return;
  GSource* source = found->second;
  m_sources.erase(found);
  g_source_destroy(source);
  g_source_unref(source);
}

}  // namespace chicoryvale
