#ifndef CHICORYVALE_SRC_SCHEMA_SCHEMA_H_
#define CHICORYVALE_SRC_SCHEMA_SCHEMA_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "chicoryvale/error.h"

namespace google::protobuf {
class Descriptor;
class FieldDescriptor;
class Message;
}  // namespace google::protobuf

namespace chicoryvale {

/// What a service prefers when time is short. kCoverage waits for slow shards
/// up to the deadline; kTailLatency answers early with the coverage reached, if
/// it is at least the minimum of the method and at least 9,000 per 10,000
/// shards.
enum class Objective : std::uint8_t { kCoverage, kTailLatency };

/// To which shards the sub-requests of a query are sent.
enum class Fanout : std::uint8_t { kAllShards, kOneShard };

/// A workspace that calls a service. `share` is its weight relative to the
/// other workspaces.
struct WorkspaceShare {
  std::string name;
  std::uint32_t share = 1;
};

/// One method of a service, as the schema file describes it.
struct MethodSchema {
  std::string name;
  bool idempotent = false;
  Duration default_deadline{};
  /// Minimum coverage of an answer, in shards per 10,000.
  std::uint32_t min_coverage_per_10000 = 0;
  Fanout fanout = Fanout::kAllShards;
  const google::protobuf::Descriptor* input = nullptr;
  const google::protobuf::Descriptor* output = nullptr;
  /// Repeated field of `output` that contains the records; null if there is
  /// none.
  const google::protobuf::FieldDescriptor* records = nullptr;
  /// Field that identifies a record; null if `records` is null.
  const google::protobuf::FieldDescriptor* record_key = nullptr;
  /// Field of `input` that selects the shard; null unless `fanout` is
  /// kOneShard.
  const google::protobuf::FieldDescriptor* routing_key = nullptr;
};

/// One service of the schema file.
struct ServiceSchema {
  /// Full name, for example "macchie.EyepieceDesk".
  std::string name;
  std::uint32_t shards = 1;
  Objective objective = Objective::kCoverage;
  std::vector<WorkspaceShare> workspaces;
  std::vector<MethodSchema> methods;
};

/// Returns the method with the name `name`, or nullptr if there is none.
const MethodSchema* FindMethod(const ServiceSchema& service,
                               std::string_view name);

/// A validated schema file: services, methods and the messages that they
/// exchange. Immutable. Not thread safe, because all messages are made by one
/// shared factory.
class Schema {
 public:
  /// Parses and validates the text of a schema file. On failure, returns
  /// kInvalidChange with one line for each error in the message: a parse error
  /// as "schema.proto:line:column: text", an error of a service, method or
  /// option as "schema.proto: name text".
  static Result<std::shared_ptr<const Schema>> Make(const std::string& text);

  ~Schema();
  Schema(const Schema&) = delete;
  Schema& operator=(const Schema&) = delete;

  [[nodiscard]] const std::vector<ServiceSchema>& Services() const {
    return m_services;
  }

  /// Returns the service with the full name `name`, or nullptr if there is
  /// none.
  [[nodiscard]] const ServiceSchema* FindService(std::string_view name) const;

  /// Returns an empty message of `type`, which must belong to this schema. The
  /// message must not outlive the schema.
  [[nodiscard]] std::unique_ptr<google::protobuf::Message> NewMessage(
      const google::protobuf::Descriptor* type) const;

 private:
  struct Pool;
  Schema();

  std::unique_ptr<Pool> m_pool;
  std::vector<ServiceSchema> m_services;
};

/// Returns the reasons why `next` cannot replace `current` while the services
/// in `services_in_use` have placements, or an empty vector if it can. The
/// result does not refer to the schemas.
std::vector<std::string> FindBreakingChanges(
    const Schema& current, const Schema& next,
    const std::vector<std::string>& services_in_use);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_SCHEMA_H_
