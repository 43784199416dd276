#ifndef CHICORYVALE_SRC_BASE_SPARE_CAPACITY_H_
#define CHICORYVALE_SRC_BASE_SPARE_CAPACITY_H_

#include <cstddef>
#include <string>

namespace chicoryvale {

/// Frees the memory of the empty buffer `buffer` if it is large, so that an
/// idle connection does not keep that of its largest message.
inline void ReleaseSpareCapacity(std::string* buffer) {
  constexpr std::size_t kMaxSpareBytes = std::size_t{4} * 1024;
  if (buffer->empty() && buffer->capacity() > kMaxSpareBytes) {
    std::string().swap(*buffer);
  }
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_SPARE_CAPACITY_H_
