#ifndef CHICORYVALE_TESTS_FAKES_FAKE_STORAGE_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_STORAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "ports/storage.h"

namespace chicoryvale {

/// Storage in memory that can lose unsynced data at a restart. A crash, a
/// failed sync or a full disk can be injected at a chosen operation. After a
/// crash every operation fails until Restart is called.
class FakeStorage : public Storage {
 public:
  /// Injected error.
  enum class Fault { kNone, kCrash, kFailedSync, kFullDisk };

  /// Injects `fault` after `operations` further operations that change the disk
  /// have succeeded.
  void FailAfter(std::uint64_t operations, Fault fault) {
    m_fault = fault;
    m_ops_until_fault = operations;
  }

  /// Makes each operation that changes the disk fail, also after a restart,
  /// until it is called with false.
  void SetFull(bool full) { m_full = full; }

  [[nodiscard]] bool Crashed() const { return m_crashed; }
  /// Number of attempted operations that change the disk, excluding those after
  /// a crash.
  [[nodiscard]] std::uint64_t Operations() const { return m_operations; }
  /// Number of syncs of files and of the folder, including failed ones.
  [[nodiscard]] std::uint64_t Syncs() const { return m_syncs; }

  /// Simulates a power loss and a restart. `random` determines how many
  /// unsynced bytes of each file and how many unsynced folder operations
  /// survive. Clears the injected fault.
  void Restart(std::mt19937_64* random) {
    const std::size_t survivors = (*random)() % (m_folder_log.size() + 1);
    for (std::size_t i = 0; i < survivors; ++i) m_durable = m_folder_log[i];
    m_folder_log.clear();
    m_names = m_durable;
    for (auto& [name, file] : m_names) {
      const std::size_t unsynced = file->content.size() - file->synced;
      file->content.resize(file->synced + (*random)() % (unsynced + 1));
      file->synced = file->content.size();
    }
    m_crashed = false;
    m_fault = Fault::kNone;
  }

  /// Replaces the disk by an empty one and resets all counters and faults.
  void Wipe() { *this = FakeStorage(); }

  /// Flips one bit of the byte at `offset` in the file `name`.
  void FlipBit(const std::string& name, std::size_t offset) {
    m_names.at(name)->content.at(offset) ^= 0x10;
  }

  /// Returns the size of the file `name` in bytes, or 0 if it does not exist.
  [[nodiscard]] std::size_t SizeOf(const std::string& name) const {
    const auto found = m_names.find(name);
    return found == m_names.end() ? 0 : found->second->content.size();
  }

  /// Appends `bytes` to the file `name` as if synced. Simulates the bytes that
  /// a torn write leaves behind.
  void AppendRaw(const std::string& name, const std::string& bytes) {
    File& file = *m_names.at(name);
    file.content += bytes;
    file.synced = file.content.size();
  }

  /// Truncates the file `name` to `size` bytes, all synced.
  void TruncateRaw(const std::string& name, std::size_t size) {
    File& file = *m_names.at(name);
    file.content.resize(size);
    file.synced = size;
  }

 protected:
  Result<std::vector<std::string>> OnList() override {
    if (m_crashed) return StorageError("crashed");
    std::vector<std::string> names;
    for (const auto& [name, file] : m_names) names.push_back(name);  // NOLINT
    return names;
  }

  Result<std::string> OnRead(const std::string& name) override {
    if (m_crashed) return StorageError("crashed");
    const auto found = m_names.find(name);
    if (found == m_names.end()) return StorageError("no file " + name);
    return found->second->content;
  }

  Result<std::unique_ptr<AppendFile>> OnOpen(const std::string& name) override {
    if (CountOperation() != Fault::kNone) return StorageError("open");
    auto& file = m_names[name];
    if (!file) {
      file = std::make_shared<File>();
      m_folder_log.push_back(m_names);
    }
    return std::make_unique<OpenFile>(this, file);
  }

  Result<void> OnTruncate(const std::string& name,
                          std::uint64_t size) override {
    if (CountOperation() != Fault::kNone) return StorageError("truncate");
    TruncateRaw(name, size);
    return {};
  }

  Result<void> OnRename(const std::string& from,
                        const std::string& to) override {
    const Fault fault = CountOperation();
    if (fault == Fault::kFullDisk) return StorageError("rename");
    if (!m_names.contains(from)) return StorageError("no file " + from);
    m_names[to] = m_names[from];
    m_names.erase(from);
    m_folder_log.push_back(m_names);
    if (fault != Fault::kNone) return StorageError("rename");
    return {};
  }

  Result<void> OnRemove(const std::string& name) override {
    if (CountOperation() != Fault::kNone) return StorageError("remove");
    m_names.erase(name);
    m_folder_log.push_back(m_names);
    return {};
  }

  Result<void> OnSyncFolder() override {
    ++m_syncs;
    if (CountOperation() != Fault::kNone) return StorageError("sync folder");
    m_durable = m_names;
    m_folder_log.clear();
    return {};
  }

 private:
  struct File {
    std::string content;
    std::size_t synced = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  class OpenFile : public AppendFile {
   public:
    OpenFile(FakeStorage* storage, std::shared_ptr<File> file)
        : m_storage(storage), m_file(std::move(file)) {}

   protected:
    Result<void> OnAppend(std::string_view bytes) override {
      const Fault fault = m_storage->CountOperation();
      // A failed write appends only the first half of its bytes.
      if (fault != Fault::kNone) bytes = bytes.substr(0, bytes.size() / 2);
      if (!m_storage->m_crashed || fault != Fault::kNone) {
        m_file->content.append(bytes);
      }
      if (fault != Fault::kNone) return m_storage->StorageError("append");
      return {};
    }

    Result<void> OnSync() override {
      ++m_storage->m_syncs;
      const Fault fault = m_storage->CountOperation();
      if (fault != Fault::kNone) return m_storage->StorageError("sync");
      m_file->synced = m_file->content.size();
      return {};
    }

   private:
    FakeStorage* m_storage;
    std::shared_ptr<File> m_file;
  };

  /// Counts an operation that changes the disk and returns the fault to inject
  /// into it.
  Fault CountOperation() {
    if (m_crashed) return Fault::kCrash;
    ++m_operations;
    if (m_full) return Fault::kFullDisk;
    if (m_fault == Fault::kNone || m_ops_until_fault-- > 0) return Fault::kNone;
    if (m_fault == Fault::kCrash) m_crashed = true;
    return m_fault;
  }

  static tl::unexpected<Error> StorageError(const std::string& what) {
    return MakeError(ErrorKind::kStorageFailed, what);
  }

  /// Current content of the folder.
  Names m_names;
  /// Content of the folder when it was last synced.
  Names m_durable;
  /// Content of the folder after each operation since its last sync.
  std::vector<Names> m_folder_log;
  Fault m_fault = Fault::kNone;
  std::uint64_t m_ops_until_fault = 0;
  std::uint64_t m_operations = 0;
  std::uint64_t m_syncs = 0;
  bool m_crashed = false;
  bool m_full = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_STORAGE_H_
