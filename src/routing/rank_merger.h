#ifndef CHICORYVALE_SRC_ROUTING_RANK_MERGER_H_
#define CHICORYVALE_SRC_ROUTING_RANK_MERGER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryvale {

/// Keeps the greatest records of many parts. Records have kRecordBytes bytes
/// and compare byte by byte; equal ones all count. Not thread safe.
class RankMerger {
 public:
  static constexpr std::size_t kRecordBytes = 16;

  explicit RankMerger(std::uint32_t rank_limit) : m_rank_limit(rank_limit) {}

  /// Adds the records of `part`, in any order. A remainder shorter than a
  /// record is none.
  void Add(std::string_view part);

  /// Returns the greatest records, at most the limit, greatest first.
  [[nodiscard]] std::string Take();

 private:
  void Cut();

  std::uint32_t m_rank_limit;
  std::vector<std::string> m_records;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RANK_MERGER_H_
