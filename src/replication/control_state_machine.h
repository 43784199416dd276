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

/// A command in the control group's log.
using ControlCommand = std::variant<Change, ClaimCommand>;
/// The result of a ControlCommand. The alternative is that of the command.
using ControlResult = std::variant<ChangeResult, ClaimResult>;

/// Return an encoded command or result.
std::string EncodeCommand(const ControlCommand& command);
std::string EncodeResult(const ControlResult& result);

/// Decode the result of EncodeCommand or EncodeResult. Return false if the
/// bytes are malformed.
bool DecodeCommand(std::string_view bytes, ControlCommand* command);
bool DecodeResult(std::string_view bytes, ControlResult* result);

/// The replicated state of the control group: the configuration and the claims.
/// Not thread safe.
class ControlStateMachine : public StateMachine {
 public:
  using ConfigCallback = std::function<void(const ClusterConfig& config)>;

  /// `rules` may be null; otherwise it must outlive the state machine.
  explicit ControlStateMachine(
      const SchemaRules* rules = nullptr,
      const ClaimTableOptions& claim_options = {},
      std::size_t retained_operations = ConfigState::kRetainedOperations);

  [[nodiscard]] const ConfigState& Config() const { return m_config; }
  [[nodiscard]] const ClaimTable& Claims() const { return m_claims; }

  /// Sets the function that is called after each committed change of the
  /// configuration and after a snapshot is restored. It must not call the
  /// replica.
  void SetConfigCallback(ConfigCallback callback) {
    m_on_config = std::move(callback);
  }

  /// Returns a 64-bit hash of the complete state.
  [[nodiscard]] std::uint64_t Hash() const;

 protected:
  std::string OnApply(LogIndex index, std::string_view command) override;
  [[nodiscard]] std::string OnSnapshot() const override;
  bool OnRestore(std::string_view bytes) override;

 private:
  ControlResult ApplyDecoded(const Change& change);
  ControlResult ApplyDecoded(const ClaimCommand& command);

  ConfigState m_config;
  ClaimTable m_claims;
  ConfigCallback m_on_config;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_CONTROL_STATE_MACHINE_H_
