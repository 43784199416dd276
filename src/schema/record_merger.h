#ifndef CHICORYVALE_SRC_SCHEMA_RECORD_MERGER_H_
#define CHICORYVALE_SRC_SCHEMA_RECORD_MERGER_H_

#include <map>
#include <memory>
#include <string>

#include "base/ids.h"
#include "query/answer_merger.h"
#include "schema/schema.h"

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace chicoryvale {

/// Merges the answers of the shards to one method call. Each record, identified
/// by its record key, appears once, in the order of the shards. Other fields
/// are merged by Protobuf's MergeFrom, in the order of the shards. Not thread
/// safe.
class RecordMerger : public AnswerMerger {
 public:
  /// `method` must belong to `schema`.
  RecordMerger(std::shared_ptr<const Schema> schema,
               const MethodSchema* method);
  ~RecordMerger() override;

 protected:
  Result<void> OnAdd(ShardId shard, const std::string& body) override;
  std::string OnFinish() override;
  void OnReset() override;

 private:
  std::shared_ptr<const Schema> m_schema;
  const MethodSchema* m_method;
  std::map<ShardId, std::unique_ptr<google::protobuf::Message>> m_answers;
};

/// Makes the RecordMergers of one method. Not thread safe.
class RecordMergerFactory : public AnswerMergerFactory {
 public:
  /// `method` must belong to `schema`.
  RecordMergerFactory(std::shared_ptr<const Schema> schema,
                      const MethodSchema* method);

 protected:
  std::unique_ptr<AnswerMerger> OnMake() override;

 private:
  std::shared_ptr<const Schema> m_schema;
  const MethodSchema* m_method;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_SCHEMA_RECORD_MERGER_H_
