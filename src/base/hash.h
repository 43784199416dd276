#ifndef CHICORYVALE_SRC_BASE_HASH_H_
#define CHICORYVALE_SRC_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace chicoryvale {

/// Returns the FNV-1a hash of `bytes`, starting from the hash value `seed`. Not
/// suitable for authentication. Source: Fowler, Noll and Vo,
/// draft-eastlake-fnv.
constexpr std::uint64_t HashBytes(std::string_view bytes,
                                  std::uint64_t seed = 0xcbf29ce484222325ULL) {
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  for (const char c : bytes) {
    seed ^= static_cast<unsigned char>(c);
    seed *= kPrime;
  }
  return seed;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_HASH_H_
