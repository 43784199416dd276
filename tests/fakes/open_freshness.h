#ifndef CHICORYVALE_TESTS_FAKES_OPEN_FRESHNESS_H_
#define CHICORYVALE_TESTS_FAKES_OPEN_FRESHNESS_H_

#include <utility>
#include <vector>

#include "ports/config_freshness.h"

namespace chicoryvale {

/// ConfigFreshness that leaves each question open until the test answers it.
class OpenFreshness : public ConfigFreshness {
 public:
  std::vector<Callback> pending;

 protected:
  void OnConfirm(Callback callback) override {
    pending.push_back(std::move(callback));
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_OPEN_FRESHNESS_H_
