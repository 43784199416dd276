#ifndef CHICORYVALE_SRC_QUERY_ANSWER_MERGER_H_
#define CHICORYVALE_SRC_QUERY_ANSWER_MERGER_H_

#include <memory>
#include <string>

#include "base/ids.h"
#include "chicoryvale/error.h"

namespace chicoryvale {

/// Merges the answers of the shards into the answer of one query. Not thread
/// safe.
class AnswerMerger {
 public:
  virtual ~AnswerMerger() = default;

  /// Adds the answer of `shard`. Precondition: no answer of `shard` was added
  /// since the last reset. An error leaves the merger unchanged.
  Result<void> Add(ShardId shard, const std::string& body) {
    return OnAdd(shard, body);
  }

  /// Returns the merged answer. Called once, after the last Add.
  std::string Finish() { return OnFinish(); }

  /// Discards all answers that were added.
  void Reset() { OnReset(); }

 protected:
  virtual Result<void> OnAdd(ShardId shard, const std::string& body) = 0;
  virtual std::string OnFinish() = 0;
  virtual void OnReset() = 0;
};

/// Makes the mergers for the queries of one method. Not thread safe.
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
