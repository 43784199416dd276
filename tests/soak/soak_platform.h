#ifndef CHICORYVALE_TESTS_SOAK_SOAK_PLATFORM_H_
#define CHICORYVALE_TESTS_SOAK_SOAK_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "adapters/beast_http_server.h"
#include "adapters/fd_poller.h"
#include "adapters/glib_scheduler.h"
#include "soak/loopback_proxy.h"
#include "soak/retry_check.h"

namespace chicoryvale {

/// Emulates the users' platform on loopback: replicas of the shards of a gather
/// route and of one service whose requests may run at most once, each behind a
/// proxy, and the server of the replica list. Counts the runs of each request.
/// Not thread safe.
class SoakPlatform {
 public:
  static constexpr int kShardCount = 6;
  static constexpr std::size_t kTopRecordCount = 4;
  /// Name of the service whose requests may run at most once.
  static constexpr char kAtMostOnceService[] = "once";

  SoakPlatform(FdPoller* poller, GlibScheduler* scheduler, std::uint64_t seed);

  [[nodiscard]] Address ReplicaListAddress() const {
    return m_replica_list_server->LocalAddress();
  }
  [[nodiscard]] std::size_t ProxyCount() const { return m_replicas.size(); }
  LoopbackProxy& Proxy(std::size_t index) { return *m_replicas[index].proxy; }

  /// Sets the ratio of requests, from 0 to 1, that replicas refuse with the
  /// statement that they have not run.
  void SetRefusalRatio(double ratio) { m_refusal_ratio = ratio; }

  /// What a replica said of itself in its answer to a request.
  struct SaidNotice {
    std::string replica_id;
    bool leaving = false;
    /// Zero if it did not ask for a pause.
    Duration back_off{};
  };
  /// Called for each request that arrives at a replica.
  using ArrivalHandler =
      std::function<void(const RetryCheck::Arrival& arrival)>;

  void SetArrivalHandler(ArrivalHandler handler) {
    m_on_arrival = std::move(handler);
  }

  /// Makes a random replica say that it leaves, until it is replaced by another
  /// one at the same address after `replaced_after`. The list of replicas shows
  /// nothing of it before.
  void StartLeaving(Duration replaced_after);

  /// Makes a random replica refuse all requests for `time`, and say so.
  void StartBackOff(Duration time);

  /// Returns what replicas said in their answers to the request `id`.
  [[nodiscard]] const std::vector<SaidNotice>& NoticesTo(
      const std::string& id) const;

  /// Returns how many times the request `id` ran at `service`.
  [[nodiscard]] int RunCount(const std::string& service,
                             const std::string& id) const;
  /// Whether the request `id` ran at any service.
  [[nodiscard]] bool HasRunAnywhere(const std::string& id) const;

  /// Returns the configuration `version`. Its routes are /all/, which gathers
  /// from all shards, /once/, and /v<version>/, which only this version has.
  [[nodiscard]] static std::string ConfigJson(std::uint64_t version);

  static std::string ShardName(int shard) {
    return "shard" + std::to_string(shard);
  }
  static std::vector<std::string> ShardNames();

  /// Returns the records with which each replica of `service` answers the
  /// request `id`.
  static std::vector<std::string> Records(const std::string& service,
                                          const std::string& id);

  /// Returns the signature of the answer of `service` to the request `id`.
  static std::string Signature(const std::string& service,
                               const std::string& id) {
    return service + ":" + id;
  }

 private:
  struct Replica {
    std::string id;
    std::string service;
    std::unique_ptr<BeastHttpServer> server;
    std::unique_ptr<LoopbackProxy> proxy;
    bool leaving = false;
    TimePoint back_off_end{};
    /// Number of replicas that this address had before.
    int generation = 0;
  };

  std::size_t PickReplica();
  void AddNotice(const Replica& replica, const std::string& request_id,
                 HttpResponse* response);

  void AddReplica(const std::string& service, int index_in_service);
  void HandleRequest(std::size_t index, const HttpRequest& request,
                     const HttpResponder& respond);
  [[nodiscard]] std::string ReplicaListJson() const;
  std::unique_ptr<BeastHttpServer> MakeServer();

  FdPoller* m_poller;
  GlibScheduler* m_scheduler;
  std::mt19937_64 m_random;
  std::vector<Replica> m_replicas;
  std::unique_ptr<BeastHttpServer> m_replica_list_server;
  double m_refusal_ratio = 0;
  ArrivalHandler m_on_arrival;
  std::map<std::string, std::vector<SaidNotice>> m_notices;
  /// Number of runs by service and request id.
  std::map<std::string, std::map<std::string, int>> m_run_counts;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_SOAK_SOAK_PLATFORM_H_
