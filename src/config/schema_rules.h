#ifndef CHICORYVALE_SRC_CONFIG_SCHEMA_RULES_H_
#define CHICORYVALE_SRC_CONFIG_SCHEMA_RULES_H_

#include <cstddef>
#include <optional>
#include <string>

#include "config/cluster_config.h"

namespace chicoryvale {

/// Interface: checks changes against the schema. Every result must depend only
/// on the arguments, because each replica of the log calls it for itself and
/// all must get the same result. Thread safe if the implementation has no
/// state.
class SchemaRules {
 public:
  virtual ~SchemaRules() = default;

  /// Returns the reason why `schema_text` may not replace the schema of
  /// `current`, for example because it removes a service that has a placement,
  /// or nullopt if it may.
  [[nodiscard]] std::optional<std::string> CheckSchema(
      const ClusterConfig& current, const std::string& schema_text) const {
    return OnCheckSchema(current, schema_text);
  }

  /// Returns the reason why `service` may not be placed on `shard_count` shards
  /// under the schema of `current`, or nullopt if it may.
  [[nodiscard]] std::optional<std::string> CheckPlacement(
      const ClusterConfig& current, const std::string& service,
      std::size_t shard_count) const {
    return OnCheckPlacement(current, service, shard_count);
  }

 protected:
  [[nodiscard]] virtual std::optional<std::string> OnCheckSchema(
      const ClusterConfig& current, const std::string& schema_text) const = 0;
  [[nodiscard]] virtual std::optional<std::string> OnCheckPlacement(
      const ClusterConfig& current, const std::string& service,
      std::size_t shard_count) const = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_SCHEMA_RULES_H_
