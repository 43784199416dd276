#ifndef CHICORYVALE_SRC_BASE_RENDEZVOUS_H_
#define CHICORYVALE_SRC_BASE_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

#include "base/hash.h"

namespace chicoryvale {

/// Returns the rendezvous hashing weight of the candidate `name` for `key`. The
/// candidate with the greatest weight owns the key. Source: Thaler and
/// Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
constexpr std::uint64_t RendezvousWeight(std::string_view name,
                                         std::uint64_t key) {
  return MixHash(HashBytes(name) ^ (key * 0x9e3779b97f4a7c15ULL));
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_RENDEZVOUS_H_
