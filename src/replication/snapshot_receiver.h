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
  /// Maximum size of an encoded snapshot.
  static constexpr std::uint64_t kMaxSnapshotBytes = std::uint64_t{1} << 30;

  /// Adds `chunk`, which `leader` sent in `term`. Returns the snapshot once it
  /// is complete and valid. Ignores a chunk that does not start at
  /// NextOffset() or that exceeds the stated size or kMaxSnapshotBytes. A chunk
  /// of another leader, term or snapshot first discards the chunks received so
  /// far.
  std::optional<LogSnapshot> AddChunk(NodeId leader, Term term,
                                      const SnapshotChunk& chunk);

  /// Offset of the next chunk that is needed.
  [[nodiscard]] std::uint64_t NextOffset() const {
    return m_received_bytes.size();
  }

 private:
  NodeId m_leader = 0;
  Term m_term = 0;
  LogIndex m_index = 0;
  std::string m_received_bytes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_SNAPSHOT_RECEIVER_H_
