#ifndef CHICORYVALE_TESTS_ROUTING_CRASHING_REPLICAS_H_
#define CHICORYVALE_TESTS_ROUTING_CRASHING_REPLICAS_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_replica_transport.h"
#include "ports/replica_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Replicas on virtual time that all entries of a test share. A crash ends what
/// the replica runs, whoever sent it; the replica is back after kDownTime.
class CrashingReplicas : public ReplicaTransport {
 public:
  static constexpr Duration kWorkTime = milliseconds(120);
  static constexpr Duration kDownTime = milliseconds(4500);

  explicit CrashingReplicas(Scheduler* scheduler) : m_scheduler(scheduler) {}

  /// Makes requests for `target` crash each replica that runs them.
  void AddPoison(const std::string& target) { m_poison.insert(target); }

  void Crash(const std::string& replica) {
    if (!m_down.insert(replica).second) return;
    std::vector<Callback> lost;
    std::erase_if(m_open, [&](auto& entry) {
      if (entry.second.replica != replica) return false;
      m_scheduler->Cancel(entry.second.timer);
      lost.push_back(std::move(entry.second.callback));
      return true;
    });
    for (const Callback& callback : lost) {
      callback(FailedAnswer(SendEnd::kBroken));
    }
    m_scheduler->Schedule(kDownTime,
                          [this, replica] { m_down.erase(replica); });
  }

  /// Returns how many times a replica began to run a request for `target`.
  [[nodiscard]] int CountRuns(const std::string& target) const {
    const auto found = m_runs.find(target);
    return found == m_runs.end() ? 0 : found->second;
  }

 protected:
  SendId OnSend(const ReplicaSend& send, Callback callback) override {
    const SendId id = ++m_last_id;
    const std::string replica = send.replica_id;
    if (m_down.contains(replica)) {
      const TimerId timer = m_scheduler->Schedule(milliseconds(1), [this, id] {
        End(id, FailedAnswer(SendEnd::kNotRun));
      });
      m_open.emplace(id, OpenSend{"", std::move(callback), timer});
      return id;
    }
    ++m_runs[send.request->target];
    const bool crashes = m_poison.contains(send.request->target);
    const TimerId timer = m_scheduler->Schedule(
        crashes ? kTimeToCrash : kWorkTime, [this, id, replica, crashes] {
          if (crashes) return Crash(replica);
          End(id, SignedAnswer(replica));
        });
    m_open.emplace(id, OpenSend{replica, std::move(callback), timer});
    return id;
  }

  void OnCancel(SendId id) override {
    const auto node = m_open.extract(id);
    if (!node.empty()) m_scheduler->Cancel(node.mapped().timer);
  }

 private:
  static constexpr Duration kTimeToCrash = milliseconds(20);

  struct OpenSend {
    std::string replica;
    Callback callback;
    TimerId timer = 0;
  };

  void End(SendId id, ReplicaAnswer answer) {
    const auto node = m_open.extract(id);
    if (!node.empty()) node.mapped().callback(std::move(answer));
  }

  Scheduler* m_scheduler;
  SendId m_last_id = 0;
  std::map<SendId, OpenSend> m_open;
  std::set<std::string> m_down;
  std::set<std::string> m_poison;
  std::map<std::string, int> m_runs;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_ROUTING_CRASHING_REPLICAS_H_
