#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <set>

#include "schema/schema.h"

namespace chicoryvale {
namespace {

namespace pb = google::protobuf;

// Compares the message types of two versions of a method, including the types
// of their fields, and adds a reason for each incompatible difference.
class MessageComparer {
 public:
  explicit MessageComparer(std::vector<std::string>* reasons)
      : m_reasons(reasons) {}

  void Compare(const pb::Descriptor& current, const pb::Descriptor& next) {
    if (!m_compared_types.insert(current.full_name()).second) return;
    for (int i = 0; i < current.field_count(); ++i) {
      CompareField(*current.field(i), next);
    }
  }

 private:
  void CompareField(const pb::FieldDescriptor& current,
                    const pb::Descriptor& next_message) {
    const pb::FieldDescriptor* next =
        next_message.FindFieldByNumber(current.number());
    if (next == nullptr) {
      m_reasons->push_back("field " + current.full_name() + " is removed");
      return;
    }
    if (next->type() != current.type() || next->label() != current.label()) {
      m_reasons->push_back("field " + current.full_name() +
                           " changes its type");
      return;
    }
    if (current.message_type() != nullptr) {
      Compare(*current.message_type(), *next->message_type());
    }
  }

  std::vector<std::string>* m_reasons;
  std::set<std::string> m_compared_types;
};

void CompareMethods(const ServiceSchema& current, const ServiceSchema& next,
                    std::vector<std::string>* reasons) {
  MessageComparer comparer(reasons);
  for (const MethodSchema& method : current.methods) {
    const std::string name = current.name + "/" + method.name;
    const MethodSchema* replacement = FindMethod(next, method.name);
    if (replacement == nullptr) {
      reasons->push_back("method " + name + " is removed");
      continue;
    }
    if (replacement->idempotent && !method.idempotent) {
      reasons->push_back(
          "method " + name +
          " becomes idempotent, so that a request under way could run twice");
    }
    comparer.Compare(*method.input, *replacement->input);
    comparer.Compare(*method.output, *replacement->output);
  }
}

}  // namespace

std::vector<std::string> FindBreakingChanges(
    const Schema& current, const Schema& next,
    const std::vector<std::string>& services_in_use) {
  std::vector<std::string> reasons;
  for (const std::string& name : services_in_use) {
    const ServiceSchema* before = current.FindService(name);
    const ServiceSchema* after = next.FindService(name);
    if (before == nullptr) continue;
    if (after == nullptr) {
      reasons.push_back("service " + name + " is in use and is removed");
      continue;
    }
    CompareMethods(*before, *after, &reasons);
  }
  return reasons;
}

}  // namespace chicoryvale
