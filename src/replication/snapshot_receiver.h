#ifndef CHICORYVALE_SRC_REPLICATION_SNAPSHOT_RECEIVER_H_
#define CHICORYVALE_SRC_REPLICATION_SNAPSHOT_RECEIVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "replication/log_types.h"
#include "replication/messages.h"

namespace chicoryvale {

/// Assembles the chunks of one snapshot. Not thread safe.
class SnapshotReceiver {
 public:
  /// Largest encoded snapshot.
  static constexpr std::uint64_t kMaxSnapshotBytes = std::uint64_t{1} << 30;

  /// Takes `chunk`, sent by `leader` in `term`. Returns the snapshot once it is
  /// whole. Chunks that do not continue what is there are ignored.
  std::optional<LogSnapshot> Take(NodeId leader, Term term,
                                  const SnapshotChunk& chunk);

  /// Offset of the chunk that is wanted next.
  [[nodiscard]] std::uint64_t NextOffset() const { return m_bytes.size(); }

 private:
  NodeId m_leader = 0;
  Term m_term = 0;
  LogIndex m_index = 0;
  std::string m_bytes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_SNAPSHOT_RECEIVER_H_
