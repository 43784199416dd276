#ifndef CHICORYVALE_SRC_BASE_DECAY_H_
#define CHICORYVALE_SRC_BASE_DECAY_H_

#include <cmath>

#include "base/time.h"

namespace chicoryvale {

/// Returns the weight of something that is `age` old and loses half of its
/// weight in each `half_life_s`.
inline double DecayFactor(Duration age, double half_life_s) {
  return std::exp2(-ToSeconds(age) / half_life_s);
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_DECAY_H_
