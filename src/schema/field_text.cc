#include "schema/field_text.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <cassert>

namespace chicoryvale {

std::string FieldText(const google::protobuf::Message& message,
                      const google::protobuf::FieldDescriptor& field) {
  using google::protobuf::FieldDescriptor;
  const auto& reflection = *message.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      return reflection.GetString(message, &field);
    case FieldDescriptor::CPPTYPE_INT32:
      return std::to_string(reflection.GetInt32(message, &field));
    case FieldDescriptor::CPPTYPE_INT64:
      return std::to_string(reflection.GetInt64(message, &field));
    case FieldDescriptor::CPPTYPE_UINT32:
      return std::to_string(reflection.GetUInt32(message, &field));
    case FieldDescriptor::CPPTYPE_UINT64:
      return std::to_string(reflection.GetUInt64(message, &field));
    default:
      assert(false && "the schema allows only strings and integers as keys");
      return {};
  }
}

}  // namespace chicoryvale
