#include "schema/schema_builder.h"

#include <algorithm>
#include <chrono>

#include "chicoryvale/options.pb.h"

namespace chicoryvale {
namespace {

namespace pb = google::protobuf;

constexpr std::uint32_t kMaxShards = 100'000;
constexpr std::uint32_t kDefaultDeadlineMs = 1'000;
constexpr std::uint32_t kMaxDeadlineMs = 600'000;
constexpr std::uint32_t kFullCoverage = 10'000;

// The pool of a schema file keeps options as unknown fields. Parsed again, the
// linked extension recognises them.
template <typename Options>
Options Reparse(const Options& options) {
  Options known;
  known.ParseFromString(options.SerializeAsString());
  return known;
}

bool IsKeyType(const pb::FieldDescriptor& field) {
  if (field.is_repeated()) return false;
  switch (field.cpp_type()) {
    case pb::FieldDescriptor::CPPTYPE_STRING:
    case pb::FieldDescriptor::CPPTYPE_INT32:
    case pb::FieldDescriptor::CPPTYPE_INT64:
    case pb::FieldDescriptor::CPPTYPE_UINT32:
    case pb::FieldDescriptor::CPPTYPE_UINT64:
      return true;
    default:
      return false;
  }
}

}  // namespace

Result<std::vector<ServiceSchema>> SchemaBuilder::Build() {
  std::vector<ServiceSchema> services;
  services.reserve(static_cast<std::size_t>(m_file.service_count()));
  for (int i = 0; i < m_file.service_count(); ++i) {
    services.push_back(BuildService(*m_file.service(i)));
  }
  if (services.empty()) AddFault(m_file.name(), "describes no service");
  if (!m_faults.empty()) {
    return MakeError(ErrorKind::kInvalidChange, m_faults);
  }
  return services;
}

ServiceSchema SchemaBuilder::BuildService(const pb::ServiceDescriptor& from) {
  ServiceSchema service;
  service.name = from.full_name();
  const auto known = Reparse(from.options());
  if (!known.HasExtension(v1::service)) {
    AddFault(service.name, "has no option (chicoryvale.v1.service)");
    return service;
  }
  const v1::ServiceOptions& options = known.GetExtension(v1::service);
  service.shards = options.shards();
  if (service.shards < 1 || service.shards > kMaxShards) {
    AddFault(service.name, "option shards is " +
                               std::to_string(service.shards) + ", not 1 to " +
                               std::to_string(kMaxShards));
  }
  service.objective = options.objective() == v1::TAIL_LATENCY
                          ? Objective::kTailLatency
                          : Objective::kCoverage;
  for (const v1::Workspace& workspace : options.workspaces()) {
    if (workspace.name().empty()) {
      AddFault(service.name, "has a workspace without a name");
    }
    service.workspaces.push_back(
        {workspace.name(), std::max(1U, workspace.share())});
  }
  service.methods.reserve(static_cast<std::size_t>(from.method_count()));
  for (int i = 0; i < from.method_count(); ++i) {
    service.methods.push_back(BuildMethod(*from.method(i)));
  }
  return service;
}

MethodSchema SchemaBuilder::BuildMethod(const pb::MethodDescriptor& from) {
  MethodSchema method;
  method.name = from.name();
  method.input = from.input_type();
  method.output = from.output_type();
  if (from.client_streaming() || from.server_streaming()) {
    AddFault(from.full_name(), "streams; only unary methods are served");
  }
  const auto known = Reparse(from.options());
  const v1::MethodOptions& options = known.GetExtension(v1::method);
  method.idempotent = options.idempotent();
  const std::uint32_t deadline_ms = options.default_deadline_ms() == 0
                                        ? kDefaultDeadlineMs
                                        : options.default_deadline_ms();
  if (deadline_ms > kMaxDeadlineMs) {
    AddFault(from.full_name(), "option default_deadline_ms is over " +
                                   std::to_string(kMaxDeadlineMs));
  }
  method.default_deadline = milliseconds(deadline_ms);
  method.min_coverage_per_10000 = options.min_coverage_per_10000();
  if (method.min_coverage_per_10000 > kFullCoverage) {
    AddFault(from.full_name(), "option min_coverage_per_10000 is over 10000");
  }
  SetRecords(from, options, &method);
  SetRouting(from, options, &method);
  return method;
}

void SchemaBuilder::SetRecords(const pb::MethodDescriptor& from,
                               const v1::MethodOptions& options,
                               MethodSchema* method) {
  if (options.records().empty()) {
    if (options.fanout() == v1::ALL_SHARDS) {
      AddFault(from.full_name(),
               "asks all shards, but option records names no field to merge");
    }
    return;
  }
  method->records = method->output->FindFieldByName(options.records());
  if (method->records == nullptr || !method->records->is_repeated() ||
      method->records->message_type() == nullptr) {
    AddFault(from.full_name(), "option records: \"" + options.records() +
                                   "\" is not a repeated message field of " +
                                   method->output->full_name());
    return;
  }
  const pb::Descriptor& record = *method->records->message_type();
  method->record_key = record.FindFieldByName(options.record_key());
  if (method->record_key == nullptr || !IsKeyType(*method->record_key)) {
    AddFault(from.full_name(), "option record_key: \"" + options.record_key() +
                                   "\" is not a string or integer field of " +
                                   record.full_name());
  }
}

void SchemaBuilder::SetRouting(const pb::MethodDescriptor& from,
                               const v1::MethodOptions& options,
                               MethodSchema* method) {
  if (options.fanout() != v1::ONE_SHARD) {
    if (!method->idempotent) {
      AddFault(from.full_name(),
               "is not idempotent, so it must have fanout ONE_SHARD");
    }
    return;
  }
  method->fanout = Fanout::kOneShard;
  method->routing_key = method->input->FindFieldByName(options.routing_key());
  if (method->routing_key == nullptr || !IsKeyType(*method->routing_key)) {
    AddFault(from.full_name(), "option routing_key: \"" +
                                   options.routing_key() +
                                   "\" is not a string or integer field of " +
                                   method->input->full_name());
  }
}

void SchemaBuilder::AddFault(const std::string& element,
                             const std::string& text) {
  m_faults += "schema.proto: " + element + " " + text + "\n";
}

}  // namespace chicoryvale
