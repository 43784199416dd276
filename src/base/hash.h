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

/// Returns a hash of `hash` in which each bit depends on each bit of it. Needed
/// where hashes are added up or compared by magnitude: FNV-1a hashes of texts
/// that differ in their last byte differ by a small multiple of its prime. This
/// is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable
/// pseudorandom number generators", 2014).
constexpr std::uint64_t MixHash(std::uint64_t hash) {
  hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31U);
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_HASH_H_
