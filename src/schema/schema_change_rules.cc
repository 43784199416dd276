#include "schema/schema_change_rules.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "schema/schema.h"

namespace chicoryvale {
namespace {

std::vector<std::string> PlacedServices(const ClusterConfig& config) {
  std::vector<std::string> names;
  std::ranges::transform(config.services, std::back_inserter(names),
                         &ServiceConfig::name);
  return names;
}

std::string JoinReasons(const std::vector<std::string>& reasons) {
  std::string text;
  for (const std::string& reason : reasons) {
    if (!text.empty()) text += "; ";
    text += reason;
  }
  return text;
}

}  // namespace

std::optional<std::string> SchemaChangeRules::OnCheckSchema(
    const ClusterConfig& current, const std::string& schema_text) const {
  const auto next = Schema::Make(schema_text);
  if (!next) return next.error().message;
  if (current.schema_text.empty()) return std::nullopt;
  const auto before = Schema::Make(current.schema_text);
  // The current schema was valid when it was accepted. A later version of the
  // program may be stricter, and must still let operators replace that schema.
  if (!before) return std::nullopt;
  const std::vector<std::string> reasons =
      FindBreakingChanges(**before, **next, PlacedServices(current));
  if (reasons.empty()) return std::nullopt;
  return JoinReasons(reasons);
}

std::optional<std::string> SchemaChangeRules::OnCheckPlacement(
    const ClusterConfig& current, const std::string& service,
    std::size_t shard_count) const {
  const auto schema = Schema::Make(current.schema_text);
  if (!schema) return "no schema is applied";
  const ServiceSchema* found = (*schema)->FindService(service);
  if (found == nullptr) return "the schema has no service " + service;
  if (shard_count == found->shards) return std::nullopt;
  return "the schema gives " + service + " " + std::to_string(found->shards) +
         " shards, the placement has " + std::to_string(shard_count);
}

}  // namespace chicoryvale
