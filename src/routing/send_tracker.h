#ifndef CHICORYVALE_SRC_ROUTING_SEND_TRACKER_H_
#define CHICORYVALE_SRC_ROUTING_SEND_TRACKER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "ports/event_log.h"
#include "ports/replica_transport.h"
#include "ports/scheduler.h"
#include "routing/replica_pool.h"

namespace chicoryvale {

/// Sends requests to replicas and reports the outcome of each send to the
/// replica pool, including sends whose answer is no longer needed, and what the
/// replica says of itself. Not thread safe.
class SendTracker {
 public:
  using Callback = ReplicaTransport::Callback;

  /// The pointees outlive the tracker.
  SendTracker(Scheduler* scheduler, ReplicaTransport* transport,
              ReplicaPool* pool, EventLog* log)
      : m_scheduler(scheduler),
        m_transport(transport),
        m_pool(pool),
        m_log(log) {}
  ~SendTracker();
  SendTracker(const SendTracker&) = delete;
  SendTracker& operator=(const SendTracker&) = delete;

  /// Sends a request to a replica. Calls `callback` once, never from within
  /// this call, unless the send is cancelled or released. Returns the id of the
  /// send, which is never 0.
  std::uint64_t Send(const ReplicaSend& send, Callback callback);

  /// Ends a send whose answer is no longer needed, and tells the replica to
  /// stop its work. Does nothing if the send has ended.
  void Cancel(std::uint64_t id);

  /// Drops the callback of a send whose answer is no longer needed because
  /// another attempt was answered. The replica gets a short time to finish, so
  /// that its connection stays usable. Does nothing if the send has ended.
  void Release(std::uint64_t id);

 private:
  struct OpenSend {
    std::shared_ptr<const OpaqueRequest> request;
    std::string replica_id;
    std::uint64_t pool_send = 0;
    SendId transport_send = 0;
    Callback callback;
    TimerId timer = 0;
  };

  void OnEnd(std::uint64_t id, ReplicaAnswer answer);
  void RecordNotice(const OpenSend& send, const ReplicaNotice& notice);

  Scheduler* m_scheduler;
  ReplicaTransport* m_transport;
  ReplicaPool* m_pool;
  EventLog* m_log;
  std::uint64_t m_last_id = 0;
  std::unordered_map<std::uint64_t, OpenSend> m_open_sends;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_SEND_TRACKER_H_
