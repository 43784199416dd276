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

/// Builds the services of a parsed schema file and checks their options. Not
/// thread safe.
class SchemaBuilder {
 public:
  /// `file` must outlive the builder and the services that it returns.
  explicit SchemaBuilder(const google::protobuf::FileDescriptor& file)
      : m_file(file) {}

  /// Returns the services, or kInvalidChange with all errors in the message.
  Result<std::vector<ServiceSchema>> Build();

 private:
  ServiceSchema BuildService(
      const google::protobuf::ServiceDescriptor& descriptor);
  MethodSchema BuildMethod(
      const google::protobuf::MethodDescriptor& descriptor);
  void SetRecords(const google::protobuf::MethodDescriptor& descriptor,
                  const v1::MethodOptions& options, MethodSchema* method);
  void SetRouting(const google::protobuf::MethodDescriptor& descriptor,
                  const v1::MethodOptions& options, MethodSchema* method);
  void AddError(const std::string& element, const std::string& text);

  const google::protobuf::FileDescriptor& m_file;
  std::string m_errors;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_SCHEMA_BUILDER_H_
