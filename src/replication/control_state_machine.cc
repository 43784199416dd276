#include "replication/control_state_machine.h"

#include <utility>

#include "base/codec.h"
#include "base/hash.h"
#include "config/change_codec.h"

namespace chicoryvale {
namespace {

struct ControlSnapshot {
  std::string config;
  std::string claims;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(config, claims);
  }
};

}  // namespace

std::string EncodeCommand(const ControlCommand& command) {
  return Encode(command);
}

std::string EncodeResult(const ControlResult& result) { return Encode(result); }

bool DecodeCommand(std::string_view bytes, ControlCommand* command) {
  return Decode(bytes, command);
}

bool DecodeResult(std::string_view bytes, ControlResult* result) {
  return Decode(bytes, result);
}

ControlStateMachine::ControlStateMachine(const SchemaRules* rules,
                                         const ClaimTableOptions& claim_options,
                                         std::size_t retained_operations)
    : m_config(rules, retained_operations), m_claims(claim_options) {}

std::uint64_t ControlStateMachine::Hash() const {
  return HashBytes(OnSnapshot());
}

std::string ControlStateMachine::OnApply(LogIndex /*index*/,
                                         std::string_view command) {
  ControlCommand decoded;
  // Every replica refuses the same bytes, so this result is deterministic too.
  if (!DecodeCommand(command, &decoded)) {
    return EncodeResult(ChangeResult{ChangeOutcome::kInvalidChange,
                                     m_config.Config().version,
                                     "the command is malformed"});
  }
  return EncodeResult(std::visit(
      [this](const auto& typed) { return ApplyDecoded(typed); }, decoded));
}

ControlResult ControlStateMachine::ApplyDecoded(const Change& change) {
  const std::uint64_t old_version = m_config.Config().version;
  ChangeResult result = m_config.Apply(change);
  const bool changed = m_config.Config().version != old_version;
  if (changed && m_on_config) m_on_config(m_config.Config());
  return result;
}

ControlResult ControlStateMachine::ApplyDecoded(const ClaimCommand& command) {
  return m_claims.Apply(command);
}

std::string ControlStateMachine::OnSnapshot() const {
  return Encode(
      ControlSnapshot{m_config.EncodeState(), m_claims.EncodeState()});
}

bool ControlStateMachine::OnRestore(std::string_view bytes) {
  ControlSnapshot snapshot;
  if (!Decode(bytes, &snapshot)) return false;
  ClaimTable claims = m_claims;
  if (!claims.DecodeState(snapshot.claims)) return false;
  if (!m_config.DecodeState(snapshot.config)) return false;
  m_claims = std::move(claims);
  if (m_on_config) m_on_config(m_config.Config());
  return true;
}

}  // namespace chicoryvale
