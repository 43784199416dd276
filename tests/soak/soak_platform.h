#ifndef CHICORYVALE_TESTS_SOAK_SOAK_PLATFORM_H_
#define CHICORYVALE_TESTS_SOAK_SOAK_PLATFORM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "adapters/beast_http_server.h"
#include "adapters/fd_poller.h"
#include "adapters/glib_scheduler.h"
#include "soak/loopback_proxy.h"

namespace chicoryvale {

/// Stand-in of the users' platform on loopback: replicas of scattered shards
/// and of one service whose requests may run once, each behind a proxy, and the
/// list of them. It knows what ran. Not thread safe.
class SoakPlatform {
 public:
  static constexpr int kShards = 6;
  static constexpr std::size_t kTopRecords = 4;
  /// The service whose requests may run once.
  static constexpr char kOnceService[] = "once";

  SoakPlatform(FdPoller* poller, GlibScheduler* scheduler, std::uint64_t seed);

  [[nodiscard]] Address ListAddress() const { return m_list->LocalAddress(); }
  [[nodiscard]] std::size_t CountProxies() const { return m_replicas.size(); }
  LoopbackProxy& Proxy(std::size_t index) { return *m_replicas[index].proxy; }

  /// Replicas refuse this share of requests, saying that they have not run.
  void SetRefusedShare(double share) { m_refused_share = share; }

  /// Returns how often the request `id` ran at `service`.
  [[nodiscard]] int Runs(const std::string& service,
                         const std::string& id) const;
  [[nodiscard]] bool RanAnywhere(const std::string& id) const;

  /// Returns the configuration `version`, whose routes are /all/, /once/ and
  /// /v<version>/.
  [[nodiscard]] static std::string ConfigText(std::uint64_t version);

  static std::string ShardName(int shard) {
    return "shard" + std::to_string(shard);
  }

  /// Returns the records that each replica of `service` has for `id`.
  static std::vector<std::string> Records(const std::string& service,
                                          const std::string& id);

  /// Returns the signature of an answer.
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
  };

  void AddReplica(const std::string& service, int number);
  void Serve(std::size_t index, const HttpRequest& request,
             const HttpResponder& respond);
  [[nodiscard]] std::string ListText() const;
  std::unique_ptr<BeastHttpServer> MakeServer();

  FdPoller* m_poller;
  GlibScheduler* m_scheduler;
  std::mt19937_64 m_random;
  std::vector<Replica> m_replicas;
  std::unique_ptr<BeastHttpServer> m_list;
  double m_refused_share = 0;
  /// Runs by service and request id.
  std::map<std::string, std::map<std::string, int>> m_runs;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_SOAK_SOAK_PLATFORM_H_
