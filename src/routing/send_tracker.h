#ifndef CHICORYVALE_SRC_ROUTING_SEND_TRACKER_H_
#define CHICORYVALE_SRC_ROUTING_SEND_TRACKER_H_

#include <cstdint>
#include <unordered_map>

#include "ports/replica_transport.h"
#include "ports/scheduler.h"
#include "routing/replica_pool.h"

namespace chicoryvale {

/// Sends requests to replicas and tells the pool how each send ended, those
/// included for which nobody waits any more. Not thread safe.
class SendTracker {
 public:
  using Callback = ReplicaTransport::Callback;

  /// The pointees outlive the tracker.
  SendTracker(Scheduler* scheduler, ReplicaTransport* transport,
              ReplicaPool* pool)
      : m_scheduler(scheduler), m_transport(transport), m_pool(pool) {}
  ~SendTracker();
  SendTracker(const SendTracker&) = delete;
  SendTracker& operator=(const SendTracker&) = delete;

  /// Sends; calls `callback` once, never from within this call, unless the send
  /// is cancelled or released. Returns a number that is never 0.
  std::uint64_t Send(const ReplicaSend& send, Callback callback);

  /// Ends a send whose caller has gone: the replica learns that nobody waits.
  void Cancel(std::uint64_t number);

  /// Ends a send that lost against another: its replica may finish soon, so
  /// that its connection stays of use.
  void Release(std::uint64_t number);

 private:
  struct Open {
    std::string replica_id;
    std::uint64_t pool_send = 0;
    SendId transport_send = 0;
    Callback callback;
    TimerId timer = 0;
  };

  void OnEnd(std::uint64_t number, ReplicaAnswer answer);

  Scheduler* m_scheduler;
  ReplicaTransport* m_transport;
  ReplicaPool* m_pool;
  std::uint64_t m_last_number = 0;
  std::unordered_map<std::uint64_t, Open> m_open;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_SEND_TRACKER_H_
