#include "adapters/process_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace chicoryvale {
namespace {

constexpr std::size_t kMb = std::size_t{1} << 20;

/// Memory of a process without callers (8 MB), with room for the state of
/// members, configurations and connections.
constexpr std::size_t kOwnBytes = 20 * kMb;

/// Bytes of memory for one accounted byte. A body exists twice while it is
/// forwarded, and a head also as decoded fields.
constexpr std::size_t kBytesPerAccountedByte = 3;

constexpr std::size_t kMinCallerBytes = 2 * kMb;
/// Larger accounts serve no caller: 4,000 bodies of 256 KiB fit in.
constexpr std::size_t kMaxCallerBytes = 1024 * kMb;

constexpr std::size_t kMaxResponseBytes = 32 * kMb;
constexpr std::size_t kResponseShare = 6;

/// Descriptors for peers, control, metrics and files: a quarter of all, and no
/// fewer than this.
constexpr std::size_t kMinReservedFds = 64;
constexpr std::size_t kReservedFdsShare = 4;

std::size_t KernelMemoryBytes() {
  constexpr std::size_t kBytesPerKb = 1024;
  std::ifstream file("/proc/meminfo");
  std::string name;
  std::size_t kilobytes = 0;
  if (file >> name >> kilobytes && name == "MemTotal:") {
    return kilobytes * kBytesPerKb;
  }
  constexpr std::size_t kUnknownMemory = 128 * kMb;
  return kUnknownMemory;
}

std::size_t KernelMaxFds() {
  rlimit limit{};
  constexpr std::size_t kUnknownFds = 1024;
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return kUnknownFds;
  return std::min<std::size_t>(limit.rlim_cur, std::numeric_limits<int>::max());
}

}  // namespace

ProcessLimits DivideResources(const ResourceLimits& limits) {
  const std::size_t memory =
      limits.memory_bytes > 0 ? limits.memory_bytes : KernelMemoryBytes();
  const std::size_t max_fds =
      limits.max_fds > 0 ? limits.max_fds : KernelMaxFds();
  ProcessLimits parts;
  parts.caller_bytes = std::clamp(
      (memory - std::min(memory, kOwnBytes)) / kBytesPerAccountedByte,
      kMinCallerBytes, kMaxCallerBytes);
  parts.response_bytes = std::min(memory / kResponseShare, kMaxResponseBytes);
  const std::size_t reserved =
      std::max(kMinReservedFds, max_fds / kReservedFdsShare);
  // A request needs one connection to its caller and one to a replica.
  parts.caller_connections =
      std::max<std::size_t>(1, (max_fds - std::min(max_fds, reserved)) / 2);
  parts.replica_connections = parts.caller_connections;
  // Together at most three quarters of the reserved descriptors.
  parts.monitoring_connections = reserved / 8;
  parts.operator_connections = reserved / 4;
  parts.unauthenticated_peer_connections = reserved / 4;
  return parts;
}

void ReturnFreedBuffers() {
  // By default glibc raises the threshold of mmap to the size of each freed
  // buffer, and then keeps freed buffers within its heap. A fixed threshold
  // gives large buffers back when they are freed.
  constexpr int kMmapThresholdBytes = 64 * 1024;
  constexpr int kTrimThresholdBytes = 1024 * 1024;
  // The default of 65,536 mappings is enough: each has 64 KiB or more.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace chicoryvale
