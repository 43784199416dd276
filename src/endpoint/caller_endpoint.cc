#include "endpoint/caller_endpoint.h"

#include <google/protobuf/message.h>

#include <algorithm>
#include <string>
#include <utility>

#include "base/hash.h"
#include "endpoint/error_response.h"
#include "schema/record_merger.h"

namespace chicoryvale {
namespace {

CoverageSummary SummarizeCoverage(const std::vector<ShardCoverage>& coverage) {
  return {static_cast<std::uint32_t>(CountCovered(coverage)),
          static_cast<std::uint32_t>(coverage.size())};
}

std::string FormatCoverage(const std::vector<ShardCoverage>& coverage) {
  const CoverageSummary summary = SummarizeCoverage(coverage);
  return std::to_string(summary.covered) + "/" + std::to_string(summary.asked);
}

std::string FormatMissingShards(const std::vector<ShardCoverage>& coverage) {
  std::string text;
  std::size_t missing_count = 0;
  for (const ShardCoverage& shard : coverage) {
    if (shard.state == ShardState::kCovered) continue;
    if (++missing_count > kMaxListedMissingShards) break;
    if (!text.empty()) text += ", ";
    text += std::to_string(shard.shard);
    text += ":";
    text += ShardStateName(shard.state);
  }
  return text;
}

std::string FormatSnapshot(const SnapshotId& snapshot) {
  return std::to_string(snapshot.map_epoch) + "." +
         std::to_string(snapshot.index_version);
}

/// Returns whether another schema may allow a request that was refused with
/// `kind`.
bool DependsOnSchema(ErrorKind kind) {
  return kind != ErrorKind::kWrongMethod && kind != ErrorKind::kRequestTooLarge;
}

}  // namespace

Result<void> CallerEndpoint::SetConfig(const ClusterConfig& config,
                                       ConfigTrust trust) {
  const std::uint64_t hash = HashBytes(config.schema_text);
  if (m_schema == nullptr || hash != m_schema_hash) {
    auto schema = Schema::Make(config.schema_text);
    if (!schema) return tl::unexpected(schema.error());
    m_schema = std::move(*schema);
    m_schema_hash = hash;
  }
  m_trust = trust;
  m_config_version = config.version;
  return {};
}

void CallerEndpoint::Handle(const HttpRequest& request, HttpResponder respond) {
  ++m_request_count;
  if (!m_accepting) {
    return SendError(
        MakeError(ErrorKind::kShuttingDown, "this VM is shutting down").value(),
        respond);
  }
  if (m_schema == nullptr) {
    return SendError(MakeError(ErrorKind::kNoConfiguration,
                               "this VM has no confirmed configuration yet")
                         .value(),
                     respond);
  }
  const auto parsed = ParseCallerRequest(request, *m_schema);
  if (parsed) return RunQuery(m_schema, *parsed, std::move(respond));
  if (m_freshness == nullptr || !DependsOnSchema(parsed.error().kind)) {
    return SendError(parsed.error(), respond);
  }
  AwaitFreshness(request, std::move(respond));
}

// The method, the field or the workspace may have been added by a change that
// has not arrived here.
void CallerEndpoint::AwaitFreshness(const HttpRequest& request,
                                    HttpResponder respond) {
  const std::weak_ptr<int> alive = m_alive;
  m_freshness->Confirm([this, alive, request, received_at = m_scheduler->Now(),
                        respond = std::move(respond)](bool is_current) {
    if (!alive.expired()) {
      OnFreshness(is_current, request, received_at, respond);
    }
  });
}

void CallerEndpoint::OnFreshness(bool is_current, const HttpRequest& request,
                                 TimePoint received_at, HttpResponder respond) {
  auto parsed = ParseCallerRequest(request, *m_schema);
  if (!parsed && is_current) return SendError(parsed.error(), respond);
  if (!parsed) {
    return SendError({ErrorKind::kNoConfiguration,
                      "this VM cannot confirm now that its schema, which "
                      "refuses the request, is current",
                      Ran::kNo},
                     respond);
  }
  parsed->spec.timeout -= m_scheduler->Now() - received_at;
  if (parsed->spec.timeout <= Duration::zero()) {
    return SendError(
        {ErrorKind::kDeadlineExceeded,
         "the deadline passed while the schema was updated", Ran::kNo},
        respond);
  }
  RunQuery(m_schema, *parsed, std::move(respond));
}

void CallerEndpoint::RunQuery(const std::shared_ptr<const Schema>& schema,
                              const CallerRequest& request,
                              HttpResponder respond) {
  auto mergers = std::make_shared<RecordMergerFactory>(schema, request.method);
  m_runner->Run(request.spec, std::move(mergers),
                [this, schema, method = request.method, codec = request.codec,
                 respond = std::move(respond)](const QueryAnswer& answer) {
                  if (!answer.body) {
                    return SendError(answer.body.error(), respond,
                                     &answer.coverage);
                  }
                  ++m_answer_count;
                  respond(MakeResponse(*schema, *method, codec, answer));
                });
}

HttpResponse CallerEndpoint::MakeResponse(const Schema& schema,
                                          const MethodSchema& method,
                                          BodyCodec codec,
                                          const QueryAnswer& answer) const {
  HttpResponse response;
  response.content_type = ContentTypeOf(codec);
  response.headers = {
      {kHeaderCoverage, FormatCoverage(answer.coverage)},
      {kHeaderSnapshot, FormatSnapshot(answer.snapshot)},
      {kHeaderConfigVersion, std::to_string(m_config_version) +
                                 (m_trust == ConfigTrust::kConfirmed
                                      ? std::string()
                                      : std::string("; unconfirmed"))}};
  const std::string list = FormatMissingShards(answer.coverage);
  if (!list.empty()) response.headers.push_back({kHeaderMissingShards, list});
  if (codec == BodyCodec::kProtobuf) {
    response.body = *answer.body;
    return response;
  }
  const auto message = schema.NewMessage(method.output);
  message->ParseFromString(*answer.body);
  response.body = SerializeBody(codec, *message);
  return response;
}

void CallerEndpoint::SendError(const Error& error, const HttpResponder& respond,
                               const std::vector<ShardCoverage>* coverage) {
  m_errors.Add(error.kind);
  if (coverage == nullptr || coverage->empty()) {
    return respond(ErrorResponse(error));
  }
  respond(ErrorResponse(error, SummarizeCoverage(*coverage)));
}

}  // namespace chicoryvale
