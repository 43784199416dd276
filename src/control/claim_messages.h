#ifndef CHICORYVALE_SRC_CONTROL_CLAIM_MESSAGES_H_
#define CHICORYVALE_SRC_CONTROL_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>

#include "claims/claim_command.h"

namespace chicoryvale {

/// Answer of a control VM to a claim command.
struct ClaimReply {
  /// If false, `error` (an ErrorKind) and `message` describe the failure;
  /// otherwise `result` is valid.
  bool has_result = false;
  ClaimResult result;
  std::uint8_t error = 0;
  std::string message;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(has_result, result, error, message);
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_CLAIM_MESSAGES_H_
