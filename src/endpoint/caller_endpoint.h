#ifndef CHICORYVALE_SRC_ENDPOINT_CALLER_ENDPOINT_H_
#define CHICORYVALE_SRC_ENDPOINT_CALLER_ENDPOINT_H_

#include <cstdint>
#include <memory>

#include "base/counters.h"
#include "config/cluster_config.h"
#include "endpoint/caller_request.h"
#include "endpoint/error_counters.h"
#include "ports/config_freshness.h"
#include "ports/http.h"
#include "ports/scheduler.h"
#include "query/query_runner.h"
#include "schema/schema.h"

namespace chicoryvale {

// Headers of the answers to callers.

/// Number of covered shards and of all shards that were asked, for example
/// "19/20".
inline constexpr char kHeaderCoverage[] = "X-Chicoryvale-Coverage";
/// Missing shards, each with the reason, for example "7:deadline". Lists at
/// most kMaxListedMissingShards shards.
inline constexpr char kHeaderMissingShards[] = "X-Chicoryvale-Missing";
/// Snapshot that the answer was made from: map epoch and index version, for
/// example "3.12".
inline constexpr char kHeaderSnapshot[] = "X-Chicoryvale-Snapshot";
/// Version of the configuration in force, followed by "; unconfirmed" if no
/// quorum has confirmed it.
inline constexpr char kHeaderConfigVersion[] = "X-Chicoryvale-Config";

/// Maximum number of shards that kHeaderMissingShards lists.
inline constexpr std::size_t kMaxListedMissingShards = 100;

/// Whether a control quorum confirmed the configuration in force.
enum class ConfigTrust : std::uint8_t { kConfirmed, kUnconfirmed };

/// Serves the RPCs that the schema in force defines for callers. Not thread
/// safe: used only on the event loop.
class CallerEndpoint {
 public:
  /// `runner` must outlive the endpoint.
  explicit CallerEndpoint(QueryRunner* runner) : m_runner(runner) {}

  /// Sets what tells whether the configuration is current. A request that the
  /// schema refuses then waits until that is confirmed, and is refused with
  /// kNoConfiguration if it cannot be. Without it, the schema in force decides.
  /// Both must outlive the endpoint.
  void SetFreshness(ConfigFreshness* freshness, const Scheduler* scheduler) {
    m_freshness = freshness;
    m_scheduler = scheduler;
  }

  /// Applies a configuration. Requests in flight keep the schema that they
  /// started with. If the schema cannot be parsed, returns the error and keeps
  /// the previous schema in force.
  Result<void> SetConfig(const ClusterConfig& config, ConfigTrust trust);

  /// Returns the schema in force, or nullptr. Valid until the next SetConfig.
  [[nodiscard]] const Schema* CurrentSchema() const { return m_schema.get(); }

  /// Refuses all further requests with kShuttingDown.
  void StopAccepting() { m_accepting = false; }

  /// Answers `request` through `respond`, once.
  void Handle(const HttpRequest& request, HttpResponder respond);

  /// Number of requests answered with an error, by error kind.
  [[nodiscard]] const CounterSet<ErrorKind>& Errors() const { return m_errors; }

  /// Number of requests received.
  [[nodiscard]] std::uint64_t RequestCount() const { return m_request_count; }
  /// Number of requests answered without an error.
  [[nodiscard]] std::uint64_t AnswerCount() const { return m_answer_count; }

 private:
  /// Answers `request` once it is known whether the schema that refuses it is
  /// current.
  void AwaitFreshness(const HttpRequest& request, HttpResponder respond);
  void OnFreshness(bool is_current, const HttpRequest& request,
                   TimePoint received_at, HttpResponder respond);
  void SendError(const Error& error, const HttpResponder& respond,
                 const std::vector<ShardCoverage>* coverage = nullptr);
  void RunQuery(const std::shared_ptr<const Schema>& schema,
                const CallerRequest& request, HttpResponder respond);
  HttpResponse MakeResponse(const Schema& schema, const MethodSchema& method,
                            BodyCodec codec, const QueryAnswer& answer) const;

  QueryRunner* m_runner;
  ConfigFreshness* m_freshness = nullptr;
  const Scheduler* m_scheduler = nullptr;
  std::shared_ptr<const Schema> m_schema;
  std::uint64_t m_schema_hash = 0;
  std::uint64_t m_config_version = 0;
  ConfigTrust m_trust = ConfigTrust::kUnconfirmed;
  bool m_accepting = true;
  CounterSet<ErrorKind> m_errors;
  std::uint64_t m_request_count = 0;
  std::uint64_t m_answer_count = 0;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_CALLER_ENDPOINT_H_
