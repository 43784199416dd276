#include "adapters/disk_storage.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstring>
#include <utility>

namespace chicoryvale {
namespace {

constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadBufferBytes = std::size_t{1} << 16;

tl::unexpected<Error> IoError(const std::string& call,
                              const std::string& name) {
  return MakeError(ErrorKind::kStorageFailed,
                   call + " " + name + ": " + std::strerror(errno));
}

/// Owns a file descriptor and closes it at the end of its lifetime.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : m_fd(fd) {}
  ~FileDescriptor() {
    if (m_fd >= 0) close(m_fd);
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  [[nodiscard]] int Get() const { return m_fd; }
  [[nodiscard]] bool IsOpen() const { return m_fd >= 0; }

 private:
  int m_fd;
};

class DiskFile : public AppendFile {
 public:
  DiskFile(std::string name, int fd) : m_name(std::move(name)), m_fd(fd) {}

 protected:
  Result<void> OnAppend(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = write(m_fd.Get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return IoError("write", m_name);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
  }

  Result<void> OnSync() override {
    if (fsync(m_fd.Get()) != 0) return IoError("fsync", m_name);
    return {};
  }

 private:
  std::string m_name;
  FileDescriptor m_fd;
};

}  // namespace

Result<std::unique_ptr<DiskStorage>> DiskStorage::Make(
    const std::string& path) {
  if (mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return IoError("mkdir", path);
  }
  const int dir_fd = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (dir_fd < 0) return IoError("open", path);
  if (flock(dir_fd, LOCK_EX | LOCK_NB) != 0) {
    const auto error = IoError("flock", path);
    close(dir_fd);
    return error;
  }
  return std::unique_ptr<DiskStorage>(new DiskStorage(path, dir_fd));
}

DiskStorage::~DiskStorage() { close(m_dir_fd); }

Result<std::vector<std::string>> DiskStorage::OnList() {
  DIR* stream = opendir(m_path.c_str());
  if (stream == nullptr) return IoError("opendir", m_path);
  std::vector<std::string> names;
  // readdir is safe here, because no other thread uses this stream.
  while (const dirent* entry = readdir(stream)) {  // NOLINT
    const std::string name = entry->d_name;
    if (name != "." && name != "..") names.push_back(name);
  }
  closedir(stream);
  return names;
}

Result<std::string> DiskStorage::OnRead(const std::string& name) {
  const FileDescriptor file(
      openat(m_dir_fd, name.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.IsOpen()) return IoError("open", name);
  std::string content;
  std::string buffer(kReadBufferBytes, '\0');
  while (true) {
    const ssize_t size = read(file.Get(), buffer.data(), buffer.size());
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) return IoError("read", name);
    if (size == 0) return content;
    content.append(buffer, 0, static_cast<std::size_t>(size));
  }
}

Result<std::unique_ptr<AppendFile>> DiskStorage::OnOpen(
    const std::string& name) {
  const int fd = openat(m_dir_fd, name.c_str(),
                        O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode);
  if (fd < 0) return IoError("open", name);
  return std::make_unique<DiskFile>(name, fd);
}

Result<void> DiskStorage::OnTruncate(const std::string& name,
                                     std::uint64_t size) {
  const FileDescriptor file(
      openat(m_dir_fd, name.c_str(), O_WRONLY | O_CLOEXEC));
  if (!file.IsOpen()) return IoError("open", name);
  if (ftruncate(file.Get(), static_cast<off_t>(size)) != 0) {
    return IoError("ftruncate", name);
  }
  if (fsync(file.Get()) != 0) return IoError("fsync", name);
  return {};
}

Result<void> DiskStorage::OnRename(const std::string& from,
                                   const std::string& to) {
  if (renameat(m_dir_fd, from.c_str(), m_dir_fd, to.c_str()) != 0) {
    return IoError("rename", from);
  }
  return {};
}

Result<void> DiskStorage::OnRemove(const std::string& name) {
  if (unlinkat(m_dir_fd, name.c_str(), 0) != 0) return IoError("unlink", name);
  return {};
}

Result<void> DiskStorage::OnSyncFolder() {
  if (fsync(m_dir_fd) != 0) return IoError("fsync", m_path);
  return {};
}

}  // namespace chicoryvale
