#ifndef CHICORYVALE_PROGRAMS_CHICORY_STANDIN_REPLICA_CHANGE_H_
#define CHICORYVALE_PROGRAMS_CHICORY_STANDIN_REPLICA_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chicory-standin/standin_settings.h"
#include "chicoryvale/error.h"

namespace chicoryvale {

/// A change of the behaviour of some replicas at run time. Absent fields leave
/// the behaviour unchanged.
struct ReplicaChange {
  /// These three fields select the replicas to change: those that match each of
  /// the fields that is present.
  std::optional<std::string> service;
  std::optional<std::uint32_t> shard;
  std::optional<std::string> address;

  std::optional<double> median_ms;
  std::optional<double> straggler_share;
  std::optional<double> straggler_factor;
  std::optional<std::uint32_t> slots;
  std::optional<std::uint32_t> queue;
  std::optional<std::uint64_t> index_version;
  std::optional<std::uint64_t> oldest_index_version;
  std::optional<std::string> crash_marker;
  std::optional<LoadReportMode> load_report;
  std::optional<bool> draining;
  /// True: refuses new connections and closes the open ones. False: accepts
  /// connections again.
  std::optional<bool> down;
  /// Leaves all further requests on the connections that are open at the time
  /// of the change without an answer.
  bool silence_connections = false;
};

/// Parses a change from a JSON object whose keys are the fields' names. Returns
/// kMalformedRequest for unknown keys, wrong types and negative numbers.
Result<ReplicaChange> ParseReplicaChange(const std::string& json);

/// Applies the fields of `change` that concern the behaviour.
void ApplyBehaviour(const ReplicaChange& change, ServiceBehaviour* behaviour);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_REPLICA_CHANGE_H_
