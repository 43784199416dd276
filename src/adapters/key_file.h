#ifndef CHICORYVALE_SRC_ADAPTERS_KEY_FILE_H_
#define CHICORYVALE_SRC_ADAPTERS_KEY_FILE_H_

#include <cstddef>
#include <string>

#include "chicoryvale/error.h"

namespace chicoryvale {

/// Minimum size of a key for the HMAC of peer frames.
inline constexpr std::size_t kMinKeyBytes = 32;

/// Minimum size of an operator token.
inline constexpr std::size_t kMinTokenBytes = 16;

/// Maximum size of a key or token.
inline constexpr std::size_t kMaxSecretBytes = 4096;

/// Reads a key or token from the file `path` and trims trailing white space.
/// Returns kStorageFailed if the file can't be read. Returns kUnauthenticated
/// if it is not a regular file, is owned by a user other than root and the user
/// of this process, is accessible to group or others, or if its content is
/// shorter than `min_bytes` or longer than kMaxSecretBytes. Thread safe.
Result<std::string> ReadSecretFile(const std::string& path,
                                   std::size_t min_bytes);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_KEY_FILE_H_
