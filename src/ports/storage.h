#ifndef CHICORYVALE_SRC_PORTS_STORAGE_H_
#define CHICORYVALE_SRC_PORTS_STORAGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "chicoryvale/error.h"

namespace chicoryvale {

/// A file that is open for appending. After a failed call the content beyond
/// the last successful Sync is unknown, and the file must not be used again.
/// Not thread safe.
class AppendFile {
 public:
  virtual ~AppendFile() = default;

  /// Appends `bytes`, which are durable only after Sync. Returns kStorageFailed
  /// if the disk is full or fails; some of the bytes may then be in the file.
  Result<void> Append(std::string_view bytes) { return OnAppend(bytes); }

  /// Makes all appended bytes durable. Returns kStorageFailed if durability is
  /// not certain.
  Result<void> Sync() { return OnSync(); }

 protected:
  virtual Result<void> OnAppend(std::string_view bytes) = 0;
  virtual Result<void> OnSync() = 0;
};

/// Interface to the files of one data folder, which are named without a path.
/// Creating, renaming and removing a file is durable only after SyncFolder. All
/// calls block; all errors are kStorageFailed. Not thread safe.
class Storage {
 public:
  virtual ~Storage() = default;

  /// Returns the names of all files.
  Result<std::vector<std::string>> List() { return OnList(); }

  /// Returns the content of the file `name`, which must exist.
  Result<std::string> Read(const std::string& name) { return OnRead(name); }

  /// Opens the file `name` for appending; creates it if it does not exist.
  Result<std::unique_ptr<AppendFile>> Open(const std::string& name) {
    return OnOpen(name);
  }

  /// Truncates the file `name` to `size` bytes and syncs it.
  Result<void> Truncate(const std::string& name, std::uint64_t size) {
    return OnTruncate(name, size);
  }

  /// Renames a file, replacing the file `to` if it exists.
  Result<void> Rename(const std::string& from, const std::string& to) {
    return OnRename(from, to);
  }

  /// Removes the file `name`, which must exist.
  Result<void> Remove(const std::string& name) { return OnRemove(name); }

  /// Makes the creation, renaming and removal of files durable.
  Result<void> SyncFolder() { return OnSyncFolder(); }

 protected:
  virtual Result<std::vector<std::string>> OnList() = 0;
  virtual Result<std::string> OnRead(const std::string& name) = 0;
  virtual Result<std::unique_ptr<AppendFile>> OnOpen(
      const std::string& name) = 0;
  virtual Result<void> OnTruncate(const std::string& name,
                                  std::uint64_t size) = 0;
  virtual Result<void> OnRename(const std::string& from,
                                const std::string& to) = 0;
  virtual Result<void> OnRemove(const std::string& name) = 0;
  virtual Result<void> OnSyncFolder() = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_STORAGE_H_
