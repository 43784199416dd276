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

/// State that LogStorage::Open found in the data folder.
enum class LogRecovery : std::uint8_t {
  /// The folder held no state; a new identity was created.
  kNoState,
  /// The state was complete.
  kClean,
  /// An unfinished write at the end of the file was truncated.
  kTornTailTruncated,
  /// Synced bytes had changed. The state file was set aside under another name,
  /// and a new identity was created.
  kDamaged,
};

/// The durable state of one replica: identity, term and vote, one snapshot and
/// the log entries after it. One file holds all of it. Changes are appended to
/// the file; compaction writes a new file and renames it over the old one.
///
/// Changes are visible in memory at once and durable after Sync. After a call
/// has failed, all further syncs and rewrites fail, because the content of the
/// disk is unknown until the file is opened again. Not thread safe.
class LogStorage {
 public:
  struct OpenResult {
    std::unique_ptr<LogStorage> log;
    LogRecovery recovery = LogRecovery::kNoState;
  };

  /// Opens the state in `storage`, which must outlive the log. A replica
  /// without usable state gets the identity `new_node_id`, which must be random
  /// and not 0. kStorageFailed if the storage fails.
  static Result<OpenResult> Open(Storage* storage, NodeId new_node_id);

  [[nodiscard]] const ReplicaIdentity& Identity() const { return m_identity; }
  [[nodiscard]] const HardState& CurrentHardState() const {
    return m_hard_state;
  }
  [[nodiscard]] const LogSnapshot& Snapshot() const { return m_snapshot; }

  /// Index of the first entry in the log; LastIndex() + 1 if there is none.
  [[nodiscard]] LogIndex FirstIndex() const { return m_base_index + 1; }
  [[nodiscard]] LogIndex LastIndex() const {
    return m_base_index + m_entries.size();
  }
  [[nodiscard]] Term LastTerm() const;
  /// Memory size of the entries in the log.
  [[nodiscard]] std::size_t LogBytes() const { return m_log_bytes; }

  /// Returns the term of the entry at `index`, or nothing if the entry is
  /// neither in the log nor the one before the first entry in the log.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex index) const;

  /// Returns the entry at `index`, which must be in the log.
  [[nodiscard]] const LogEntry& EntryAt(LogIndex index) const;

  /// Newest membership in the log, committed or not, and its index.
  [[nodiscard]] const GroupMembership& Membership() const {
    return m_memberships.back().membership;
  }
  [[nodiscard]] LogIndex MembershipIndex() const {
    return m_memberships.back().index;
  }
  /// Returns the newest membership at or below `index`.
  [[nodiscard]] const GroupMembership& MembershipAt(LogIndex index) const;

  /// Sets the term and the vote.
  void SetHardState(const HardState& state);

  /// Removes all entries from the index of `entry` on and appends `entry`.
  /// Precondition: its index is after the snapshot, and at most
  /// LastIndex() + 1.
  void Append(LogEntry entry);

  /// Makes all changes durable. Does nothing if there are none.
  Result<void> Sync();

  /// Whether there is a snapshot or an entry.
  [[nodiscard]] bool IsEmpty() const { return LastIndex() == 0; }

  /// Durably records that the replica joined `group_id`. Precondition: the log
  /// is empty.
  Result<void> JoinGroup(GroupId group_id);

  /// Durably forms a group that starts from `initial_snapshot`. Precondition:
  /// the log is empty.
  Result<void> FormGroup(GroupId group_id, LogSnapshot initial_snapshot);

  /// Durably replaces the entries up to `snapshot`, but keeps the last
  /// `trailing_entries` of them for followers that lag behind, or fewer so that
  /// they are not larger than the snapshot.
  Result<void> Compact(LogSnapshot snapshot, std::size_t trailing_entries);

  /// Durably installs a snapshot that a leader sent. Entries after it are kept
  /// only if the log contains the snapshot's last entry with the same term.
  Result<void> InstallSnapshot(LogSnapshot snapshot);

 private:
  /// First record of a file. It replaces all records before it.
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

  struct IndexedMembership {
    LogIndex index = 0;
    GroupMembership membership;
  };

  explicit LogStorage(Storage* storage) : m_storage(storage) {}

  static Result<LogRecovery> Recover(LogStorage* log, NodeId new_node_id);
  Result<LogRecovery> SetAsideDamagedState(NodeId new_node_id);
  bool ReplayFrames(const std::vector<std::string_view>& payloads);
  bool ReplayRecord(Record record);
  void ApplyCheckpoint(Checkpoint checkpoint);
  bool InsertEntry(LogEntry entry);
  void DropEntriesFrom(LogIndex index);
  void DropEntriesThrough(LogIndex index);
  [[nodiscard]] LogIndex CountTrailing(std::size_t max_entries) const;
  Result<void> RewriteFile();
  Result<void> WriteNewFile(const std::string& frames);
  Result<void> TrackFailure(Result<void> result);

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
  /// Memberships in the order of the log; the first is that of the snapshot.
  std::deque<IndexedMembership> m_memberships = {{}};
  /// Records of the changes since the last sync.
  Records m_unsynced;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_LOG_STORAGE_H_
