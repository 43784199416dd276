#ifndef CHICORYVALE_SRC_SCHEMA_SCHEMA_CHANGE_RULES_H_
#define CHICORYVALE_SRC_SCHEMA_SCHEMA_CHANGE_RULES_H_

#include <cstddef>
#include <optional>
#include <string>

#include "config/schema_rules.h"

namespace chicoryvale {

/// Checks configuration changes against the schemas by parsing their text.
/// Stateless. Thread safe.
class SchemaChangeRules : public SchemaRules {
 protected:
  [[nodiscard]] std::optional<std::string> OnCheckSchema(
      const ClusterConfig& current,
      const std::string& schema_text) const override;
  [[nodiscard]] std::optional<std::string> OnCheckPlacement(
      const ClusterConfig& current, const std::string& service,
      std::size_t shard_count) const override;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_SCHEMA_CHANGE_RULES_H_
