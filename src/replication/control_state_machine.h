#ifndef CHICORYVALE_SRC_REPLICATION_CONTROL_STATE_MACHINE_H_
#define CHICORYVALE_SRC_REPLICATION_CONTROL_STATE_MACHINE_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "claims/claim_table.h"
#include "config/config_state.h"
#include "replication/state_machine.h"

namespace chicoryvale {

/// A command of the control group's log.
using ControlCommand = std::variant<Change, ClaimCommand>;
/// The answer to a ControlCommand, of the same alternative.
using ControlResult = std::variant<ChangeResult, ClaimResult>;

/// Return the bytes of a command or result.
std::string EncodeCommand(const ControlCommand& command);
std::string EncodeResult(const ControlResult& result);

/// Decode the bytes of EncodeCommand or EncodeResult; false if they are
/// damaged.
bool DecodeCommand(std::string_view bytes, ControlCommand* command);
bool DecodeResult(std::string_view bytes, ControlResult* result);

/// What the control group replicates: the configuration and the claims. Not
/// thread safe.
class ControlStateMachine : public StateMachine {
 public:
  using ConfigCallback = std::function<void(const ClusterConfig& config)>;

  /// `rules` may be null and must outlive the machine.
  explicit ControlStateMachine(
      const SchemaRules* rules = nullptr,
      const ClaimTableOptions& claim_options = {},
      std::size_t retained_operations = ConfigState::kRetainedOperations);

  [[nodiscard]] const ConfigState& Config() const { return m_config; }
  [[nodiscard]] const ClaimTable& Claims() const { return m_claims; }

  /// Sets what is called after each committed change of the configuration and
  /// after a restored snapshot. It must not call the replica.
  void SetConfigCallback(ConfigCallback callback) {
    m_on_config = std::move(callback);
  }

  /// Returns a 64-bit hash of the whole state.
  [[nodiscard]] std::uint64_t Hash() const;

 protected:
  std::string OnApply(LogIndex index, std::string_view command) override;
  [[nodiscard]] std::string OnSnapshot() const override;
  bool OnRestore(std::string_view bytes) override;

 private:
  ControlResult Decide(const Change& change);
  ControlResult Decide(const ClaimCommand& command);

  ConfigState m_config;
  ClaimTable m_claims;
  ConfigCallback m_on_config;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_CONTROL_STATE_MACHINE_H_
