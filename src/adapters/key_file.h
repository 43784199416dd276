#ifndef CHICORYVALE_SRC_ADAPTERS_KEY_FILE_H_
#define CHICORYVALE_SRC_ADAPTERS_KEY_FILE_H_

#include <cstddef>
#include <string>

#include "chicoryvale/error.h"

namespace chicoryvale {

/// Shortest accepted key for the HMAC of peer frames.
inline constexpr std::size_t kMinKeyBytes = 32;

/// Shortest accepted token of an operator.
inline constexpr std::size_t kMinTokenBytes = 16;

/// Longest accepted key or token.
inline constexpr std::size_t kMaxSecretBytes = 4096;

/// Reads a key or token from the file `path`, without white space at its end.
/// Refuses with kStorageFailed a file that can't be read, and with
/// kUnauthenticated one that is not a regular file, belongs to a user other
/// than this process's and root, is open to group or others, or whose content
/// is shorter than `min_bytes` or longer than kMaxSecretBytes. Thread safe.
Result<std::string> ReadSecretFile(const std::string& path,
                                   std::size_t min_bytes);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_KEY_FILE_H_
