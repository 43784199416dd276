#ifndef CHICORYVALE_SRC_ADAPTERS_PROCESS_LIMITS_H_
#define CHICORYVALE_SRC_ADAPTERS_PROCESS_LIMITS_H_

#include <cstddef>

#include "adapters/common_settings.h"

namespace chicoryvale {

/// Parts of the memory and the descriptors of a process.
struct ProcessLimits {
  /// Limit of the account of bytes held for callers.
  std::size_t caller_bytes = 0;
  /// Limit on the received bytes of incomplete responses of replicas.
  std::size_t response_bytes = 0;
  std::size_t caller_connections = 0;
  std::size_t replica_connections = 0;
  /// Limit for each of the addresses for readiness checks and metrics.
  std::size_t monitoring_connections = 0;
  /// Limit for the address of operators' calls.
  std::size_t operator_connections = 0;
  /// Limit on the connections at the peer address that are not authenticated
  /// yet.
  std::size_t unauthenticated_peer_connections = 0;
};

/// Divides `limits`. For a limit that is not set, the memory that the kernel
/// reports or RLIMIT_NOFILE is divided.
ProcessLimits DivideResources(const ResourceLimits& limits);

/// Makes the allocator return freed buffers of bodies to the kernel. To be
/// called before the process serves requests.
void ReturnFreedBuffers();

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PROCESS_LIMITS_H_
