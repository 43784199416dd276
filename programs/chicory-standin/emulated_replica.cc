#include "chicory-standin/emulated_replica.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <cmath>
#include <string>
#include <utility>

#include "endpoint/caller_request.h"
#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

namespace pb = google::protobuf;

// Fills each string field of a record with a value that depends on its shard
// and number, so that a merged answer can be counted again.
void FillRecord(ShardId shard, std::uint32_t number, pb::Message* record) {
  const pb::Descriptor& type = *record->GetDescriptor();
  const std::string text =
      "s" + std::to_string(shard) + "-" + std::to_string(number);
  for (int i = 0; i < type.field_count(); ++i) {
    const pb::FieldDescriptor* field = type.field(i);
    if (field->cpp_type() != pb::FieldDescriptor::CPPTYPE_STRING ||
        field->is_repeated()) {
      continue;
    }
    record->GetReflection()->SetString(record, field,
                                       field->name() + "-" + text);
  }
}

}  // namespace

EmulatedReplica::EmulatedReplica(Options options)
    : m_options(std::move(options)), m_random(m_options.seed) {}

void EmulatedReplica::Handle(const HttpRequest& request,
                             HttpResponder respond) {
  const std::string version = FindHeader(request.headers, kHeaderIndexVersion);
  if (version != std::to_string(m_options.behaviour.index_version)) {
    return respond(Refusal(kStatusSnapshotUnavailable));
  }
  if (m_busy < m_options.behaviour.slots) {
    return Run({request, std::move(respond)});
  }
  if (m_queue.size() >= m_options.behaviour.queue) {
    return respond(Refusal(kStatusShed));
  }
  m_queue.push_back({request, std::move(respond)});
}

void EmulatedReplica::Run(Waiting work) {
  ++m_busy;
  ++m_runs;
  m_options.scheduler->Schedule(
      DrawServiceTime(), [this, work = std::move(work)] { Finish(work); });
}

void EmulatedReplica::Finish(const Waiting& work) {
  --m_busy;
  work.respond(Answer(work.request));
  if (m_queue.empty()) return;
  Waiting next = std::move(m_queue.front());
  m_queue.pop_front();
  Run(std::move(next));
}

Duration EmulatedReplica::DrawServiceTime() {
  const ServiceBehaviour& behaviour = m_options.behaviour;
  if (behaviour.median_ms <= 0) return Duration::zero();
  std::lognormal_distribution<double> time(std::log(behaviour.median_ms),
                                           behaviour.sigma);
  std::bernoulli_distribution straggles(behaviour.straggler_share);
  const double factor = straggles(m_random) ? behaviour.straggler_factor : 1;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(time(m_random) * factor));
}

HttpResponse EmulatedReplica::Answer(const HttpRequest& request) const {
  const auto path = ParseRpcPath(request.path);
  const ServiceSchema* service =
      path ? m_options.schema->FindService(path->service) : nullptr;
  const MethodSchema* method =
      service != nullptr ? FindMethod(*service, path->method) : nullptr;
  if (method == nullptr) return Refusal(404);
  const auto message = m_options.schema->NewMessage(method->output);
  if (method->records == nullptr) {
    FillRecord(m_options.shard, 0, message.get());
  }
  for (std::uint32_t i = 0;
       method->records != nullptr && i < m_options.behaviour.records_per_shard;
       ++i) {
    FillRecord(
        m_options.shard, i,
        message->GetReflection()->AddMessage(message.get(), method->records));
  }
  HttpResponse response;
  response.content_type = kProtobufContentType;
  response.body = message->SerializeAsString();
  for (const char* echoed : {kHeaderSubRequestId, kHeaderShard, kHeaderMapEpoch,
                             kHeaderIndexVersion}) {
    response.headers.push_back({echoed, FindHeader(request.headers, echoed)});
  }
  AddReport(&response);
  return response;
}

HttpResponse EmulatedReplica::Refusal(int status) const {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({kHeaderNotStarted, "1"});
  AddReport(&response);
  return response;
}

void EmulatedReplica::AddReport(HttpResponse* response) const {
  const std::string version = std::to_string(m_options.behaviour.index_version);
  response->headers.push_back(
      {kHeaderLoad, std::to_string(m_busy + m_queue.size())});
  response->headers.push_back({kHeaderOldestVersion, version});
  response->headers.push_back({kHeaderNewestVersion, version});
}

}  // namespace chicoryvale
