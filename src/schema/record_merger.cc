#include "schema/record_merger.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include "schema/field_text.h"

namespace chicoryvale {
namespace {

namespace pb = google::protobuf;

// Removes all records but the first one of each key. The order is kept.
void RemoveDuplicateRecords(const MethodSchema& method, pb::Message* answer) {
  const pb::Reflection& reflection = *answer->GetReflection();
  const int size = reflection.FieldSize(*answer, method.records);
  std::unordered_set<std::string> keys;
  int kept = 0;
  for (int i = 0; i < size; ++i) {
    const pb::Message& record =
        reflection.GetRepeatedMessage(*answer, method.records, i);
    if (!keys.insert(FieldText(record, *method.record_key)).second) continue;
    if (kept != i) reflection.SwapElements(answer, method.records, kept, i);
    ++kept;
  }
  for (int i = kept; i < size; ++i) {
    reflection.RemoveLast(answer, method.records);
  }
}

}  // namespace

RecordMerger::RecordMerger(std::shared_ptr<const Schema> schema,
                           const MethodSchema* method)
    : m_schema(std::move(schema)), m_method(method) {}

RecordMerger::~RecordMerger() = default;

Result<void> RecordMerger::OnAdd(ShardId shard, const std::string& body) {
  auto answer = m_schema->NewMessage(m_method->output);
  if (!answer->ParseFromString(body)) {
    return MakeError(ErrorKind::kUpstreamUnavailable,
                     "the answer of shard " + std::to_string(shard) +
                         " contains no valid " + m_method->output->full_name());
  }
  m_answers.insert_or_assign(shard, std::move(answer));
  return {};
}

std::string RecordMerger::OnFinish() {
  auto merged = m_schema->NewMessage(m_method->output);
  for (const auto& [shard, answer] : m_answers) merged->MergeFrom(*answer);
  if (m_method->records != nullptr) {
    RemoveDuplicateRecords(*m_method, merged.get());
  }
  return merged->SerializeAsString();
}

void RecordMerger::OnReset() { m_answers.clear(); }

RecordMergerFactory::RecordMergerFactory(std::shared_ptr<const Schema> schema,
                                         const MethodSchema* method)
    : m_schema(std::move(schema)), m_method(method) {}

std::unique_ptr<AnswerMerger> RecordMergerFactory::OnMake() {
  return std::make_unique<RecordMerger>(m_schema, m_method);
}

}  // namespace chicoryvale
