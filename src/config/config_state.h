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

/// The replicated configuration: applies changes in the order of the log.
/// Deterministic: equal sequences of changes give equal states and answers.
///
/// A change is accepted only if its expected version is the current one; 0 is
/// the version before the first accepted change, not a wildcard. Each accepted
/// change raises the version by one.
///
/// Every answer, refusals included, is kept under its operation id for the
/// last kRetainedOperations operations: a resend gets the first answer again.
/// An operator who wants to try a refused change again takes a new id. A
/// resend after its answer was dropped cannot take effect twice, since its
/// expected version has passed: it gets kVersionConflict.
///
/// Not thread safe.
class ConfigState {
 public:
  /// Operations whose answers are kept.
  static constexpr std::size_t kRetainedOperations = 65536;

  /// `rules` judges schemas and placements; it may be null, and must outlive
  /// the state. `retained_operations` must be at least 1 and equal on every
  /// replica of the log.
  explicit ConfigState(const SchemaRules* rules = nullptr,
                       std::size_t retained_operations = kRetainedOperations);

  /// Applies `change` and returns its answer.
  ChangeResult Apply(const Change& change);

  [[nodiscard]] const ClusterConfig& Config() const { return m_config; }

  /// Returns the whole state, answers included, as bytes.
  [[nodiscard]] std::string EncodeState() const;

  /// Replaces the state by the one in `bytes`; false, with the state as
  /// before, if they are damaged.
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

  ChangeResult Decide(const Change& change);
  void Remember(Operation operation);

  const SchemaRules* m_rules;
  std::size_t m_retained_operations;
  ClusterConfig m_config;
  /// Oldest first; m_first_operation numbers the front.
  std::deque<Operation> m_operations;
  std::uint64_t m_first_operation = 0;
  std::unordered_map<std::string, std::uint64_t> m_operation_by_id;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_STATE_H_
