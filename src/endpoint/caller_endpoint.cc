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

CoverageSummary Summarize(const std::vector<ShardCoverage>& coverage) {
  return {static_cast<std::uint32_t>(CountCovered(coverage)),
          static_cast<std::uint32_t>(coverage.size())};
}

std::string CoverageText(const std::vector<ShardCoverage>& coverage) {
  const CoverageSummary summary = Summarize(coverage);
  return std::to_string(summary.covered) + "/" + std::to_string(summary.asked);
}

std::string MissingText(const std::vector<ShardCoverage>& coverage) {
  std::string text;
  std::size_t listed = 0;
  for (const ShardCoverage& shard : coverage) {
    if (shard.state == ShardState::kCovered) continue;
    if (++listed > kMaxListedMissingShards) break;
    if (!text.empty()) text += ", ";
    text += std::to_string(shard.shard);
    text += ":";
    text += ShardStateName(shard.state);
  }
  return text;
}

std::string SnapshotText(const SnapshotId& snapshot) {
  return std::to_string(snapshot.map_epoch) + "." +
         std::to_string(snapshot.index_version);
}

}  // namespace

Result<void> CallerEndpoint::SetConfig(const ClusterConfig& config,
                                       ConfigTrust trust) {
  m_trust = trust;
  const std::uint64_t hash = HashBytes(config.schema_text);
  if (m_schema == nullptr || hash != m_schema_hash) {
    auto schema = Schema::Make(config.schema_text);
    if (!schema) return tl::unexpected(schema.error());
    m_schema = std::move(*schema);
    m_schema_hash = hash;
  }
  m_config_version = config.version;
  return {};
}

void CallerEndpoint::Handle(const HttpRequest& request, HttpResponder respond) {
  ++m_request_count;
  if (!m_accepting) {
    return Fail(
        MakeError(ErrorKind::kShuttingDown, "this VM is shutting down").value(),
        respond);
  }
  if (m_schema == nullptr) {
    return Fail(MakeError(ErrorKind::kNoConfiguration,
                          "this VM has no confirmed configuration yet")
                    .value(),
                respond);
  }
  const auto parsed = ParseCallerRequest(request, *m_schema);
  if (!parsed) return Fail(parsed.error(), respond);
  Run(m_schema, *parsed, std::move(respond));
}

void CallerEndpoint::Run(const std::shared_ptr<const Schema>& schema,
                         const CallerRequest& request, HttpResponder respond) {
  auto mergers = std::make_shared<RecordMergerFactory>(schema, request.method);
  m_runner->Run(request.spec, std::move(mergers),
                [this, schema, method = request.method, codec = request.codec,
                 respond = std::move(respond)](const QueryAnswer& answer) {
                  if (!answer.body) {
                    return Fail(answer.body.error(), respond, &answer.coverage);
                  }
                  ++m_answer_count;
                  respond(Answer(*schema, *method, codec, answer));
                });
}

HttpResponse CallerEndpoint::Answer(const Schema& schema,
                                    const MethodSchema& method, BodyCodec codec,
                                    const QueryAnswer& answer) const {
  HttpResponse response;
  response.content_type = ContentTypeOf(codec);
  response.headers = {
      {kHeaderCoverage, CoverageText(answer.coverage)},
      {kHeaderSnapshot, SnapshotText(answer.snapshot)},
      {kHeaderConfigVersion, std::to_string(m_config_version) +
                                 (m_trust == ConfigTrust::kConfirmed
                                      ? std::string()
                                      : std::string("; unconfirmed"))}};
  const std::string missing = MissingText(answer.coverage);
  if (!missing.empty())
    response.headers.push_back({kHeaderMissingShards, missing});
  if (codec == BodyCodec::kProtobuf) {
    response.body = *answer.body;
    return response;
  }
  const auto message = schema.NewMessage(method.output);
  message->ParseFromString(*answer.body);
  response.body = SerializeBody(codec, *message);
  return response;
}

void CallerEndpoint::Fail(const Error& error, const HttpResponder& respond,
                          const std::vector<ShardCoverage>* coverage) {
  m_errors.Add(error.kind);
  if (coverage == nullptr || coverage->empty()) {
    return respond(ErrorResponse(error));
  }
  respond(ErrorResponse(error, Summarize(*coverage)));
}

}  // namespace chicoryvale
