#ifndef CHICORYVALE_TESTS_FAKES_FAKE_SCHEDULER_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_SCHEDULER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <utility>

#include "ports/scheduler.h"

namespace chicoryvale {

/// Scheduler on virtual time. Callbacks run only within RunFor and RunUntil, in
/// order of due time; callbacks due at the same time run in the order in which
/// they were scheduled.
class FakeScheduler : public Scheduler {
 public:
  /// Runs all callbacks that are due within `duration`, then advances the time
  /// by `duration` in total.
  void RunFor(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_queue.empty() && m_queue.begin()->first.first <= end) RunNext();
    m_now = end;
  }

  /// Runs callbacks until `done` returns true or none is scheduled. Returns the
  /// final result of `done`.
  bool RunUntil(const std::function<bool()>& done) {
    while (!done() && !m_queue.empty()) RunNext();
    return done();
  }

  [[nodiscard]] std::size_t PendingTimers() const { return m_queue.size(); }

 protected:
  [[nodiscard]] TimePoint OnNow() const override { return m_now; }

  TimerId OnSchedule(Duration delay, std::function<void()> callback) override {
    const TimerId id = ++m_last_id;
    const TimePoint due = m_now + delay;
    m_queue.emplace(std::pair(due, id), std::move(callback));
    m_due.emplace(id, due);
    return id;
  }

  void OnCancel(TimerId id) override {
    const auto found = m_due.find(id);
    if (found == m_due.end()) return;
    m_queue.erase({found->second, id});
    m_due.erase(found);
  }

 private:
  void RunNext() {
    auto node = m_queue.extract(m_queue.begin());
    m_now = node.key().first;
    m_due.erase(node.key().second);
    node.mapped()();
  }

  TimePoint m_now{};
  TimerId m_last_id = 0;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_queue;
  std::map<TimerId, TimePoint> m_due;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_SCHEDULER_H_
