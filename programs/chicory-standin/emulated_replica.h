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

/// What happened at an emulated replica.
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
/// the ways in which replicas fail. Not thread safe.
class EmulatedReplica {
 public:
  struct Options {
    Scheduler* scheduler = nullptr;
    std::shared_ptr<const Schema> schema;
    ServiceBehaviour behaviour;
    ShardId shard = 0;
    std::uint64_t seed = 0;
    /// Called when a request with the crash marker took a slot.
    std::function<void()> on_crash;
  };

  explicit EmulatedReplica(Options options);

  /// Serves one sub-request.
  void Handle(const HttpRequest& request, HttpResponder respond);

  /// Ends the requests in slots and queue without an answer, as a crash does.
  void DropWork();

  /// Never answers requests on connections up to the number `connection`.
  void SilenceConnections(std::uint64_t connection) {
    m_silent_up_to = connection;
  }

  /// Returns the behaviour, for changes at run time.
  ServiceBehaviour& Behaviour() { return m_options.behaviour; }
  [[nodiscard]] const Options& Settings() const { return m_options; }
  [[nodiscard]] const CounterSet<ReplicaCounter>& Counters() const {
    return m_counters;
  }

  /// Returns how often each caller's request id ran here; at most
  /// kMaxRequestIds are kept.
  [[nodiscard]] const std::map<std::string, std::uint32_t>& RunsById() const {
    return m_runs_by_id;
  }

  static constexpr std::size_t kMaxRequestIds = 100'000;

 private:
  struct Waiting {
    HttpRequest request;
    HttpResponder respond;
  };
  void Run(Waiting work);
  void Finish(std::uint64_t run);
  Duration DrawServiceTime();
  HttpResponse Answer(const HttpRequest& request);
  HttpResponse Refusal(int status);
  [[nodiscard]] bool Serves(const HttpRequest& request) const;
  void AddReport(HttpResponse* response);
  std::uint64_t ReportedLoad();

  Options m_options;
  std::mt19937_64 m_random;
  CounterSet<ReplicaCounter> m_counters;
  /// Requests in slots, by the number of their run.
  std::map<std::uint64_t, Waiting> m_running;
  std::deque<Waiting> m_queue;
  /// Requests on silent connections, kept so that they stay open.
  std::vector<Waiting> m_silenced;
  std::uint64_t m_silent_up_to = 0;
  std::map<std::string, std::uint32_t> m_runs_by_id;
  std::optional<std::uint64_t> m_told_load;
  TimePoint m_load_told_at{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_EMULATED_REPLICA_H_
