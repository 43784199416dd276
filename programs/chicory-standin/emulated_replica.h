#ifndef CHICORYVALE_PROGRAMS_CHICORY_STANDIN_EMULATED_REPLICA_H_
#define CHICORYVALE_PROGRAMS_CHICORY_STANDIN_EMULATED_REPLICA_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "chicory-standin/standin_settings.h"
#include "ports/http.h"
#include "ports/scheduler.h"
#include "schema/schema.h"

namespace chicoryvale {

/// Events that an emulated replica counts.
enum class ReplicaCounter : std::uint8_t {
  kReceived,
  kRuns,
  kShed,
  kWrongSnapshot,
  kSilenced,
  kCrashes,
};

template <>
struct CounterNames<ReplicaCounter> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "received", "runs", "shed", "wrong_snapshot", "silenced", "crashes"};
};

/// One emulated replica: slots, a queue, service times, index versions, and
/// failures. Not thread safe.
class EmulatedReplica {
 public:
  struct Options {
    Scheduler* scheduler = nullptr;
    std::shared_ptr<const Schema> schema;
    ServiceBehaviour behaviour;
    ShardId shard = 0;
    std::uint64_t seed = 0;
    /// Called when a request with the crash marker starts to run.
    std::function<void()> on_crash;
  };

  explicit EmulatedReplica(Options options);

  /// Serves one sub-request.
  void Handle(const HttpRequest& request, HttpResponder respond);

  /// Drops all requests without an answer, as a crash does.
  void DropRequests();

  /// Leaves all further requests on connections numbered up to
  /// `last_connection` without an answer.
  void SilenceConnections(std::uint64_t last_connection) {
    m_last_silent_connection = last_connection;
  }

  /// Returns the behaviour, which may be changed at run time.
  ServiceBehaviour& Behaviour() { return m_options.behaviour; }
  [[nodiscard]] const Options& Settings() const { return m_options; }
  [[nodiscard]] const CounterSet<ReplicaCounter>& Counters() const {
    return m_counters;
  }

  /// Returns the number of runs of each caller's request id. Runs are no longer
  /// counted once kMaxRequestIds ids are known.
  [[nodiscard]] const std::map<std::string, std::uint32_t>& RunsByRequestId()
      const {
    return m_runs_by_id;
  }

  static constexpr std::size_t kMaxRequestIds = 100'000;

 private:
  struct PendingRequest {
    HttpRequest request;
    HttpResponder respond;
  };
  void Run(PendingRequest pending);
  void Finish(std::uint64_t run);
  Duration DrawServiceTime();
  HttpResponse MakeAnswer(const HttpRequest& request);
  HttpResponse MakeRefusal(int status);
  [[nodiscard]] bool ServesIndexVersion(const HttpRequest& request) const;
  void AddReportHeaders(HttpResponse* response);
  std::uint64_t ReportedLoad();

  Options m_options;
  std::mt19937_64 m_random;
  CounterSet<ReplicaCounter> m_counters;
  /// Requests in slots, by run number.
  std::map<std::uint64_t, PendingRequest> m_running;
  std::deque<PendingRequest> m_queue;
  /// Requests on silent connections, kept so that the connections stay open.
  std::vector<PendingRequest> m_silenced;
  std::uint64_t m_last_silent_connection = 0;
  std::map<std::string, std::uint32_t> m_runs_by_id;
  std::optional<std::uint64_t> m_reported_load;
  TimePoint m_load_reported_at{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_EMULATED_REPLICA_H_
