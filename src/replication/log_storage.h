#ifndef CHICORYVALE_SRC_REPLICATION_LOG_STORAGE_H_
#define CHICORYVALE_SRC_REPLICATION_LOG_STORAGE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ports/storage.h"
#include "replication/log_types.h"

namespace chicoryvale {

/// What opening the log found.
enum class LogRecovery : std::uint8_t {
  /// No state: a new identity was made.
  kFresh,
  kClean,
  /// An unfinished write at the end was cut off.
  kTornTailCut,
  /// Synced bytes had changed. The state was set aside under another name, and
  /// a new identity was made.
  kDamaged,
};

/// The durable state of one replica: identity, term and vote, one snapshot and
/// the log after it. All of it stands in one file, to which changes are
/// appended; compaction writes a new file and renames it over the old one.
///
/// Changes are visible in memory at once and durable after Sync. After a
/// failed call the object refuses everything: what the disk holds is unknown
/// until the file is opened again. Not thread safe.
class LogStorage {
 public:
  struct Opened {
    std::unique_ptr<LogStorage> log;
    LogRecovery recovery = LogRecovery::kFresh;
  };

  /// Opens the state in `storage`, which must outlive the log. A replica
  /// without usable state gets the identity `fresh_id`, which must be random
  /// and not 0.
  static Result<Opened> Open(Storage* storage, NodeId fresh_id);

  [[nodiscard]] const ReplicaIdentity& Identity() const { return m_identity; }
  [[nodiscard]] const HardState& State() const { return m_hard_state; }
  [[nodiscard]] const LogSnapshot& Snapshot() const { return m_snapshot; }

  /// Index of the first entry that is kept; LastIndex() + 1 if there is none.
  [[nodiscard]] LogIndex FirstIndex() const { return m_base_index + 1; }
  [[nodiscard]] LogIndex LastIndex() const {
    return m_base_index + m_entries.size();
  }
  [[nodiscard]] Term LastTerm() const;
  /// Bytes of the kept entries.
  [[nodiscard]] std::size_t LogBytes() const { return m_log_bytes; }

  /// Returns the term of the entry at `index`, or nothing if it is neither kept
  /// nor the one before the first kept entry.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex index) const;

  /// Returns the entry at `index`, which must be kept.
  [[nodiscard]] const LogEntry& EntryAt(LogIndex index) const;

  /// The newest membership in the log, committed or not, and its index.
  [[nodiscard]] const GroupMembership& Membership() const {
    return m_memberships.back().membership;
  }
  [[nodiscard]] LogIndex MembershipIndex() const {
    return m_memberships.back().index;
  }
  /// Returns the newest membership at or below `index`.
  [[nodiscard]] const GroupMembership& MembershipAt(LogIndex index) const;

  /// Sets term and vote.
  void SetHardState(const HardState& state);

  /// Appends `entry`, at most at LastIndex() + 1 and after the snapshot; drops
  /// the entries from its index on first.
  void Append(LogEntry entry);

  /// Makes all changes durable. Does nothing if there are none.
  Result<void> Sync();

  /// Whether there is a snapshot or an entry.
  [[nodiscard]] bool IsEmpty() const { return LastIndex() == 0; }

  /// Joins `group_id`, durably. Precondition: the log is empty.
  Result<void> AdoptGroup(GroupId group_id);

  /// Forms a group with the first snapshot, durably. Precondition: the log is
  /// empty.
  Result<void> FormGroup(GroupId group_id, LogSnapshot first);

  /// Replaces the entries up to `snapshot`, but keeps `trailing` of them for
  /// replicas that lag. Durable.
  Result<void> Compact(LogSnapshot snapshot, std::size_t trailing);

  /// Takes over the snapshot of a leader, durably. Entries after it are kept
  /// only if the log agrees with it.
  Result<void> InstallSnapshot(LogSnapshot snapshot);

 private:
  /// Begins a file and each part of it that replaces what stood before.
  struct Checkpoint {
    ReplicaIdentity identity;
    LogSnapshot snapshot;
    LogIndex base_index = 0;
    Term base_term = 0;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(identity, snapshot, base_index, base_term);
    }
  };
  using Record = std::variant<Checkpoint, HardState, LogEntry>;
  using Records = std::vector<Record>;

  struct MembershipPoint {
    LogIndex index = 0;
    GroupMembership membership;
  };

  explicit LogStorage(Storage* storage) : m_storage(storage) {}

  static Result<LogRecovery> Recover(LogStorage* log, NodeId fresh_id);
  Result<LogRecovery> SetAside(NodeId fresh_id);
  bool Replay(const std::vector<std::string_view>& payloads);
  bool ReplayRecord(Record record);
  void TakeCheckpoint(Checkpoint checkpoint);
  bool Insert(LogEntry entry);
  void DropFrom(LogIndex index);
  void DropThrough(LogIndex index);
  Result<void> Rewrite();
  Result<void> WriteNewFile(const std::string& frames);
  Result<void> Check(Result<void> result);

  Storage* m_storage;
  std::unique_ptr<AppendFile> m_file;
  bool m_failed = false;
  ReplicaIdentity m_identity;
  HardState m_hard_state;
  LogSnapshot m_snapshot;
  LogIndex m_base_index = 0;
  Term m_base_term = 0;
  std::deque<LogEntry> m_entries;
  std::size_t m_log_bytes = 0;
  /// Oldest first; the front is the snapshot's.
  std::deque<MembershipPoint> m_memberships = {{}};
  /// Changes since the last sync.
  Records m_unsynced;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_LOG_STORAGE_H_
