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

/// Overhead of an entry in memory beside its data.
constexpr std::size_t kEntryBytes = sizeof(LogEntry);

std::size_t BytesOf(const LogEntry& entry) {
  return kEntryBytes + entry.data.size();
}

}  // namespace

Result<LogStorage::Opened> LogStorage::Open(Storage* storage, NodeId fresh_id) {
  assert(storage != nullptr && fresh_id != 0);
  Opened opened;
  opened.log = std::unique_ptr<LogStorage>(new LogStorage(storage));
  const Result<LogRecovery> recovery = Recover(opened.log.get(), fresh_id);
  if (!recovery) return tl::unexpected<Error>(recovery.error());
  opened.recovery = *recovery;
  return opened;
}

Result<LogRecovery> LogStorage::Recover(LogStorage* log, NodeId fresh_id) {
  Storage& storage = *log->m_storage;
  const auto names = storage.List();
  if (!names) return tl::unexpected<Error>(names.error());
  const bool exists = std::ranges::find(*names, kStateFile) != names->end();
  if (!exists) {
    // A folder with a damaged state and no other was left in the middle of
    // setting it aside.
    const bool damaged = std::ranges::any_of(*names, [](const auto& name) {
      return name.starts_with(kDamagedPrefix);
    });
    log->m_identity = {fresh_id, 0, damaged};
    const auto written = log->Rewrite();
    if (!written) return tl::unexpected<Error>(written.error());
    return damaged ? LogRecovery::kDamaged : LogRecovery::kFresh;
  }
  const auto content = storage.Read(kStateFile);
  if (!content) return tl::unexpected<Error>(content.error());
  const ParsedFrames parsed = ParseFrames(*content);
  const bool usable = parsed.tail != LogTail::kDamaged &&
                      !parsed.payloads.empty() && log->Replay(parsed.payloads);
  if (!usable) return log->SetAside(fresh_id);
  if (parsed.tail == LogTail::kTorn) {
    const auto cut = storage.Truncate(kStateFile, parsed.valid_bytes);
    if (!cut) return tl::unexpected<Error>(cut.error());
  }
  auto file = storage.Open(kStateFile);
  if (!file) return tl::unexpected<Error>(file.error());
  log->m_file = std::move(*file);
  return parsed.tail == LogTail::kTorn ? LogRecovery::kTornTailCut
                                       : LogRecovery::kClean;
}

Result<LogRecovery> LogStorage::SetAside(NodeId fresh_id) {
  const std::string aside = kDamagedPrefix + std::to_string(fresh_id);
  auto done = m_storage->Rename(kStateFile, aside);
  if (done) done = m_storage->SyncFolder();
  if (!done) return tl::unexpected<Error>(done.error());
  *this = LogStorage(m_storage);
  m_identity = {fresh_id, 0, true};
  done = Rewrite();
  if (!done) return tl::unexpected<Error>(done.error());
  return LogRecovery::kDamaged;
}

bool LogStorage::Replay(const std::vector<std::string_view>& payloads) {
  bool first = true;
  for (const std::string_view payload : payloads) {
    Records records;
    if (!Decode(payload, &records) || records.empty()) return false;
    const bool begins = std::holds_alternative<Checkpoint>(records.front());
    if (first && !begins) return false;
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
    TakeCheckpoint(std::move(*checkpoint));
    return true;
  }
  if (const auto* state = std::get_if<HardState>(&record)) {
    m_hard_state = *state;
    return true;
  }
  return Insert(std::move(std::get<LogEntry>(record)));
}

void LogStorage::TakeCheckpoint(Checkpoint checkpoint) {
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
                                              &MembershipPoint::index);
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
  const bool valid = Insert(std::move(entry));
  assert(valid);
  static_cast<void>(valid);
}

