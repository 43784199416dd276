#ifndef CHICORYVALE_SRC_CLAIMS_CLAIM_TABLE_H_
#define CHICORYVALE_SRC_CLAIMS_CLAIM_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "claims/claim_command.h"

namespace chicoryvale {

/// Limits of a claim table. They must be equal on all replicas of the log.
struct ClaimTableOptions {
  /// Maximum age of a request id that can be claimed and whose outcome is kept.
  std::chrono::milliseconds retention = std::chrono::minutes(30);
  /// Maximum time by which a request id may be ahead of the leader's clock.
  std::chrono::milliseconds max_future_skew = std::chrono::minutes(5);
  std::size_t max_claims = 262144;
  /// Maximum size of the stored outcome of one request, and of all requests.
  std::size_t max_outcome_bytes = 4096;
  std::size_t max_total_outcome_bytes = std::size_t{32} << 20;
};

/// Replicated claims of requests that may run at most once. Deterministic: the
/// only time used is the leader's clock in each command. A clock error cannot
/// cause a second grant of a claim: removing a claim raises the horizon, and
/// all request ids at or below the horizon are refused, whatever the clock of a
/// later leader. A leader with a wrong clock refuses valid ids only while it
/// leads. Not thread safe.
class ClaimTable {
 public:
  explicit ClaimTable(const ClaimTableOptions& options = {});

  /// Applies `command` and returns its result. A duplicate of a command has no
  /// further effect and gets a result with the same meaning.
  ClaimResult Apply(const ClaimCommand& command);

  [[nodiscard]] std::size_t Size() const { return m_claims.size(); }

  /// Returns the serialized state of the table.
  [[nodiscard]] std::string EncodeState() const;

  /// Replaces the state by the one in `bytes`. Returns false and leaves the
  /// state unchanged if `bytes` are damaged.
  bool DecodeState(std::string_view bytes);

  /// Returns a 64-bit hash of EncodeState().
  [[nodiscard]] std::uint64_t Hash() const;

 private:
  enum class State : std::uint8_t {
    kClaimed,
    kReleased,
    kRecorded,
    kRecordedWithoutOutcome,
  };

  struct Claim {
    std::uint64_t fingerprint = 0;
    ClaimOwner owner;
    State state = State::kClaimed;
    std::string outcome;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(fingerprint, owner, state, outcome);
    }
  };

  using Claims = std::map<RequestId, Claim>;

  // Removes the claims that are older than the retention and raises the
  // horizon to the latest of them.
  void RemoveExpired(std::uint64_t leader_unix_ms);
  [[nodiscard]] bool IsExpired(const ClaimCommand& command) const;
  [[nodiscard]] bool IsInvalid(const ClaimCommand& command) const;
  ClaimResult ApplyNew(const ClaimCommand& command);
  ClaimResult ApplyKnown(const ClaimCommand& command, Claim* claim);
  ClaimResult ApplyClaim(const ClaimCommand& command, Claim* claim);
  ClaimResult ApplyRecordOutcome(const ClaimCommand& command, Claim* claim);

  ClaimTableOptions m_options;
  Claims m_claims;
  /// Request ids at or before this time are refused, because claims of such ids
  /// have been removed.
  std::uint64_t m_horizon_unix_ms = 0;
  std::size_t m_total_outcome_bytes = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CLAIMS_CLAIM_TABLE_H_
