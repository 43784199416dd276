#ifndef CHICORYVALE_SRC_QUOTA_QUOTA_MESSAGES_H_
#define CHICORYVALE_SRC_QUOTA_QUOTA_MESSAGES_H_

// Messages between an entry that needs tokens of a workspace's quota and the
// entry that owns the quota.

#include <cstdint>
#include <string>

#include "base/codec.h"

namespace chicoryvale {

struct QuotaRequestMessage {
  std::string workspace;
  /// The quota, and the version of the configuration that states it, in case
  /// the owner does not know it yet.
  double max_requests_per_s = 0;
  double burst = 0;
  std::uint64_t config_version = 0;
  /// Number of tokens that the entry will probably use soon.
  std::uint32_t wanted = 0;
  /// Number of requests that the entry has sent without a token.
  std::uint32_t spent = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(workspace, max_requests_per_s, burst, config_version, wanted,
            spent);
  }
};

struct QuotaReplyMessage {
  /// Number of tokens granted; 0 if the workspace is over its quota.
  std::uint32_t granted = 0;
  /// Without a grant: the time until there is a token.
  std::uint64_t retry_after_us = 0;
  /// Whether little of the quota is left, so that requests need tokens.
  bool is_scarce = false;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(granted, retry_after_us, is_scarce);
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUOTA_QUOTA_MESSAGES_H_