bool LogStorage::Insert(LogEntry entry) {
  if (entry.index < FirstIndex() || entry.index > LastIndex() + 1) return false;
  DropFrom(entry.index);
  if (entry.kind == EntryKind::kMembership) {
    MembershipPoint point{entry.index, {}};
    if (!Decode(entry.data, &point.membership)) return false;
    // Entries kept from before the snapshot do not overrule it.
    if (entry.index > m_snapshot.index) {
      m_memberships.push_back(std::move(point));
    }
  }
  m_log_bytes += BytesOf(entry);
  m_entries.push_back(std::move(entry));
  return true;
}

void LogStorage::DropFrom(LogIndex index) {
  while (LastIndex() >= index) {
    m_log_bytes -= BytesOf(m_entries.back());
    m_entries.pop_back();
  }
  while (m_memberships.size() > 1 && m_memberships.back().index >= index) {
    m_memberships.pop_back();
  }
}

void LogStorage::DropThrough(LogIndex index) {
  while (!m_entries.empty() && m_base_index < index) {
    m_base_index = m_entries.front().index;
    m_base_term = m_entries.front().term;
    m_log_bytes -= BytesOf(m_entries.front());
    m_entries.pop_front();
  }
}

Result<void> LogStorage::Sync() {
  if (m_failed) return MakeError(ErrorKind::kStorageFailed, "log has failed");
  if (m_unsynced.empty()) return {};
  const std::string frame = EncodeFrame(Encode(m_unsynced));
  auto done = Check(m_file->Append(frame));
  if (done) done = Check(m_file->Sync());
  if (done) m_unsynced.clear();
  return done;
}

Result<void> LogStorage::AdoptGroup(GroupId group_id) {
  assert(IsEmpty() && group_id != 0);
  m_identity.group_id = group_id;
  return Rewrite();
}

Result<void> LogStorage::FormGroup(GroupId group_id, LogSnapshot first) {
  assert(IsEmpty() && group_id != 0);
  m_identity.group_id = group_id;
  m_hard_state.term = std::max(m_hard_state.term, first.term);
  return InstallSnapshot(std::move(first));
}

Result<void> LogStorage::Compact(LogSnapshot snapshot, std::size_t trailing) {
  assert(snapshot.index > m_snapshot.index && snapshot.index <= LastIndex());
  while (m_memberships.size() > 1 && m_memberships[1].index <= snapshot.index) {
    m_memberships.pop_front();
  }
  m_snapshot = std::move(snapshot);
  DropThrough(m_snapshot.index -
              std::min<LogIndex>(trailing, m_snapshot.index));
  return Rewrite();
}

Result<void> LogStorage::InstallSnapshot(LogSnapshot snapshot) {
  assert(snapshot.index > m_snapshot.index);
  const bool agrees = TermAt(snapshot.index) == snapshot.term;
  if (agrees) return Compact(std::move(snapshot), 0);
  Checkpoint checkpoint{m_identity, std::move(snapshot), 0, 0};
  checkpoint.base_index = checkpoint.snapshot.index;
  checkpoint.base_term = checkpoint.snapshot.term;
  TakeCheckpoint(std::move(checkpoint));
  return Rewrite();
}

Result<void> LogStorage::Rewrite() {
  if (m_failed) return MakeError(ErrorKind::kStorageFailed, "log has failed");
  Records records;
  records.emplace_back(
      Checkpoint{m_identity, m_snapshot, m_base_index, m_base_term});
  records.emplace_back(m_hard_state);
  records.insert(records.end(), m_entries.begin(), m_entries.end());
  auto done = Check(WriteNewFile(EncodeFrame(Encode(records))));
  if (done) m_unsynced.clear();
  return done;
}

Result<void> LogStorage::WriteNewFile(const std::string& frames) {
  const auto names = m_storage->List();
  if (!names) return tl::unexpected<Error>(names.error());
  if (std::ranges::find(*names, kNewStateFile) != names->end()) {
    // Left by a crash.
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

Result<void> LogStorage::Check(Result<void> result) {
  if (!result) m_failed = true;
  return result;
}

}  // namespace chicoryvale
