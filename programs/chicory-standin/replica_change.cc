#include "chicory-standin/replica_change.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace chicoryvale {
namespace {

using Json = nlohmann::json;

/// Reads typed fields of a JSON object and records the last error.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : m_object(object) {}

  void Read(const char* key, std::optional<bool>* value) {
    if (const Json* field = Find(key, &Json::is_boolean)) {
      *value = field->get<bool>();
    }
  }
  void Read(const char* key, std::optional<std::string>* value) {
    if (const Json* field = Find(key, &Json::is_string)) {
      *value = field->get<std::string>();
    }
  }
  void Read(const char* key, std::optional<double>* value) {
    if (const Json* field = Find(key, &Json::is_number)) {
      *value = field->get<double>();
      if (**value < 0) m_error = std::string(key) + " is negative";
    }
  }
  template <typename Number>
  void Read(const char* key, std::optional<Number>* value) {
    if (const Json* field = Find(key, &Json::is_number_unsigned)) {
      *value = field->get<Number>();
    }
  }

  /// Returns a description of an unknown key or of the last error; empty if
  /// there is neither.
  std::string ErrorText() {
    for (const auto& [key, value] : m_object.items()) {
      if (!m_known.contains(key)) return "unknown key " + key;
    }
    return m_error;
  }

 private:
  const Json* Find(const char* key, bool (Json::*has_type)() const noexcept) {
    m_known.insert(key);
    const auto found = m_object.find(key);
    if (found == m_object.end()) return nullptr;
    if (((*found).*has_type)()) return &*found;
    m_error = std::string(key) + " has the wrong type";
    return nullptr;
  }

  const Json& m_object;
  std::set<std::string> m_known;
  std::string m_error;
};

template <typename T>
void Assign(const std::optional<T>& from, T* to) {
  if (from) *to = *from;
}

}  // namespace

Result<ReplicaChange> ParseReplicaChange(const std::string& json) {
  const Json object = Json::parse(json, nullptr, false);
  if (!object.is_object()) {
    return MakeError(ErrorKind::kMalformedRequest, "not a JSON object");
  }
  ReplicaChange change;
  FieldReader reader(object);
  reader.Read("service", &change.service);
  reader.Read("shard", &change.shard);
  reader.Read("address", &change.address);
  reader.Read("median_ms", &change.median_ms);
  reader.Read("straggler_share", &change.straggler_share);
  reader.Read("straggler_factor", &change.straggler_factor);
  reader.Read("slots", &change.slots);
  reader.Read("queue", &change.queue);
  reader.Read("index_version", &change.index_version);
  reader.Read("oldest_index_version", &change.oldest_index_version);
  reader.Read("crash_marker", &change.crash_marker);
  reader.Read("draining", &change.draining);
  reader.Read("down", &change.down);
  std::optional<bool> silence;
  reader.Read("silence_connections", &silence);
  change.silence_connections = silence.value_or(false);
  std::optional<std::string> mode;
  reader.Read("load_report", &mode);
  if (mode) change.load_report = ParseLoadReportMode(*mode);
  std::string error = reader.ErrorText();
  if (mode && !change.load_report) error = "unknown load_report " + *mode;
  if (change.straggler_share.value_or(0) > 1) {
    error = "straggler_share is above 1";
  }
  if (!error.empty()) return MakeError(ErrorKind::kMalformedRequest, error);
  return change;
}

void ApplyBehaviour(const ReplicaChange& change, ServiceBehaviour* behaviour) {
  Assign(change.median_ms, &behaviour->median_ms);
  Assign(change.straggler_share, &behaviour->straggler_share);
  Assign(change.straggler_factor, &behaviour->straggler_factor);
  Assign(change.slots, &behaviour->slots);
  Assign(change.queue, &behaviour->queue);
  Assign(change.index_version, &behaviour->index_version);
  Assign(change.oldest_index_version, &behaviour->oldest_index_version);
  Assign(change.crash_marker, &behaviour->crash_marker);
  Assign(change.load_report, &behaviour->load_report);
  Assign(change.draining, &behaviour->draining);
}

}  // namespace chicoryvale
