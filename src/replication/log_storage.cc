#include "replication/log_storage.h"

#include <algorithm>
#include <cassert>
#include <cereal/types/variant.hpp>
#include <string_view>
#include <utility>

#include "base/codec.h"
#include "replication/log_frame.h"

namespace chicoryvale {
namespace {

const char kStateFile[] = "state";
const char kNewStateFile[] = "state.new";
const char kDamagedPrefix[] = "state.damaged-";

/// Memory overhead of an entry in addition to its data.
constexpr std::size_t kEntryOverheadBytes = sizeof(LogEntry);

std::size_t EntryMemoryBytes(const LogEntry& entry) {
  return kEntryOverheadBytes + entry.data.size();
}

}  // namespace

Result<LogStorage::OpenResult> LogStorage::Open(Storage* storage,
                                                NodeId new_node_id) {
  assert(storage != nullptr && new_node_id != 0);
  OpenResult opened;
  opened.log = std::unique_ptr<LogStorage>(new LogStorage(storage));
  const Result<LogRecovery> recovery = Recover(opened.log.get(), new_node_id);
  if (!recovery) return tl::unexpected<Error>(recovery.error());
  opened.recovery = *recovery;
  return opened;
}

Result<LogRecovery> LogStorage::Recover(LogStorage* log, NodeId new_node_id) {
  Storage& storage = *log->m_storage;
  const auto names = storage.List();
  if (!names) return tl::unexpected<Error>(names.error());
  const bool exists = std::ranges::find(*names, kStateFile) != names->end();
  if (!exists) {
    // A folder with a damaged state file but no current one: the process ended
    // while it set the damaged state aside.
    const bool damaged = std::ranges::any_of(*names, [](const auto& name) {
      return name.starts_with(kDamagedPrefix);
    });
    log->m_identity = {new_node_id, 0, damaged};
    const auto written = log->RewriteFile();
    if (!written) return tl::unexpected<Error>(written.error());
    return damaged ? LogRecovery::kDamaged : LogRecovery::kNoState;
  }
  const auto content = storage.Read(kStateFile);
  if (!content) return tl::unexpected<Error>(content.error());
  const ParsedFrames parsed = ParseFrames(*content);
  const bool usable = parsed.tail != LogTail::kDamaged &&
                      !parsed.payloads.empty() &&
                      log->ReplayFrames(parsed.payloads);
  if (!usable) return log->SetAsideDamagedState(new_node_id);
  if (parsed.tail == LogTail::kTorn) {
    const auto cut = storage.Truncate(kStateFile, parsed.valid_bytes);
    if (!cut) return tl::unexpected<Error>(cut.error());
  }
  auto file = storage.Open(kStateFile);
  if (!file) return tl::unexpected<Error>(file.error());
  log->m_file = std::move(*file);
  return parsed.tail == LogTail::kTorn ? LogRecovery::kTornTailTruncated
                                       : LogRecovery::kClean;
}

Result<LogRecovery> LogStorage::SetAsideDamagedState(NodeId new_node_id) {
  const std::string damaged_name = kDamagedPrefix + std::to_string(new_node_id);
  auto done = m_storage->Rename(kStateFile, damaged_name);
  if (done) done = m_storage->SyncFolder();
  if (!done) return tl::unexpected<Error>(done.error());
  *this = LogStorage(m_storage);
  m_identity = {new_node_id, 0, true};
  done = RewriteFile();
  if (!done) return tl::unexpected<Error>(done.error());
  return LogRecovery::kDamaged;
}

bool LogStorage::ReplayFrames(const std::vector<std::string_view>& payloads) {
  bool first = true;
  for (const std::string_view payload : payloads) {
    Records records;
    if (!Decode(payload, &records) || records.empty()) return false;
    const bool starts_with_checkpoint =
        std::holds_alternative<Checkpoint>(records.front());
    if (first && !starts_with_checkpoint) return false;
    first = false;
    const bool valid = std::ranges::all_of(records, [this](Record& record) {
      return ReplayRecord(std::move(record));
    });
    if (!valid) return false;
  }
  return true;
}

bool LogStorage::ReplayRecord(Record record) {
  if (auto* checkpoint = std::get_if<Checkpoint>(&record)) {
    ApplyCheckpoint(std::move(*checkpoint));
    return true;
  }
  if (const auto* state = std::get_if<HardState>(&record)) {
    m_hard_state = *state;
    return true;
  }
  return InsertEntry(std::move(std::get<LogEntry>(record)));
}

void LogStorage::ApplyCheckpoint(Checkpoint checkpoint) {
  m_identity = checkpoint.identity;
  m_snapshot = std::move(checkpoint.snapshot);
  m_base_index = checkpoint.base_index;
  m_base_term = checkpoint.base_term;
  m_entries.clear();
  m_log_bytes = 0;
  m_memberships = {{m_snapshot.index, m_snapshot.membership}};
}

Term LogStorage::LastTerm() const {
  return m_entries.empty() ? m_base_term : m_entries.back().term;
}

std::optional<Term> LogStorage::TermAt(LogIndex index) const {
  if (index == m_base_index) return m_base_term;
  if (index < m_base_index || index > LastIndex()) return std::nullopt;
  return EntryAt(index).term;
}

const LogEntry& LogStorage::EntryAt(LogIndex index) const {
  assert(index >= FirstIndex() && index <= LastIndex());
  return m_entries[index - FirstIndex()];
}

const GroupMembership& LogStorage::MembershipAt(LogIndex index) const {
  const auto after = std::ranges::upper_bound(m_memberships, index, {},
                                              &IndexedMembership::index);
  return after == m_memberships.begin() ? after->membership
                                        : std::prev(after)->membership;
}

void LogStorage::SetHardState(const HardState& state) {
  if (state == m_hard_state) return;
  m_hard_state = state;
  m_unsynced.emplace_back(state);
}

void LogStorage::Append(LogEntry entry) {
  assert(entry.index > m_snapshot.index);
  m_unsynced.emplace_back(entry);
  const bool valid = InsertEntry(std::move(entry));
  assert(valid);
  static_cast<void>(valid);
}

bool LogStorage::InsertEntry(LogEntry entry) {
  if (entry.index < FirstIndex() || entry.index > LastIndex() + 1) return false;
  DropEntriesFrom(entry.index);
  if (entry.kind == EntryKind::kMembership) {
    IndexedMembership indexed{entry.index, {}};
    if (!Decode(entry.data, &indexed.membership)) return false;
    // Entries that are kept from before the snapshot do not override the
    // membership of the snapshot.
    if (entry.index > m_snapshot.index) {
      m_memberships.push_back(std::move(indexed));
    }
  }
  m_log_bytes += EntryMemoryBytes(entry);
  m_entries.push_back(std::move(entry));
  return true;
}

void LogStorage::DropEntriesFrom(LogIndex index) {
  while (LastIndex() >= index) {
    m_log_bytes -= EntryMemoryBytes(m_entries.back());
    m_entries.pop_back();
  }
  while (m_memberships.size() > 1 && m_memberships.back().index >= index) {
    m_memberships.pop_back();
  }
}

void LogStorage::DropEntriesThrough(LogIndex index) {
  while (!m_entries.empty() && m_base_index < index) {
    m_base_index = m_entries.front().index;
    m_base_term = m_entries.front().term;
    m_log_bytes -= EntryMemoryBytes(m_entries.front());
    m_entries.pop_front();
  }
}

Result<void> LogStorage::Sync() {
  if (m_failed) return MakeError(ErrorKind::kStorageFailed, "log has failed");
  if (m_unsynced.empty()) return {};
  const std::string frame = EncodeFrame(Encode(m_unsynced));
  auto done = TrackFailure(m_file->Append(frame));
  if (done) done = TrackFailure(m_file->Sync());
  if (done) m_unsynced.clear();
  return done;
}

Result<void> LogStorage::JoinGroup(GroupId group_id) {
  assert(IsEmpty() && group_id != 0);
  m_identity.group_id = group_id;
  return RewriteFile();
}

Result<void> LogStorage::FormGroup(GroupId group_id,
                                   LogSnapshot initial_snapshot) {
  assert(IsEmpty() && group_id != 0);
  m_identity.group_id = group_id;
  m_hard_state.term = std::max(m_hard_state.term, initial_snapshot.term);
  return InstallSnapshot(std::move(initial_snapshot));
}

Result<void> LogStorage::Compact(LogSnapshot snapshot,
                                 std::size_t trailing_entries) {
  assert(snapshot.index > m_snapshot.index && snapshot.index <= LastIndex());
  while (m_memberships.size() > 1 && m_memberships[1].index <= snapshot.index) {
    m_memberships.pop_front();
  }
  m_snapshot = std::move(snapshot);
  DropEntriesThrough(m_snapshot.index - CountTrailing(trailing_entries));
  return RewriteFile();
}

// Returns how many of the entries up to the snapshot are kept, at most
// `max_entries`.
LogIndex LogStorage::CountTrailing(std::size_t max_entries) const {
  const std::size_t max_bytes = m_snapshot.data.size();
  LogIndex count = 0;
  std::size_t bytes = 0;
  while (count < max_entries && m_snapshot.index - count > m_base_index) {
    bytes += EntryAt(m_snapshot.index - count).data.size();
    if (bytes > max_bytes) break;
    ++count;
  }
  return count;
}

Result<void> LogStorage::InstallSnapshot(LogSnapshot snapshot) {
  assert(snapshot.index > m_snapshot.index);
  const bool log_contains_snapshot = TermAt(snapshot.index) == snapshot.term;
  if (log_contains_snapshot) return Compact(std::move(snapshot), 0);
  Checkpoint checkpoint{m_identity, std::move(snapshot), 0, 0};
  checkpoint.base_index = checkpoint.snapshot.index;
  checkpoint.base_term = checkpoint.snapshot.term;
  ApplyCheckpoint(std::move(checkpoint));
  return RewriteFile();
}

Result<void> LogStorage::RewriteFile() {
  if (m_failed) return MakeError(ErrorKind::kStorageFailed, "log has failed");
  Records records;
  records.emplace_back(
      Checkpoint{m_identity, m_snapshot, m_base_index, m_base_term});
  records.emplace_back(m_hard_state);
  records.insert(records.end(), m_entries.begin(), m_entries.end());
  auto done = TrackFailure(WriteNewFile(EncodeFrame(Encode(records))));
  if (done) m_unsynced.clear();
  return done;
}

Result<void> LogStorage::WriteNewFile(const std::string& frames) {
  const auto names = m_storage->List();
  if (!names) return tl::unexpected<Error>(names.error());
  if (std::ranges::find(*names, kNewStateFile) != names->end()) {
    // A crash left an unfinished file.
    auto removed = m_storage->Remove(kNewStateFile);
    if (!removed) return removed;
  }
  auto file = m_storage->Open(kNewStateFile);
  if (!file) return tl::unexpected<Error>(file.error());
  auto done = (*file)->Append(frames);
  if (done) done = (*file)->Sync();
  if (done) done = m_storage->Rename(kNewStateFile, kStateFile);
  if (done) done = m_storage->SyncFolder();
  if (done) m_file = std::move(*file);
  return done;
}

Result<void> LogStorage::TrackFailure(Result<void> result) {
  if (!result) m_failed = true;
  return result;
}

}  // namespace chicoryvale
