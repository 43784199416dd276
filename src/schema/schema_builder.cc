#include "schema/schema_builder.h"

#include <algorithm>
#include <chrono>

#include "chicoryvale/options.pb.h"

namespace chicoryvale {
namespace {

namespace pb = google::protobuf;

constexpr std::uint32_t kMaxShardsPerService = 100'000;
constexpr std::uint32_t kDefaultDeadlineMs = 1'000;
constexpr std::uint32_t kMaxDeadlineMs = 600'000;
constexpr std::uint32_t kFullCoveragePer10000 = 10'000;

// Returns `options` with their extensions parsed. The descriptor pool of a
// schema file keeps extensions as unknown fields; parsing the options again
// resolves them with the extensions that are linked into the program.
template <typename Options>
Options ParseExtensions(const Options& options) {
  Options parsed_options;
  parsed_options.ParseFromString(options.SerializeAsString());
  return parsed_options;
}

// Returns whether `field` can be a record key or a routing key.
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
  if (services.empty()) AddError(m_file.name(), "describes no service");
  if (!m_errors.empty()) {
    return MakeError(ErrorKind::kInvalidChange, m_errors);
  }
  return services;
}

ServiceSchema SchemaBuilder::BuildService(
    const pb::ServiceDescriptor& descriptor) {
  ServiceSchema service;
  service.name = descriptor.full_name();
  const auto parsed_options = ParseExtensions(descriptor.options());
  if (!parsed_options.HasExtension(v1::service)) {
    AddError(service.name, "has no option (chicoryvale.v1.service)");
    return service;
  }
  const v1::ServiceOptions& options = parsed_options.GetExtension(v1::service);
  service.shards = options.shards();
  if (service.shards < 1 || service.shards > kMaxShardsPerService) {
    AddError(service.name, "option shards is " +
                               std::to_string(service.shards) + ", not 1 to " +
                               std::to_string(kMaxShardsPerService));
  }
  service.objective = options.objective() == v1::TAIL_LATENCY
                          ? Objective::kTailLatency
                          : Objective::kCoverage;
  for (const v1::Workspace& workspace : options.workspaces()) {
    if (workspace.name().empty()) {
      AddError(service.name, "has a workspace without a name");
    }
    service.workspaces.push_back(
        {workspace.name(), std::max(1U, workspace.share())});
  }
  service.methods.reserve(static_cast<std::size_t>(descriptor.method_count()));
  for (int i = 0; i < descriptor.method_count(); ++i) {
    service.methods.push_back(BuildMethod(*descriptor.method(i)));
  }
  return service;
}

MethodSchema SchemaBuilder::BuildMethod(
    const pb::MethodDescriptor& descriptor) {
  MethodSchema method;
  method.name = descriptor.name();
  method.input = descriptor.input_type();
  method.output = descriptor.output_type();
  if (descriptor.client_streaming() || descriptor.server_streaming()) {
    AddError(descriptor.full_name(), "streams; only unary methods are served");
  }
  const auto parsed_options = ParseExtensions(descriptor.options());
  const v1::MethodOptions& options = parsed_options.GetExtension(v1::method);
  method.idempotent = options.idempotent();
  const std::uint32_t deadline_ms = options.default_deadline_ms() == 0
                                        ? kDefaultDeadlineMs
                                        : options.default_deadline_ms();
  if (deadline_ms > kMaxDeadlineMs) {
    AddError(descriptor.full_name(), "option default_deadline_ms is over " +
                                         std::to_string(kMaxDeadlineMs));
  }
  method.default_deadline = milliseconds(deadline_ms);
  method.min_coverage_per_10000 = options.min_coverage_per_10000();
  if (method.min_coverage_per_10000 > kFullCoveragePer10000) {
    AddError(descriptor.full_name(),
             "option min_coverage_per_10000 is over 10000");
  }
  SetRecords(descriptor, options, &method);
  SetRouting(descriptor, options, &method);
  return method;
}

void SchemaBuilder::SetRecords(const pb::MethodDescriptor& descriptor,
                               const v1::MethodOptions& options,
                               MethodSchema* method) {
  if (options.records().empty()) {
    if (options.fanout() == v1::ALL_SHARDS) {
      AddError(descriptor.full_name(),
               "asks all shards, but option records names no field to merge");
    }
    return;
  }
  method->records = method->output->FindFieldByName(options.records());
  if (method->records == nullptr || !method->records->is_repeated() ||
      method->records->message_type() == nullptr) {
    AddError(descriptor.full_name(),
             "option records: \"" + options.records() +
                 "\" is not a repeated message field of " +
                 method->output->full_name());
    return;
  }
  const pb::Descriptor& record = *method->records->message_type();
  method->record_key = record.FindFieldByName(options.record_key());
  if (method->record_key == nullptr || !IsKeyType(*method->record_key)) {
    AddError(descriptor.full_name(),
             "option record_key: \"" + options.record_key() +
                 "\" is not a string or integer field of " +
                 record.full_name());
  }
}

void SchemaBuilder::SetRouting(const pb::MethodDescriptor& descriptor,
                               const v1::MethodOptions& options,
                               MethodSchema* method) {
  if (options.fanout() != v1::ONE_SHARD) {
    if (!method->idempotent) {
      AddError(descriptor.full_name(),
               "is not idempotent, so it must have fanout ONE_SHARD");
    }
    return;
  }
  method->fanout = Fanout::kOneShard;
  method->routing_key = method->input->FindFieldByName(options.routing_key());
  if (method->routing_key == nullptr || !IsKeyType(*method->routing_key)) {
    AddError(descriptor.full_name(),
             "option routing_key: \"" + options.routing_key() +
                 "\" is not a string or integer field of " +
                 method->input->full_name());
  }
}

void SchemaBuilder::AddError(const std::string& element,
                             const std::string& text) {
  m_errors += "schema.proto: " + element + " " + text + "\n";
}

}  // namespace chicoryvale
