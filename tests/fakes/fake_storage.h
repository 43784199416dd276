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

/// Storage in memory that loses what was not synced when it crashes. A crash,
/// a failed sync or a full disk strikes at a chosen operation; from a crash on
/// every operation fails until Restart.
class FakeStorage : public Storage {
 public:
  enum class Fault { kNone, kCrash, kFailedSync, kFullDisk };

  /// Lets `fault` strike at the operation that follows `operations` others
  /// that change the disk.
  void FailAfter(std::uint64_t operations, Fault fault) {
    m_fault = fault;
    m_countdown = operations;
  }

  [[nodiscard]] bool Crashed() const { return m_crashed; }
  /// Operations so far that changed the disk.
  [[nodiscard]] std::uint64_t Operations() const { return m_operations; }
  [[nodiscard]] std::uint64_t Syncs() const { return m_syncs; }

  /// Power loss and restart: of what was not synced, `random` decides how much
  /// of each file and how many of the folder's operations survive.
  void Restart(std::mt19937_64* random) {
    const std::size_t kept = (*random)() % (m_folder_log.size() + 1);
    for (std::size_t i = 0; i < kept; ++i) m_durable = m_folder_log[i];
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

  /// Loses the disk.
  void Wipe() { *this = FakeStorage(); }

  /// Flips one bit of the file `name`.
  void FlipBit(const std::string& name, std::size_t offset) {
    m_names.at(name)->content.at(offset) ^= 0x10;
  }

  /// Returns the size of the file `name`, 0 if there is none.
  [[nodiscard]] std::size_t SizeOf(const std::string& name) const {
    const auto found = m_names.find(name);
    return found == m_names.end() ? 0 : found->second->content.size();
  }

  /// Appends synced bytes to the file `name`, as a torn write leaves them.
  void AppendRaw(const std::string& name, const std::string& bytes) {
    File& file = *m_names.at(name);
    file.content += bytes;
    file.synced = file.content.size();
  }

  /// Cuts the file `name` to `size` bytes.
  void CutRaw(const std::string& name, std::size_t size) {
    File& file = *m_names.at(name);
    file.content.resize(size);
    file.synced = size;
  }

 protected:
  Result<std::vector<std::string>> OnList() override {
    if (m_crashed) return Refuse("crashed");
    std::vector<std::string> names;
    for (const auto& [name, file] : m_names) names.push_back(name);  // NOLINT
    return names;
  }

  Result<std::string> OnRead(const std::string& name) override {
    if (m_crashed) return Refuse("crashed");
    const auto found = m_names.find(name);
    if (found == m_names.end()) return Refuse("no file " + name);
    return found->second->content;
  }

  Result<std::unique_ptr<AppendFile>> OnOpen(const std::string& name) override {
    if (Strikes() != Fault::kNone) return Refuse("open");
    auto& file = m_names[name];
    if (!file) {
      file = std::make_shared<File>();
      m_folder_log.push_back(m_names);
    }
    return std::make_unique<OpenFile>(this, file);
  }

  Result<void> OnTruncate(const std::string& name,
                          std::uint64_t size) override {
    if (Strikes() != Fault::kNone) return Refuse("truncate");
    CutRaw(name, size);
    return {};
  }

  Result<void> OnRename(const std::string& from,
                        const std::string& to) override {
    const Fault fault = Strikes();
    if (fault == Fault::kFullDisk) return Refuse("rename");
    if (!m_names.contains(from)) return Refuse("no file " + from);
    m_names[to] = m_names[from];
    m_names.erase(from);
    m_folder_log.push_back(m_names);
    if (fault != Fault::kNone) return Refuse("rename");
    return {};
  }

  Result<void> OnRemove(const std::string& name) override {
    if (Strikes() != Fault::kNone) return Refuse("remove");
    m_names.erase(name);
    m_folder_log.push_back(m_names);
    return {};
  }

  Result<void> OnSyncFolder() override {
    ++m_syncs;
    if (Strikes() != Fault::kNone) return Refuse("sync folder");
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
      const Fault fault = m_storage->Strikes();
      // A struck write leaves part of its bytes.
      if (fault != Fault::kNone) bytes = bytes.substr(0, bytes.size() / 2);
      if (!m_storage->m_crashed || fault != Fault::kNone) {
        m_file->content.append(bytes);
      }
      if (fault != Fault::kNone) return m_storage->Refuse("append");
      return {};
    }

    Result<void> OnSync() override {
      ++m_storage->m_syncs;
      const Fault fault = m_storage->Strikes();
      if (fault != Fault::kNone) return m_storage->Refuse("sync");
      m_file->synced = m_file->content.size();
      return {};
    }

   private:
    FakeStorage* m_storage;
    std::shared_ptr<File> m_file;
  };

  /// Counts an operation and returns the fault that strikes it.
  Fault Strikes() {
    if (m_crashed) return Fault::kCrash;
    ++m_operations;
    if (m_fault == Fault::kNone || m_countdown-- > 0) return Fault::kNone;
    if (m_fault == Fault::kCrash) m_crashed = true;
    return m_fault;
  }

  static tl::unexpected<Error> Refuse(const std::string& what) {
    return MakeError(ErrorKind::kStorageFailed, what);
  }

  Names m_names;
  Names m_durable;
  /// The folder after each operation since it was last synced.
  std::vector<Names> m_folder_log;
  Fault m_fault = Fault::kNone;
  std::uint64_t m_countdown = 0;
  std::uint64_t m_operations = 0;
  std::uint64_t m_syncs = 0;
  bool m_crashed = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_STORAGE_H_
