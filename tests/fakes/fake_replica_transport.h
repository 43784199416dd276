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

/// How a replica of FakeReplicaTransport handles one send.
struct ReplicaBehaviour {
  /// Time until the answer arrives.
  Duration delay{};
  ReplicaAnswer answer;
  /// The replica never answers.
  bool silent = false;
};

/// Returns a successful answer with `body` and the signature of `replica`.
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

/// Returns the answer of a send that ended with `end` and HTTP status `status`.
inline ReplicaAnswer FailedAnswer(SendEnd end, int status = 0) {
  ReplicaAnswer answer;
  answer.end = end;
  answer.status = status;
  return answer;
}

/// ReplicaTransport on virtual time. A function determines how replicas handle
/// sends. All sends are recorded and cancellations counted.
class FakeReplicaTransport : public ReplicaTransport {
 public:
  using Behaviour = std::function<ReplicaBehaviour(const ReplicaSend& send)>;

  explicit FakeReplicaTransport(Scheduler* scheduler)
      : m_scheduler(scheduler) {}

  /// Sets the function that is called for each send. Required before the first
  /// send.
  void SetBehaviour(Behaviour behaviour) { m_behaviour = std::move(behaviour); }
  [[nodiscard]] const std::vector<ReplicaSend>& Sends() const {
    return m_sends;
  }
  /// Number of sends that were cancelled while open.
  [[nodiscard]] std::size_t CancelCount() const { return m_cancel_count; }
  /// Number of sends that were neither answered nor cancelled.
  [[nodiscard]] std::size_t OpenSends() const { return m_open.size(); }

  /// Returns the number of sends to the replica `id`.
  [[nodiscard]] std::size_t CountSends(const std::string& id) const {
    return static_cast<std::size_t>(std::ranges::count(
        m_sends, id, [](const ReplicaSend& send) { return send.replica_id; }));
  }

 protected:
  SendId OnSend(const ReplicaSend& send, Callback callback) override {
    const SendId id = ++m_last_id;
    m_sends.push_back(send);
    m_open[id] = 0;
    const ReplicaBehaviour behaviour = m_behaviour(send);
    if (behaviour.silent) return id;
    m_open[id] = m_scheduler->Schedule(
        behaviour.delay, [this, id, behaviour, callback = std::move(callback)] {
          m_open.erase(id);
          callback(behaviour.answer);
        });
    return id;
  }

  void OnCancel(SendId id) override {
    const auto open = m_open.find(id);
    if (open == m_open.end()) return;
    ++m_cancel_count;
    m_scheduler->Cancel(open->second);
    m_open.erase(open);
  }

 private:
  Scheduler* m_scheduler;
  Behaviour m_behaviour;
  SendId m_last_id = 0;
  std::size_t m_cancel_count = 0;
  std::map<SendId, TimerId> m_open;
  std::vector<ReplicaSend> m_sends;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_REPLICA_TRANSPORT_H_
