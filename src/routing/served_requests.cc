#include "routing/served_requests.h"

#include <algorithm>
#include <iterator>

namespace chicoryvale {

void ServedRequests::Record(std::uint64_t fingerprint) {
  Set& set = m_sets[fingerprint % kSetCount];
  auto place = std::ranges::find(set, fingerprint);
  if (place == set.end()) place = std::prev(set.end());
  *place = fingerprint;
  std::rotate(set.begin(), place, std::next(place));
}

bool ServedRequests::Contains(std::uint64_t fingerprint) const {
  const Set& set = m_sets[fingerprint % kSetCount];
  return std::ranges::find(set, fingerprint) != set.end();
}

}  // namespace chicoryvale
