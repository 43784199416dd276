#ifndef CHICORYVALE_SRC_QUERY_ANSWER_MERGER_H_
#define CHICORYVALE_SRC_QUERY_ANSWER_MERGER_H_

#include <memory>
#include <string>

#include "base/ids.h"
#include "chicoryvale/error.h"

namespace chicoryvale {

/// Combines the sub-answers of one query into its answer. Not thread safe.
class AnswerMerger {
 public:
  virtual ~AnswerMerger() = default;

  /// Adds the answer of `shard`, at most once for each shard between resets.
  /// After an error the merger is as if the call had not been made.
  Result<void> Add(ShardId shard, const std::string& body) {
    return OnAdd(shard, body);
  }

  /// Returns the combined answer. Called once, after the last Add.
  std::string Finish() { return OnFinish(); }

  /// Forgets every answer added.
  void Reset() { OnReset(); }

 protected:
  virtual Result<void> OnAdd(ShardId shard, const std::string& body) = 0;
  virtual std::string OnFinish() = 0;
  virtual void OnReset() = 0;
};

/// Makes the mergers of one method's queries. Not thread safe.
class AnswerMergerFactory {
 public:
  virtual ~AnswerMergerFactory() = default;

  /// Returns a new merger, never null.
  std::unique_ptr<AnswerMerger> Make() { return OnMake(); }

 protected:
  virtual std::unique_ptr<AnswerMerger> OnMake() = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_ANSWER_MERGER_H_
