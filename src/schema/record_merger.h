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

/// Merges sub-answers of one method by its record key: each record of the
/// answer appears once, in order of shard. Other fields merge as Protobuf's
/// MergeFrom does, in order of shard. Not thread safe.
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

/// Makes RecordMergers for one method. Not thread safe.
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
