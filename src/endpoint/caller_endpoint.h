#ifndef CHICORYVALE_SRC_ENDPOINT_CALLER_ENDPOINT_H_
#define CHICORYVALE_SRC_ENDPOINT_CALLER_ENDPOINT_H_

#include <cstdint>
#include <memory>

#include "base/counters.h"
#include "config/cluster_config.h"
#include "endpoint/caller_request.h"
#include "endpoint/error_counters.h"
#include "ports/http.h"
#include "query/query_runner.h"
#include "schema/schema.h"

namespace chicoryvale {

/// Answer headers of callers' requests.
/// Shards covered and asked, for example "19/20".
inline constexpr char kHeaderCoverage[] = "X-Chicoryvale-Coverage";
/// Shards that are missing, each with its reason, for example "7:deadline";
/// at most kMaxListedMissingShards of them.
inline constexpr char kHeaderMissingShards[] = "X-Chicoryvale-Missing";
/// Snapshot of the answer: map epoch and index version, for example "3.12".
inline constexpr char kHeaderSnapshot[] = "X-Chicoryvale-Snapshot";
/// Configuration version, with "unconfirmed" if no quorum confirmed it.
inline constexpr char kHeaderConfigVersion[] = "X-Chicoryvale-Config";

inline constexpr std::size_t kMaxListedMissingShards = 100;

/// Whether a control quorum confirmed the configuration in force.
enum class ConfigTrust : std::uint8_t { kConfirmed, kUnconfirmed };

/// Serves the callers' RPCs of the schema in force. Not thread safe: used only
/// on the event loop.
class CallerEndpoint {
 public:
  /// `runner` must outlive the endpoint.
  explicit CallerEndpoint(QueryRunner* runner) : m_runner(runner) {}

  /// Takes a configuration into force. Requests under way keep the schema
  /// that they started with. A schema that does not parse leaves the former
  /// one in force, and returns the error.
  Result<void> SetConfig(const ClusterConfig& config, ConfigTrust trust);

  /// Returns the schema in force, or nullptr. Valid until the next SetConfig.
  [[nodiscard]] const Schema* CurrentSchema() const { return m_schema.get(); }

  /// Refuses further requests with kShuttingDown.
  void StopAccepting() { m_accepting = false; }

  /// Answers `request` through `respond`, once.
  void Handle(const HttpRequest& request, HttpResponder respond);

  /// Answers by error kind.
  [[nodiscard]] const CounterSet<ErrorKind>& Errors() const { return m_errors; }

  [[nodiscard]] std::uint64_t RequestCount() const { return m_request_count; }
  [[nodiscard]] std::uint64_t AnswerCount() const { return m_answer_count; }

 private:
  void Fail(const Error& error, const HttpResponder& respond,
            const std::vector<ShardCoverage>* coverage = nullptr);
  void Run(const std::shared_ptr<const Schema>& schema,
           const CallerRequest& request, HttpResponder respond);
  HttpResponse Answer(const Schema& schema, const MethodSchema& method,
                      BodyCodec codec, const QueryAnswer& answer) const;

  QueryRunner* m_runner;
  std::shared_ptr<const Schema> m_schema;
  std::uint64_t m_schema_hash = 0;
  std::uint64_t m_config_version = 0;
  ConfigTrust m_trust = ConfigTrust::kUnconfirmed;
  bool m_accepting = true;
  CounterSet<ErrorKind> m_errors;
  std::uint64_t m_request_count = 0;
  std::uint64_t m_answer_count = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_CALLER_ENDPOINT_H_
