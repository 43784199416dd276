#include "config/config_state.h"

#include <cassert>
#include <cereal/types/deque.hpp>
#include <utility>

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
  const auto found = m_operation_number_by_id.find(change.operation_id);
  if (found != m_operation_number_by_id.end()) {
    const Operation& recorded =
        m_operations[found->second - m_first_operation_number];
    if (recorded.fingerprint == fingerprint) return recorded.result;
    return {ChangeOutcome::kOperationIdReused, m_config.version,
            "operation id \"" + change.operation_id +
                "\" was used by another change"};
  }
  ChangeResult result = ValidateAndApply(change);
  Record({change.operation_id, fingerprint, result});
  return result;
}

ChangeResult ConfigState::ValidateAndApply(const Change& change) {
  if (IsUnchangedBy(m_config, change)) {
    return {ChangeOutcome::kAccepted, m_config.version, {}};
  }
  if (!IgnoresExpectedVersion(change) &&
      change.expected_version != m_config.version) {
    return {ChangeOutcome::kVersionConflict, m_config.version,
            "expected version " + std::to_string(change.expected_version) +
                ", current version " + std::to_string(m_config.version)};
  }
  if (auto problem = ValidateChange(m_config, change, m_rules)) {
    return {ChangeOutcome::kInvalidChange, m_config.version,
            *std::move(problem)};
  }
  ApplyPayload(change, &m_config);
  ++m_config.version;
  return {ChangeOutcome::kAccepted, m_config.version, {}};
}

void ConfigState::Record(Operation operation) {
  if (m_operations.size() == m_retained_operations) {
    m_operation_number_by_id.erase(m_operations.front().id);
    m_operations.pop_front();
    ++m_first_operation_number;
  }
  m_operation_number_by_id.emplace(
      operation.id, m_first_operation_number + m_operations.size());
  m_operations.push_back(std::move(operation));
}

std::string ConfigState::EncodeState() const {
  BoundedOutputArchive archive;
  archive(m_config, m_operations);
  return archive.ReleaseBytes();
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
  m_operation_number_by_id.clear();
  m_first_operation_number = 0;
  for (Operation& operation : decoded.second) Record(std::move(operation));
  return true;
}

std::uint64_t ConfigState::Hash() const { return HashBytes(EncodeState()); }

}  // namespace chicoryvale
