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

/// What a fake replica does with one sub-request.
struct FakeReply {
  SubOutcome outcome;
  Duration delay = milliseconds(2);
  /// The request ran, whatever the outcome says.
  bool runs = false;
  /// No end is ever told.
  bool silent = false;
  /// The end is told twice.
  bool twice = false;
};

/// State of the index of one fake replica.
struct FakeIndex {
  std::uint64_t map_epoch = 1;
  std::uint64_t oldest = 1;
  std::uint64_t newest = 1;
};

/// Upstreams on virtual time that count what they run.
class FakeUpstream : public UpstreamTransport {
 public:
  using Behaviour = std::function<FakeReply(const SubRequest&)>;

  explicit FakeUpstream(Scheduler* scheduler) : m_scheduler(scheduler) {}

  /// Sets what `replica` does in place of Serve.
  void SetBehaviour(const Address& replica, Behaviour behaviour) {
    m_behaviours[replica] = std::move(behaviour);
  }

  /// Sets what replicas without their own behaviour do.
  void SetDefault(Behaviour behaviour) { m_default = std::move(behaviour); }

  FakeIndex& Index(const Address& replica) { return m_indexes[replica]; }

  /// Answers with the echo that is due, or says that the snapshot is not
  /// served. The body names shard, epoch and version.
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

  /// Ends without running, in the way of `kind`.
  static FakeReply Fail(SubOutcomeKind kind, bool runs = false) {
    FakeReply reply;
    reply.outcome.kind = kind;
    reply.runs = runs;
    return reply;
  }

  /// Never tells an end.
  static FakeReply Silent(bool runs = false) {
    FakeReply reply;
    reply.silent = true;
    reply.runs = runs;
    return reply;
  }

  [[nodiscard]] const std::vector<SubRequest>& Sent() const { return m_sent; }
  [[nodiscard]] std::uint64_t SentCount() const { return m_sent_count; }
  [[nodiscard]] std::uint64_t Runs() const { return m_runs; }
  [[nodiscard]] std::uint64_t Cancelled() const { return m_cancelled; }
  /// Keeps no copy of what is sent from now on.
  void StopRecording() { m_recording = false; }

 protected:
  void OnSend(SubRequest request, Callback callback) override {
    ++m_sent_count;
    const auto own = m_behaviours.find(request.replica);
    FakeReply reply = own != m_behaviours.end() ? own->second(request)
                      : m_default               ? m_default(request)
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
      Tell(id, reply.outcome);
      if (reply.twice) Repeat(id, reply.outcome);
    });
    if (reply.twice) m_doubled[id] = std::move(callback);
  }

  void OnCancel(SubRequestId id) override {
    m_cancelled += m_callbacks.erase(id);
  }

 private:
  void Tell(SubRequestId id, const SubOutcome& outcome) {
    auto node = m_callbacks.extract(id);
    if (!node.empty()) node.mapped()(outcome);
  }

  void Repeat(SubRequestId id, const SubOutcome& outcome) {
    auto node = m_doubled.extract(id);
    if (!node.empty()) node.mapped()(outcome);
  }

  Scheduler* m_scheduler;
  Behaviour m_default;
  std::map<Address, Behaviour> m_behaviours;
  std::map<Address, FakeIndex> m_indexes;
  std::map<SubRequestId, Callback> m_callbacks;
  std::map<SubRequestId, Callback> m_doubled;
  std::vector<SubRequest> m_sent;
  std::uint64_t m_sent_count = 0;
  std::uint64_t m_runs = 0;
  std::uint64_t m_cancelled = 0;
  bool m_recording = true;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_UPSTREAM_H_
