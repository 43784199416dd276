#ifndef CHICORYVALE_SRC_SCHEMA_FIELD_TEXT_H_
#define CHICORYVALE_SRC_SCHEMA_FIELD_TEXT_H_

#include <string>

namespace google::protobuf {
class FieldDescriptor;
class Message;
}  // namespace google::protobuf

namespace chicoryvale {

/// Returns the value of a singular string or integer field of `message` as
/// text, the default value if it is not set. Thread safe.
std::string FieldText(const google::protobuf::Message& message,
                      const google::protobuf::FieldDescriptor& field);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_FIELD_TEXT_H_
