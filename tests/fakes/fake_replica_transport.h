#ifndef CHICORYVALE_TESTS_FAKES_FAKE_REPLICA_TRANSPORT_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_REPLICA_TRANSPORT_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ports/replica_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// What a replica of FakeReplicaTransport does with a send.
struct ReplicaAct {
  Duration after{};
  ReplicaAnswer answer;
  /// It says nothing.
  bool silent = false;
};

/// Returns a success with `body`, signed by `replica`.
inline ReplicaAnswer SignedAnswer(const std::string& replica,
                                  const std::string& body = "") {
  ReplicaAnswer answer;
  answer.end = SendEnd::kAnswered;
  answer.status = 200;
  answer.signature = "mac-" + replica;
  answer.headers = {{"Mac", answer.signature}};
  answer.body = body;
  return answer;
}

/// Returns an answer that ended as `end`, or failed with `status`.
inline ReplicaAnswer FailedAnswer(SendEnd end, int status = 0) {
  ReplicaAnswer answer;
  answer.end = end;
  answer.status = status;
  return answer;
}

/// Transport on virtual time whose replicas act as a function says; it records
/// all sends and cancels.
class FakeReplicaTransport : public ReplicaTransport {
 public:
  using Act = std::function<ReplicaAct(const ReplicaSend& send)>;

  explicit FakeReplicaTransport(Scheduler* scheduler)
      : m_scheduler(scheduler) {}

  void SetAct(Act act) { m_act = std::move(act); }
  [[nodiscard]] const std::vector<ReplicaSend>& Sends() const {
    return m_sends;
  }
  [[nodiscard]] std::size_t Cancels() const { return m_cancels; }
  [[nodiscard]] std::size_t Open() const { return m_open.size(); }

  /// Returns the sends to the replica `id`.
  [[nodiscard]] std::size_t CountSends(const std::string& id) const {
    return static_cast<std::size_t>(std::ranges::count(
        m_sends, id, [](const ReplicaSend& send) { return send.replica_id; }));
  }

 protected:
  SendId OnSend(const ReplicaSend& send, Callback callback) override {
    const SendId id = ++m_last_id;
    m_sends.push_back(send);
    m_open[id] = 0;
    const ReplicaAct act = m_act(send);
    if (act.silent) return id;
    m_open[id] = m_scheduler->Schedule(
        act.after, [this, id, act, callback = std::move(callback)] {
          m_open.erase(id);
          callback(act.answer);
        });
    return id;
  }

  void OnCancel(SendId id) override {
    const auto open = m_open.find(id);
    if (open == m_open.end()) return;
    ++m_cancels;
    m_scheduler->Cancel(open->second);
    m_open.erase(open);
  }

 private:
  Scheduler* m_scheduler;
  Act m_act;
  SendId m_last_id = 0;
  std::size_t m_cancels = 0;
  std::map<SendId, TimerId> m_open;
  std::vector<ReplicaSend> m_sends;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_REPLICA_TRANSPORT_H_
