#include "adapters/glib_scheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <utility>

namespace chicoryvale {

/// The GSource of a scheduler; GLib allocates it with `base` as its first
/// member.
struct GlibScheduler::Source {
  GSource base;
  GlibScheduler* scheduler;
};

GlibScheduler::~GlibScheduler() {
  if (m_source == nullptr) return;
  g_source_destroy(m_source);
  g_source_unref(m_source);
}

TimePoint GlibScheduler::OnNow() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

TimerId GlibScheduler::OnSchedule(Duration delay,
                                  std::function<void()> callback) {
  const TimerId id = ++m_last_id;
  const TimePoint due = OnNow() + delay;
  m_timers.emplace(std::pair(due, id), std::move(callback));
  m_due_times.emplace(id, due);
  EnsureSource();
  return id;
}

void GlibScheduler::OnCancel(TimerId id) {
  const auto found = m_due_times.find(id);
  if (found == m_due_times.end()) return;
  m_timers.erase({found->second, id});
  m_due_times.erase(found);
}

gboolean GlibScheduler::Prepare(GSource* source, gint* timeout_ms) {
  const GlibScheduler& self = *reinterpret_cast<Source*>(source)->scheduler;
  constexpr gint kNoTimeout = -1;
  *timeout_ms = kNoTimeout;
  if (self.m_timers.empty()) return FALSE;
  const Duration remaining = self.m_timers.begin()->first.first - self.OnNow();
  if (remaining <= Duration::zero()) return TRUE;
  const auto rounded_ms = std::chrono::ceil<milliseconds>(remaining).count();
  *timeout_ms = static_cast<gint>(std::min<std::int64_t>(rounded_ms, G_MAXINT));
  return FALSE;
}

gboolean GlibScheduler::Check(GSource* source) {
  const GlibScheduler& self = *reinterpret_cast<Source*>(source)->scheduler;
  const bool due = !self.m_timers.empty() &&
                   self.m_timers.begin()->first.first <= self.OnNow();
  return due ? TRUE : FALSE;
}

gboolean GlibScheduler::Dispatch(GSource* source, GSourceFunc /*callback*/,
                                 gpointer /*data*/) {
  reinterpret_cast<Source*>(source)->scheduler->RunDueTimers();
  return G_SOURCE_CONTINUE;
}

void GlibScheduler::RunDueTimers() {
  // Timers that the callbacks schedule fire in the next iteration at the
  // earliest.
  const auto last_due = std::pair(OnNow(), m_last_id);
  const std::weak_ptr<bool> alive = m_alive;
  while (!m_timers.empty() && m_timers.begin()->first <= last_due) {
    auto timer = m_timers.extract(m_timers.begin());
    m_due_times.erase(timer.key().second);
    timer.mapped()();
    if (alive.expired()) return;
  }
}

void GlibScheduler::EnsureSource() {
  static GSourceFuncs functions = {&Prepare, &Check,  &Dispatch,
                                   nullptr,  nullptr, nullptr};
  if (m_source != nullptr) return;
  m_source = g_source_new(&functions, sizeof(Source));
  reinterpret_cast<Source*>(m_source)->scheduler = this;
  g_source_attach(m_source, g_main_context_get_thread_default());
}

}  // namespace chicoryvale
