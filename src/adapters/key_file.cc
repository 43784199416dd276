#include "adapters/key_file.h"

#include <fcntl.h>
#include <glib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string_view>

namespace chicoryvale {
namespace {

/// Closes a file descriptor at the end of a scope.
class FileCloser {
 public:
  explicit FileCloser(int descriptor) : m_descriptor(descriptor) {}
  ~FileCloser() { close(m_descriptor); }
  FileCloser(const FileCloser&) = delete;
  FileCloser& operator=(const FileCloser&) = delete;

 private:
  int m_descriptor;
};

tl::unexpected<Error> SystemError(const std::string& path, int code) {
  return MakeError(ErrorKind::kStorageFailed, path + ": " + g_strerror(code));
}

tl::unexpected<Error> RejectedFileError(const std::string& path,
                                        const std::string& reason) {
  return MakeError(ErrorKind::kUnauthenticated, path + ": " + reason);
}

// Returns why the type, owner or mode of the file is unsafe; empty if it is
// safe.
std::string UnsafeReason(const struct stat& status) {
  if (!S_ISREG(status.st_mode)) return "not a regular file";
  if (status.st_uid != geteuid() && status.st_uid != 0) {
    return "belongs to another user";
  }
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return "accessible to group or others; set its mode to 0600";
  }
  return "";
}

void TrimTrailingWhitespace(std::string* text) {
  const std::size_t last = text->find_last_not_of(" \t\r\n");
  text->resize(last == std::string::npos ? 0 : last + 1);
}

}  // namespace

Result<std::string> ReadSecretFile(const std::string& path,
                                   std::size_t min_bytes) {
  // Without O_NONBLOCK, opening a FIFO would block until it has a writer.
  const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (descriptor < 0) return SystemError(path, errno);
  const FileCloser closer(descriptor);
  struct stat status {};
  if (fstat(descriptor, &status) != 0) return SystemError(path, errno);
  const std::string reason = UnsafeReason(status);
  if (!reason.empty()) return RejectedFileError(path, reason);
  std::array<char, kMaxSecretBytes + 1> buffer{};
  std::string secret;
  while (secret.size() <= kMaxSecretBytes) {
    const ssize_t count = read(descriptor, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return SystemError(path, errno);
    if (count == 0) break;
    secret.append(buffer.data(), static_cast<std::size_t>(count));
  }
  if (secret.size() > kMaxSecretBytes) {
    return RejectedFileError(
        path, "longer than " + std::to_string(kMaxSecretBytes) + " bytes");
  }
  TrimTrailingWhitespace(&secret);
  if (secret.size() < min_bytes) {
    return RejectedFileError(
        path, "has " + std::to_string(secret.size()) + " bytes, at least " +
                  std::to_string(min_bytes) + " are needed");
  }
  return secret;
}

}  // namespace chicoryvale
