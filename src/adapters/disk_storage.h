#ifndef CHICORYVALE_SRC_ADAPTERS_DISK_STORAGE_H_
#define CHICORYVALE_SRC_ADAPTERS_DISK_STORAGE_H_

#include <memory>
#include <string>
#include <vector>

#include "ports/storage.h"

namespace chicoryvale {

/// Storage in one folder of a POSIX file system. Holds a lock on the folder, so
/// that two processes cannot write one state. Not thread safe.
class DiskStorage : public Storage {
 public:
  /// Opens the folder `path`; creates it, but not its parent. kStorageFailed
  /// if that fails or another process holds the folder.
  static Result<std::unique_ptr<DiskStorage>> Make(const std::string& path);
  ~DiskStorage() override;

  DiskStorage(const DiskStorage&) = delete;
  DiskStorage& operator=(const DiskStorage&) = delete;

 protected:
  Result<std::vector<std::string>> OnList() override;
  Result<std::string> OnRead(const std::string& name) override;
  Result<std::unique_ptr<AppendFile>> OnOpen(const std::string& name) override;
  Result<void> OnTruncate(const std::string& name, std::uint64_t size) override;
  Result<void> OnRename(const std::string& from,
                        const std::string& to) override;
  Result<void> OnRemove(const std::string& name) override;
  Result<void> OnSyncFolder() override;

 private:
  DiskStorage(std::string path, int folder)
      : m_path(std::move(path)), m_folder(folder) {}

  std::string m_path;
  /// Descriptor of the folder; the lock stands on it.
  int m_folder;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_DISK_STORAGE_H_
