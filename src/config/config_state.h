#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_STATE_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config/change.h"
#include "config/cluster_config.h"

namespace chicoryvale {

class SchemaRules;

/// The replicated configuration, to which changes are applied in the order of
/// the log. Deterministic: equal sequences of changes give equal states and
/// results.
///
/// A change is accepted only if its expected version is the current one; 0 is
/// the version before the first accepted change, not a wildcard. Each accepted
/// change increases the version by one. ReplaceRouting is the exception: its
/// expected version is ignored, and if the version of its document is not
/// higher than the one in force, it is accepted without effect and leaves the
/// version as it is.
///
/// The results of the last `retained_operations` operations, refusals included,
/// are retained by operation id, and a resend gets the result of the first
/// request. Changes with a malformed operation id and changes that get
/// kOperationIdReused are not recorded. An operator who wants to retry a
/// refused change must use a new id. An accepted change whose result is no
/// longer retained cannot take effect twice: the expected version of a resend
/// has passed, so it gets kVersionConflict; a resent ReplaceRouting is accepted
/// without effect, because its document is not newer than the one in force.
///
/// Not thread safe.
class ConfigState {
 public:
  /// Number of operations whose results are retained by default.
  static constexpr std::size_t kRetainedOperations = 65536;

  /// `rules` checks schemas and placements; it may be null and must outlive the
  /// state. `retained_operations` must be at least 1 and equal on every replica
  /// of the log.
  explicit ConfigState(const SchemaRules* rules = nullptr,
                       std::size_t retained_operations = kRetainedOperations);

  /// Applies `change` and returns its result.
  ChangeResult Apply(const Change& change);

  [[nodiscard]] const ClusterConfig& Config() const { return m_config; }

  /// Serializes the whole state, including the retained results.
  [[nodiscard]] std::string EncodeState() const;

  /// Replaces the state by the one in `bytes`. Returns false, and leaves the
  /// state as it was, if the bytes are damaged.
  bool DecodeState(std::string_view bytes);

  /// Returns a 64-bit hash of EncodeState().
  [[nodiscard]] std::uint64_t Hash() const;

 private:
  struct Operation {
    std::string id;
    /// HashBytes of the encoded change.
    std::uint64_t fingerprint = 0;
    ChangeResult result;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(id, fingerprint, result);
    }
  };

  ChangeResult ValidateAndApply(const Change& change);
  void Record(Operation operation);

  const SchemaRules* m_rules;
  std::size_t m_retained_operations;
  ClusterConfig m_config;
  /// Oldest operation first; m_first_operation_number is the number of the
  /// front.
  std::deque<Operation> m_operations;
  std::uint64_t m_first_operation_number = 0;
  std::unordered_map<std::string, std::uint64_t> m_operation_number_by_id;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_STATE_H_
