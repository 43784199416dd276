#ifndef CHICORYVALE_SRC_ADAPTERS_DISK_STORAGE_H_
#define CHICORYVALE_SRC_ADAPTERS_DISK_STORAGE_H_

#include <memory>
#include <string>
#include <vector>

#include "ports/storage.h"

namespace chicoryvale {

/// Storage in one folder of a POSIX file system. Locks the folder, so that two
/// processes can't write to the same state. Not thread safe.
class DiskStorage : public Storage {
 public:
  /// Opens and locks the folder `path`. Creates the folder, but not its parent,
  /// if it does not exist. Returns kStorageFailed if that fails or if another
  /// process has locked the folder.
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
  DiskStorage(std::string path, int dir_fd)
      : m_path(std::move(path)), m_dir_fd(dir_fd) {}

  std::string m_path;
  /// File descriptor of the folder, which carries the flock(2) lock.
  int m_dir_fd;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_DISK_STORAGE_H_
