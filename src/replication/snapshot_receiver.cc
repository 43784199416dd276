#include "replication/snapshot_receiver.h"

#include <utility>

#include "base/codec.h"

namespace chicoryvale {

std::optional<LogSnapshot> SnapshotReceiver::Take(NodeId leader, Term term,
                                                  const SnapshotChunk& chunk) {
  const bool continues =
      leader == m_leader && term == m_term && chunk.index == m_index;
  if (!continues) {
    m_leader = leader;
    m_term = term;
    m_index = chunk.index;
    m_bytes.clear();
  }
  const std::uint64_t end = chunk.offset + chunk.data.size();
  const bool fits = chunk.offset == m_bytes.size() &&
                    end <= chunk.total_bytes &&
                    chunk.total_bytes <= kMaxSnapshotBytes;
  if (!fits) return std::nullopt;
  m_bytes += chunk.data;
  if (end < chunk.total_bytes) return std::nullopt;
  const std::string bytes = std::exchange(m_bytes, {});
  m_leader = 0;
  LogSnapshot snapshot;
  const bool whole = Decode(bytes, &snapshot) && snapshot.index == chunk.index;
  if (!whole) return std::nullopt;
  return snapshot;
}

}  // namespace chicoryvale
