#ifndef CHICORYVALE_SRC_SCHEMA_SCHEMA_BUILDER_H_
#define CHICORYVALE_SRC_SCHEMA_SCHEMA_BUILDER_H_

#include <google/protobuf/descriptor.h>

#include <string>
#include <vector>

#include "schema/schema.h"

namespace chicoryvale {

namespace v1 {
class MethodOptions;
}  // namespace v1

/// Builds the services of a parsed schema file and checks their options.
/// Not thread safe.
class SchemaBuilder {
 public:
  /// `file` must outlive the builder and what it builds.
  explicit SchemaBuilder(const google::protobuf::FileDescriptor& file)
      : m_file(file) {}

  /// Returns the services, or kInvalidChange with every fault found.
  Result<std::vector<ServiceSchema>> Build();

 private:
  ServiceSchema BuildService(const google::protobuf::ServiceDescriptor& from);
  MethodSchema BuildMethod(const google::protobuf::MethodDescriptor& from);
  void SetRecords(const google::protobuf::MethodDescriptor& from,
                  const v1::MethodOptions& options, MethodSchema* method);
  void SetRouting(const google::protobuf::MethodDescriptor& from,
                  const v1::MethodOptions& options, MethodSchema* method);
  void AddFault(const std::string& element, const std::string& text);

  const google::protobuf::FileDescriptor& m_file;
  std::string m_faults;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_SCHEMA_BUILDER_H_
