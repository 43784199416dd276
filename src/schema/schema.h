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

/// What a service gives up first when time is short.
enum class Objective : std::uint8_t { kCoverage, kTailLatency };

/// How the sub-requests of a query are spread over the shards.
enum class Fanout : std::uint8_t { kAllShards, kOneShard };

/// A workspace that calls a service, with its weight among the others.
struct WorkspaceShare {
  std::string name;
  std::uint32_t share = 1;
};

/// One method of a service, as the schema file describes it.
struct MethodSchema {
  std::string name;
  bool idempotent = false;
  Duration default_deadline{};
  /// Least coverage worth an answer, in shards of 10,000.
  std::uint32_t min_coverage_per_10000 = 0;
  Fanout fanout = Fanout::kAllShards;
  const google::protobuf::Descriptor* input = nullptr;
  const google::protobuf::Descriptor* output = nullptr;
  /// Repeated field of `output` that holds the records; null: none.
  const google::protobuf::FieldDescriptor* records = nullptr;
  /// Field of the record that identifies it; null if `records` is.
  const google::protobuf::FieldDescriptor* record_key = nullptr;
  /// Field of `input` that selects the shard; set for kOneShard.
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

/// Returns the method called `name`, or nullptr.
const MethodSchema* FindMethod(const ServiceSchema& service,
                               std::string_view name);

/// A checked schema file: services, methods and the messages they exchange.
/// Immutable. Not thread safe: messages are made by one shared factory.
class Schema {
 public:
  /// Reads the text of a schema file. On a fault returns kInvalidChange with
  /// every fault in the message, each as "schema.proto:line:column: text".
  static Result<std::shared_ptr<const Schema>> Make(const std::string& text);

  ~Schema();
  Schema(const Schema&) = delete;
  Schema& operator=(const Schema&) = delete;

  [[nodiscard]] const std::vector<ServiceSchema>& Services() const {
    return m_services;
  }

  /// Returns the service with the full name `name`, or nullptr.
  [[nodiscard]] const ServiceSchema* FindService(std::string_view name) const;

  /// Returns an empty message of a type of this schema. The message must not
  /// outlive the schema.
  [[nodiscard]] std::unique_ptr<google::protobuf::Message> NewMessage(
      const google::protobuf::Descriptor* type) const;

 private:
  struct Pool;
  Schema();

  std::unique_ptr<Pool> m_pool;
  std::vector<ServiceSchema> m_services;
};

/// Returns why `next` cannot replace `current` while the services in
/// `services_in_use` have placements: one sentence for each reason, empty if
/// it can. Both schemas must outlive the call only.
std::vector<std::string> FindBreakingChanges(
    const Schema& current, const Schema& next,
    const std::vector<std::string>& services_in_use);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_SCHEMA_H_
