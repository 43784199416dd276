#ifndef CHICORYVALE_SRC_SCHEMA_FIELD_TEXT_H_
#define CHICORYVALE_SRC_SCHEMA_FIELD_TEXT_H_

#include <string>

namespace google::protobuf {
class FieldDescriptor;
class Message;
}  // namespace google::protobuf

namespace chicoryvale {

/// Returns the value of `field` of `message` as text, or the default value of
/// the field if it is not set. Precondition: `field` is a singular string or
/// integer field. Thread safe.
std::string FieldText(const google::protobuf::Message& message,
                      const google::protobuf::FieldDescriptor& field);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_FIELD_TEXT_H_
