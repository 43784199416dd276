// A zone whose replicas are short of room: what the workspaces get.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "zone_admission/zone_group.h"

namespace chicoryvale {
namespace {

constexpr int kEntries = 30;
constexpr int kSlots = 8;
constexpr Duration kWork = milliseconds(100);
/// Requests a second that the replicas can run.
constexpr double kCapacity = kSlots / 0.1;
constexpr Duration kTarget = milliseconds(250);
constexpr Duration kTimeLimit = seconds(2);

/// Replicas with a common queue. They run a request even if it is late.
class ModelReplicas {
 public:
  explicit ModelReplicas(FakeScheduler* scheduler) : m_scheduler(scheduler) {}

  void Run(std::function<void()> done) {
    m_queue.push_back(std::move(done));
    StartNext();
  }

 private:
  void StartNext() {
    if (m_running >= kSlots || m_queue.empty()) return;
    ++m_running;
    m_scheduler->Schedule(kWork, [this, done = std::move(m_queue.front())] {
      --m_running;
      done();
      StartNext();
    });
    m_queue.pop_front();
  }

  FakeScheduler* m_scheduler;
  int m_running = 0;
  std::deque<std::function<void()>> m_queue;
};

struct Outcome {
  int requests = 0;
  int in_time = 0;
  [[nodiscard]] double InTime() const {
    return requests == 0 ? 0 : static_cast<double>(in_time) / requests;
  }
};

class ZoneAdmissionLoadTest : public testing::TestWithParam<std::uint64_t> {
 protected:
  // Sends requests of each workspace at the given rates for `duration`, at
  // random entries, and returns what they got.
  std::map<std::string, Outcome> Load(
      const std::map<std::string, double>& per_second, Duration duration) {
    std::map<std::string, Outcome> outcomes;
    double total = 0;
    for (const auto& [workspace, rate] : per_second) total += rate;
    const TimePoint end = m_group.scheduler().Now() + duration;
    while (m_group.scheduler().Now() < end) {
      const double gap_s =
          std::exponential_distribution<double>(total)(m_random);
      m_group.scheduler().RunFor(
          Duration(static_cast<Duration::rep>(gap_s * 1e6)));
      double draw = std::uniform_real_distribution<double>(0, total)(m_random);
      const auto workspace =
          std::ranges::find_if(per_second, [&draw](const auto& entry) {
            draw -= entry.second;
            return draw <= 0;
          });
      if (workspace == per_second.end()) continue;
      Send(workspace->first, &outcomes[workspace->first]);
    }
    m_group.scheduler().RunFor(kTimeLimit * 2);
    return outcomes;
  }

  void Send(const std::string& workspace, Outcome* outcome) {
    ++outcome->requests;
    const int entry =
        std::uniform_int_distribution<int>(0, kEntries - 1)(m_random);
    ZoneAdmissionClient* client = m_group.At(entry).client.get();
    const AdmissionId id = ++m_last_id;
    const TimePoint start = m_group.scheduler().Now();
    client->Submit(
        id, {"g", workspace, 1, kTarget, kTimeLimit},
        [this, client, id, start,
         outcome](const ZoneAdmissionDecision& decision) {
          if (!decision.is_admitted) return;
          m_replicas.Run([this, client, id, start, outcome] {
            const bool in_time = m_group.scheduler().Now() - start <= kTarget;
            outcome->in_time += in_time ? 1 : 0;
            client->Finish(id, in_time ? AdmittedOutcome::kServedInTime
                                       : AdmittedOutcome::kNotServedInTime);
          });
        });
  }

  ZoneGroup m_group{kEntries};
  ModelReplicas m_replicas{&m_group.scheduler()};
  std::mt19937_64 m_random{GetParam()};
  AdmissionId m_last_id = 0;
};

TEST_P(ZoneAdmissionLoadTest, ALoadThatFitsIsServed) {
  const auto outcomes =
      Load({{"a", 0.4 * kCapacity}, {"b", 0.3 * kCapacity}}, seconds(20));
  EXPECT_GE(outcomes.at("a").InTime(), 0.95);
  EXPECT_GE(outcomes.at("b").InTime(), 0.95);
}

// The neighbours of a workspace that sends many times its usual stay within
// their shares, so they must be served nearly as without it.
TEST_P(ZoneAdmissionLoadTest, AHotWorkspaceTakesItsOwnShare) {
  std::map<std::string, double> rates = {{"hot", 3 * kCapacity}};
  for (const std::string name : {"a", "b", "c", "d", "e"}) {
    rates[name] = 0.1 * kCapacity;
  }
  Load(rates, seconds(5));
  const auto outcomes = Load(rates, seconds(20));
  int in_time = 0;
  for (const auto& [name, outcome] : outcomes) {
    in_time += outcome.in_time;
    if (name == "hot") continue;
    EXPECT_GE(outcome.InTime(), 0.8) << name;
  }
  // The work of the replicas is not wasted on late answers.
  EXPECT_GE(in_time, 0.7 * kCapacity * 20);
  EXPECT_GT(outcomes.at("hot").in_time, 0);
}

// The load of a moment must not be paid for long.
TEST_P(ZoneAdmissionLoadTest, TheGroupRecoversFromABurst) {
  Load({{"hot", 5 * kCapacity}}, seconds(2));
  Load({{"a", 0.5 * kCapacity}}, seconds(5));
  const auto outcomes = Load({{"a", 0.5 * kCapacity}}, seconds(10));
  EXPECT_GE(outcomes.at("a").InTime(), 0.95);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ZoneAdmissionLoadTest,
                         testing::Values(1, 2, 3));

}  // namespace
}  // namespace chicoryvale
