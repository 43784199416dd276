#ifndef CHICORYVALE_TESTS_FAKES_FAKE_UPSTREAM_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ports/scheduler.h"
#include "ports/upstream_transport.h"

namespace chicoryvale {

/// How a simulated replica handles one sub-request.
struct FakeReply {
  SubOutcome outcome;
  Duration delay = milliseconds(2);
  /// Whether the replica runs the request, independent of the outcome.
  bool runs = false;
  /// The replica never answers, so that the sub-request times out.
  bool silent = false;
  /// The callback is called twice with the outcome.
  bool ends_twice = false;
};

/// Shard map epoch and range of index versions that a simulated replica serves.
struct FakeIndex {
  std::uint64_t map_epoch = 1;
  std::uint64_t oldest = 1;
  std::uint64_t newest = 1;
};

/// UpstreamTransport to simulated replicas on virtual time. Counts the
/// sub-requests that were sent, run and cancelled.
class FakeUpstream : public UpstreamTransport {
 public:
  using Behaviour = std::function<FakeReply(const SubRequest&)>;

  explicit FakeUpstream(Scheduler* scheduler) : m_scheduler(scheduler) {}

  /// Sets how `replica` handles sub-requests, in place of the default.
  void SetBehaviour(const Address& replica, Behaviour behaviour) {
    m_behaviours[replica] = std::move(behaviour);
  }

  /// Sets how replicas without a behaviour of their own handle sub-requests, in
  /// place of Serve.
  void SetDefault(Behaviour behaviour) { m_default = std::move(behaviour); }

  /// Returns the index of `replica`, which the caller may change.
  FakeIndex& Index(const Address& replica) { return m_indexes[replica]; }

  /// Returns an answer that echoes the sub-request correctly, or
  /// kSnapshotUnavailable if the replica does not serve the snapshot. The body
  /// has the form "SHARD@EPOCH.VERSION".
  FakeReply Serve(const SubRequest& request) {
    const FakeIndex& index = m_indexes[request.replica];
    FakeReply reply;
    reply.outcome.report.oldest_version = index.oldest;
    reply.outcome.report.newest_version = index.newest;
    const bool serves = request.snapshot.map_epoch == index.map_epoch &&
                        request.snapshot.index_version >= index.oldest &&
                        request.snapshot.index_version <= index.newest;
    if (!serves) {
      reply.outcome.kind = SubOutcomeKind::kSnapshotUnavailable;
      return reply;
    }
    reply.runs = true;
    reply.outcome.kind = SubOutcomeKind::kAnswered;
    reply.outcome.echoed_id = request.id;
    reply.outcome.echoed_shard = request.shard;
    reply.outcome.echoed_snapshot = request.snapshot;
    reply.outcome.body = std::to_string(request.shard) + "@" +
                         std::to_string(request.snapshot.map_epoch) + "." +
                         std::to_string(request.snapshot.index_version);
    return reply;
  }

  /// Returns a reply that ends with `kind`. By default the request does not
  /// run.
  static FakeReply Fail(SubOutcomeKind kind, bool runs = false) {
    FakeReply reply;
    reply.outcome.kind = kind;
    reply.runs = runs;
    return reply;
  }

  /// Returns a reply without an answer; the sub-request times out.
  static FakeReply Silent(bool runs = false) {
    FakeReply reply;
    reply.silent = true;
    reply.runs = runs;
    return reply;
  }

  /// Sub-requests that were sent while recording.
  [[nodiscard]] const std::vector<SubRequest>& Sent() const { return m_sent; }
  [[nodiscard]] std::uint64_t SentCount() const { return m_sent_count; }
  [[nodiscard]] std::uint64_t Runs() const { return m_runs; }
  [[nodiscard]] std::uint64_t Cancelled() const { return m_cancelled; }
  /// Stops recording the sub-requests that are sent; counters continue.
  void StopRecording() { m_recording = false; }

 protected:
  void OnSend(SubRequest request, Callback callback) override {
    ++m_sent_count;
    const auto specific = m_behaviours.find(request.replica);
    FakeReply reply = specific != m_behaviours.end() ? specific->second(request)
                      : m_default                    ? m_default(request)
                                                     : Serve(request);
    if (reply.runs) ++m_runs;
    const SubRequestId id = request.id;
    const Duration timeout = request.timeout;
    if (m_recording) m_sent.push_back(std::move(request));
    if (reply.silent) {
      reply.delay = timeout;
      reply.outcome = SubOutcome{};
      reply.outcome.kind = SubOutcomeKind::kTimedOut;
    }
    m_callbacks[id] = callback;
    m_scheduler->Schedule(reply.delay, [this, id, reply] {
      Finish(id, reply.outcome);
      if (reply.ends_twice) FinishAgain(id, reply.outcome);
    });
    if (reply.ends_twice) m_duplicate_callbacks[id] = std::move(callback);
  }

  void OnCancel(SubRequestId id) override {
    m_cancelled += m_callbacks.erase(id);
  }

 private:
  void Finish(SubRequestId id, const SubOutcome& outcome) {
    auto node = m_callbacks.extract(id);
    if (!node.empty()) node.mapped()(outcome);
  }

  void FinishAgain(SubRequestId id, const SubOutcome& outcome) {
    auto node = m_duplicate_callbacks.extract(id);
    if (!node.empty()) node.mapped()(outcome);
  }

  Scheduler* m_scheduler;
  Behaviour m_default;
  std::map<Address, Behaviour> m_behaviours;
  std::map<Address, FakeIndex> m_indexes;
  std::map<SubRequestId, Callback> m_callbacks;
  std::map<SubRequestId, Callback> m_duplicate_callbacks;
  std::vector<SubRequest> m_sent;
  std::uint64_t m_sent_count = 0;
  std::uint64_t m_runs = 0;
  std::uint64_t m_cancelled = 0;
  bool m_recording = true;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_UPSTREAM_H_
