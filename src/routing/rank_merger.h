#ifndef CHICORYVALE_SRC_ROUTING_RANK_MERGER_H_
#define CHICORYVALE_SRC_ROUTING_RANK_MERGER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryvale {

/// Merges the answers of several shards by keeping the greatest records. Each
/// record has kRecordBytes bytes, and records compare byte by byte; equal
/// records are all kept. Not thread safe.
class RankMerger {
 public:
  static constexpr std::size_t kRecordBytes = 16;

  explicit RankMerger(std::uint32_t rank_limit) : m_rank_limit(rank_limit) {}

  /// Adds `records`, which may be in any order. A remainder shorter than a
  /// record is ignored.
  void Add(std::string_view records);

  /// Returns the greatest records, at most the limit, in descending order, and
  /// clears the merger.
  [[nodiscard]] std::string ExtractMerged();

 private:
  void Truncate();

  std::uint32_t m_rank_limit;
  std::vector<std::string> m_records;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RANK_MERGER_H_
