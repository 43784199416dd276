#include "replication/snapshot_receiver.h"

#include <utility>

#include "base/codec.h"

namespace chicoryvale {

std::optional<LogSnapshot> SnapshotReceiver::AddChunk(
    NodeId leader, Term term, const SnapshotChunk& chunk) {
  const bool is_same_transfer =
      leader == m_leader && term == m_term && chunk.index == m_index;
  if (!is_same_transfer) {
    m_leader = leader;
    m_term = term;
    m_index = chunk.index;
    m_received_bytes.clear();
  }
  const std::uint64_t end = chunk.offset + chunk.data.size();
  const bool is_next_chunk = chunk.offset == m_received_bytes.size() &&
                             end <= chunk.total_bytes &&
                             chunk.total_bytes <= kMaxSnapshotBytes;
  if (!is_next_chunk) return std::nullopt;
  m_received_bytes += chunk.data;
  if (end < chunk.total_bytes) return std::nullopt;
  const std::string bytes = std::exchange(m_received_bytes, {});
  m_leader = 0;
  LogSnapshot snapshot;
  const bool is_valid =
      Decode(bytes, &snapshot) && snapshot.index == chunk.index;
  if (!is_valid) return std::nullopt;
  return snapshot;
}

}  // namespace chicoryvale
