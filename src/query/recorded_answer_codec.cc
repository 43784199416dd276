#include "query/recorded_answer_codec.h"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

#include "base/codec.h"

namespace chicoryvale {
namespace {

struct RecordedShard {
  ShardId shard = 0;
  std::uint8_t state = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(shard, state);
  }
};

struct RecordedAnswer {
  std::string body;
  std::uint64_t map_epoch = 0;
  std::uint64_t index_version = 0;
  std::vector<RecordedShard> coverage;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(body, map_epoch, index_version, coverage);
  }
};

}  // namespace

std::string EncodeRecordedAnswer(const QueryAnswer& answer) {
  assert(answer.body.has_value());
  RecordedAnswer recorded;
  recorded.body = *answer.body;
  recorded.map_epoch = answer.snapshot.map_epoch;
  recorded.index_version = answer.snapshot.index_version;
  std::ranges::transform(answer.coverage, std::back_inserter(recorded.coverage),
                         [](const ShardCoverage& shard) {
                           return RecordedShard{
                               shard.shard,
                               static_cast<std::uint8_t>(shard.state)};
                         });
  return Encode(recorded);
}

std::optional<QueryAnswer> DecodeRecordedAnswer(std::string_view bytes) {
  RecordedAnswer recorded;
  if (!Decode(bytes, &recorded)) return std::nullopt;
  const bool has_valid_states =
      std::ranges::all_of(recorded.coverage, [](const RecordedShard& shard) {
        return shard.state < kShardStateNames.size();
      });
  if (!has_valid_states) return std::nullopt;
  QueryAnswer answer;
  answer.body = std::move(recorded.body);
  answer.snapshot = {recorded.map_epoch, recorded.index_version};
  answer.ran = Ran::kYes;
  std::ranges::transform(
      recorded.coverage, std::back_inserter(answer.coverage),
      [](const RecordedShard& shard) {
        return ShardCoverage{shard.shard, static_cast<ShardState>(shard.state)};
      });
  return answer;
}

}  // namespace chicoryvale
