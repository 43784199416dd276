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

/// Bounds of a claim table; equal on every replica of the log.
struct ClaimTableOptions {
  /// Age up to which an id can be claimed and its outcome is kept.
  std::chrono::milliseconds retention = std::chrono::minutes(30);
  /// How far an id may lie ahead of the leader's clock.
  std::chrono::milliseconds future_skew = std::chrono::minutes(5);
  std::size_t max_claims = 262144;
  /// Largest outcome kept for one request, and for all together.
  std::size_t max_outcome_bytes = 4096;
  std::size_t max_total_outcome_bytes = std::size_t{32} << 20;
};

/// The replicated claims of requests that may run at most once. Deterministic:
/// time is the leader's clock in each command. No clock error can grant a
/// second claim: dropping a claim raises the horizon, at and below which every
/// id is refused, whatever a later leader's clock says. A leader's wrong clock
/// refuses ids only while it leads. Not thread safe.
class ClaimTable {
 public:
  explicit ClaimTable(const ClaimTableOptions& options = {});

  /// Applies `command` and returns its answer. A repeated command gets an
  /// answer of the same meaning and has no second effect.
  ClaimResult Apply(const ClaimCommand& command);

  [[nodiscard]] std::size_t Size() const { return m_claims.size(); }

  /// Returns the whole state as bytes.
  [[nodiscard]] std::string EncodeState() const;

  /// Replaces the state by the one in `bytes`; false, with the state as
  /// before, if they are damaged.
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

  void DropExpired(std::uint64_t leader_unix_ms);
  [[nodiscard]] bool IsExpired(const ClaimCommand& command) const;
  [[nodiscard]] bool IsInvalid(const ClaimCommand& command) const;
  ClaimResult ApplyNew(const ClaimCommand& command);
  ClaimResult ApplyKnown(const ClaimCommand& command, Claim* claim);
  ClaimResult Take(const ClaimCommand& command, Claim* claim);
  ClaimResult Record(const ClaimCommand& command, Claim* claim);

  ClaimTableOptions m_options;
  Claims m_claims;
  /// Ids of this time, in Unix milliseconds, and below are refused: claims of
  /// such ids have been dropped.
  std::uint64_t m_horizon_unix_ms = 0;
  std::size_t m_total_outcome_bytes = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CLAIMS_CLAIM_TABLE_H_
