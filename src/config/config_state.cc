#include "config/config_state.h"

#include <cassert>
#include <cereal/types/deque.hpp>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "config/change_codec.h"
#include "config/change_rules.h"

namespace chicoryvale {

ConfigState::ConfigState(const SchemaRules* rules,
                         std::size_t retained_operations)
    : m_rules(rules), m_retained_operations(retained_operations) {
  assert(retained_operations >= 1);
}

ChangeResult ConfigState::Apply(const Change& change) {
  if (change.operation_id.empty() ||
      change.operation_id.size() > kMaxOperationIdBytes) {
    return {ChangeOutcome::kInvalidChange, m_config.version,
            "the operation id must have 1 to " +
                std::to_string(kMaxOperationIdBytes) + " bytes"};
  }
  const std::uint64_t fingerprint = HashBytes(EncodeChange(change));
  const auto known = m_operation_by_id.find(change.operation_id);
  if (known != m_operation_by_id.end()) {
    const Operation& first = m_operations[known->second - m_first_operation];
    if (first.fingerprint == fingerprint) return first.result;
    return {ChangeOutcome::kOperationIdReused, m_config.version,
            "operation id \"" + change.operation_id +
                "\" was used by another change"};
  }
  ChangeResult result = Decide(change);
  Remember({change.operation_id, fingerprint, result});
  return result;
}

ChangeResult ConfigState::Decide(const Change& change) {
  const auto* routing = std::get_if<ReplaceRouting>(&change.payload);
  if (routing != nullptr) {
    if (routing->document.version <= m_config.routing.version) {
      return {ChangeOutcome::kAccepted, m_config.version, {}};
    }
  } else if (change.expected_version != m_config.version) {
    return {ChangeOutcome::kVersionConflict, m_config.version,
            "expected version " + std::to_string(change.expected_version) +
                ", current version " + std::to_string(m_config.version)};
  }
  if (auto fault = FindFault(m_config, change, m_rules)) {
    return {ChangeOutcome::kInvalidChange, m_config.version, *std::move(fault)};
  }
  ApplyPayload(change, &m_config);
  ++m_config.version;
  return {ChangeOutcome::kAccepted, m_config.version, {}};
}

void ConfigState::Remember(Operation operation) {
  if (m_operations.size() == m_retained_operations) {
    m_operation_by_id.erase(m_operations.front().id);
    m_operations.pop_front();
    ++m_first_operation;
  }
  m_operation_by_id.emplace(operation.id,
                            m_first_operation + m_operations.size());
  m_operations.push_back(std::move(operation));
}

std::string ConfigState::EncodeState() const {
  BoundedOutputArchive archive;
  archive(m_config, m_operations);
  return archive.Take();
}

bool ConfigState::DecodeState(std::string_view bytes) {
  std::pair<ClusterConfig, std::deque<Operation>> decoded;
  try {
    BoundedInputArchive archive(bytes);
    archive(decoded.first, decoded.second);
    if (archive.Remaining() != 0) return false;
  } catch (const cereal::Exception&) {
    return false;
  }
  m_config = std::move(decoded.first);
  m_operations.clear();
  m_operation_by_id.clear();
  m_first_operation = 0;
  for (Operation& operation : decoded.second) Remember(std::move(operation));
  return true;
}

std::uint64_t ConfigState::Hash() const { return HashBytes(EncodeState()); }

}  // namespace chicoryvale
