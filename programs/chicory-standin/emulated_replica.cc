#include "chicory-standin/emulated_replica.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>
#include <utility>

#include "endpoint/caller_request.h"
#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

namespace pb = google::protobuf;

// Fills each string field of a record with a value that depends on its shard
// and number, so that the records of a merged answer can be told apart and
// counted.
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
  m_counters.Add(ReplicaCounter::kReceived);
  if (request.connection <= m_last_silent_connection) {
    m_counters.Add(ReplicaCounter::kSilenced);
    m_silenced.push_back({request, std::move(respond)});
    return;
  }
  if (!ServesIndexVersion(request)) {
    m_counters.Add(ReplicaCounter::kWrongSnapshot);
    return respond(MakeRefusal(kStatusSnapshotUnavailable));
  }
  if (m_running.size() < m_options.behaviour.slots) {
    return Run({request, std::move(respond)});
  }
  if (m_queue.size() >= m_options.behaviour.queue) {
    m_counters.Add(ReplicaCounter::kShed);
    return respond(MakeRefusal(kStatusShed));
  }
  m_queue.push_back({request, std::move(respond)});
}

bool EmulatedReplica::ServesIndexVersion(const HttpRequest& request) const {
  const std::string text = FindHeader(request.headers, kHeaderIndexVersion);
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, version);
  return !text.empty() && parsed.ptr == end &&
         version >= m_options.behaviour.oldest_index_version &&
         version <= m_options.behaviour.index_version;
}

void EmulatedReplica::Run(PendingRequest pending) {
  m_counters.Add(ReplicaCounter::kRuns);
  const std::string id = FindHeader(pending.request.headers, kHeaderRequestId);
  if (!id.empty() && m_runs_by_id.size() < kMaxRequestIds) ++m_runs_by_id[id];
  const std::string& marker = m_options.behaviour.crash_marker;
  const bool crashes =
      !marker.empty() && pending.request.body.find(marker) != std::string::npos;
  const std::uint64_t run = m_counters.Get(ReplicaCounter::kRuns);
  m_running.emplace(run, std::move(pending));
  if (crashes) {
    m_counters.Add(ReplicaCounter::kCrashes);
    if (m_options.on_crash) m_options.on_crash();
    return;
  }
  m_options.scheduler->Schedule(DrawServiceTime(),
                                [this, run] { Finish(run); });
}

void EmulatedReplica::Finish(std::uint64_t run) {
  auto pending = m_running.extract(run);
  if (pending.empty()) return;
  pending.mapped().respond(MakeAnswer(pending.mapped().request));
  if (m_queue.empty()) return;
  PendingRequest next = std::move(m_queue.front());
  m_queue.pop_front();
  Run(std::move(next));
}

void EmulatedReplica::DropRequests() {
  // Destroying a responder that was not called closes its connection.
  const auto running = std::exchange(m_running, {});
  const auto queue = std::exchange(m_queue, {});
  const auto silenced = std::exchange(m_silenced, {});
}

Duration EmulatedReplica::DrawServiceTime() {
  const ServiceBehaviour& behaviour = m_options.behaviour;
  if (behaviour.median_ms <= 0) return Duration::zero();
  std::lognormal_distribution<double> time(std::log(behaviour.median_ms),
                                           behaviour.sigma);
  std::bernoulli_distribution is_straggler(behaviour.straggler_share);
  double factor = is_straggler(m_random) ? behaviour.straggler_factor : 1;
  if (m_counters.Get(ReplicaCounter::kRuns) <= behaviour.cold_start_requests) {
    factor *= behaviour.cold_start_factor;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(time(m_random) * factor));
}

HttpResponse EmulatedReplica::MakeAnswer(const HttpRequest& request) {
  const auto path = ParseRpcPath(request.path);
  const ServiceSchema* service =
      path ? m_options.schema->FindService(path->service) : nullptr;
  const MethodSchema* method =
      service != nullptr ? FindMethod(*service, path->method) : nullptr;
  if (method == nullptr) return MakeRefusal(404);
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
  AddReportHeaders(&response);
  return response;
}

HttpResponse EmulatedReplica::MakeRefusal(int status) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({kHeaderNotStarted, "1"});
  AddReportHeaders(&response);
  return response;
}

void EmulatedReplica::AddReportHeaders(HttpResponse* response) {
  const ServiceBehaviour& behaviour = m_options.behaviour;
  const auto add = [response](const char* name, std::uint64_t value) {
    response->headers.push_back({name, std::to_string(value)});
  };
  add(kHeaderLoad, ReportedLoad());
  add(kHeaderOldestVersion, behaviour.oldest_index_version);
  add(kHeaderNewestVersion, behaviour.index_version);
  if (behaviour.draining) add(kHeaderDraining, 1);
}

std::uint64_t EmulatedReplica::ReportedLoad() {
  const ServiceBehaviour& behaviour = m_options.behaviour;
  const std::uint64_t load = m_running.size() + m_queue.size();
  const TimePoint now = m_options.scheduler->Now();
  switch (behaviour.load_report) {
    case LoadReportMode::kTrue:
      return load;
    case LoadReportMode::kOpposite: {
      const std::uint64_t capacity =
          std::uint64_t{behaviour.slots} + behaviour.queue;
      return capacity - std::min(capacity, load);
    }
    case LoadReportMode::kLagging:
      if (now - m_load_reported_at < behaviour.load_lag) break;
      m_reported_load.reset();
      break;
    case LoadReportMode::kSticky:
      break;
  }
  if (!m_reported_load) {
    m_reported_load = load;
    m_load_reported_at = now;
  }
  return *m_reported_load;
}

}  // namespace chicoryvale
