#ifndef CHICORYVALE_SRC_CONFIG_SCHEMA_RULES_H_
#define CHICORYVALE_SRC_CONFIG_SCHEMA_RULES_H_

#include <cstddef>
#include <optional>
#include <string>

#include "config/cluster_config.h"

namespace chicoryvale {

/// Port: judges changes against the schema. Every answer must depend on the
/// arguments alone, since each replica of the log asks for itself. Thread safe
/// if the implementation has no state.
class SchemaRules {
 public:
  virtual ~SchemaRules() = default;

  /// Returns why `schema_text` may not replace the schema of `current`, for
  /// example because it drops a service that has a placement, or nothing.
  [[nodiscard]] std::optional<std::string> CheckSchema(
      const ClusterConfig& current, const std::string& schema_text) const {
    return OnCheckSchema(current, schema_text);
  }

  /// Returns why `service` may not be placed on `shards` shards under the
  /// schema of `current`, or nothing.
  [[nodiscard]] std::optional<std::string> CheckPlacement(
      const ClusterConfig& current, const std::string& service,
      std::size_t shards) const {
    return OnCheckPlacement(current, service, shards);
  }

 protected:
  [[nodiscard]] virtual std::optional<std::string> OnCheckSchema(
      const ClusterConfig& current, const std::string& schema_text) const = 0;
  [[nodiscard]] virtual std::optional<std::string> OnCheckPlacement(
      const ClusterConfig& current, const std::string& service,
      std::size_t shards) const = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_SCHEMA_RULES_H_
