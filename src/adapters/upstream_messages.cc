#include "adapters/upstream_messages.h"

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>

#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

/// Reads headers with decimal numbers and records whether one was invalid.
class NumericHeaderReader {
 public:
  explicit NumericHeaderReader(SoupMessageHeaders* headers)
      : m_headers(headers) {}

  /// Returns the number in the header `name`, or nullopt if the header is
  /// absent or invalid.
  template <std::unsigned_integral Number>
  std::optional<Number> OptionalNumber(const char* name) {
    const char* text = soup_message_headers_get_one(m_headers, name);
    if (text == nullptr) return {};
    const std::string_view view(text);
    Number number = 0;
    const auto [end, error] =
        std::from_chars(view.data(), view.data() + view.size(), number);
    if (error == std::errc() && end == view.data() + view.size()) return number;
    m_valid = false;
    return {};
  }

  /// Returns the number in the header `name`, or 0 if the header is absent or
  /// invalid.
  template <std::unsigned_integral Number>
  Number NumberOrZero(const char* name) {
    return OptionalNumber<Number>(name).value_or(0);
  }

  /// Returns whether all headers read so far were valid or absent.
  [[nodiscard]] bool IsValid() const { return m_valid; }

 private:
  SoupMessageHeaders* m_headers;
  bool m_valid = true;
};

SubOutcomeKind OutcomeKindForStatus(guint status, bool not_started) {
  if (status == SOUP_STATUS_OK) return SubOutcomeKind::kAnswered;
  if (status == kStatusSnapshotUnavailable) {
    return SubOutcomeKind::kSnapshotUnavailable;
  }
  return not_started ? SubOutcomeKind::kNotStarted : SubOutcomeKind::kFailed;
}

void AppendNumericHeader(SoupMessageHeaders* headers, const char* name,
                         std::uint64_t value) {
  soup_message_headers_append(headers, name, std::to_string(value).c_str());
}

void AppendHeaders(const SubRequest& request, SoupMessageHeaders* headers) {
  AppendNumericHeader(headers, kHeaderSubRequestId, request.id);
  AppendNumericHeader(headers, kHeaderShard, request.shard);
  AppendNumericHeader(headers, kHeaderMapEpoch, request.snapshot.map_epoch);
  AppendNumericHeader(headers, kHeaderIndexVersion,
                      request.snapshot.index_version);
  AppendNumericHeader(
      headers, kHeaderTimeoutMs,
      static_cast<std::uint64_t>(
          std::chrono::ceil<milliseconds>(request.timeout).count()));
  if (request.request_id.empty()) return;
  soup_message_headers_append(headers, kHeaderRequestId,
                              request.request_id.c_str());
}

}  // namespace

SoupMessage* MakeUpstreamMessage(const SubRequest& request) {
  const std::string url = "http://" + request.replica.host_port + "/" +
                          request.service + "/" + request.method;
  SoupMessage* message = soup_message_new("POST", url.c_str());
  if (message == nullptr) return nullptr;
  AppendHeaders(request, soup_message_get_request_headers(message));
  auto* shared_body = new SharedString(request.body);
  GBytes* bytes = g_bytes_new_with_free_func(
      shared_body->data(), shared_body->size(),
      [](gpointer data) { delete static_cast<SharedString*>(data); },
      shared_body);
  soup_message_set_request_body_from_bytes(message, kProtobufContentType,
                                           bytes);
  g_bytes_unref(bytes);
  // Following a redirect would send the request a second time.
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
  if (request.idempotent) {
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  }
  if (request.fresh_connection) {
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  }
  return message;
}

SubOutcome ParseUpstreamResponse(SoupMessage* message, GBytes* body) {
  NumericHeaderReader headers(soup_message_get_response_headers(message));
  SubOutcome outcome;
  outcome.kind = OutcomeKindForStatus(
      soup_message_get_status(message),
      headers.NumberOrZero<std::uint8_t>(kHeaderNotStarted) == 1);
  outcome.echoed_id = headers.NumberOrZero<SubRequestId>(kHeaderSubRequestId);
  outcome.echoed_shard = headers.NumberOrZero<ShardId>(kHeaderShard);
  outcome.echoed_snapshot = {
      headers.NumberOrZero<std::uint64_t>(kHeaderMapEpoch),
      headers.NumberOrZero<std::uint64_t>(kHeaderIndexVersion)};
  outcome.report.draining =
      headers.NumberOrZero<std::uint8_t>(kHeaderDraining) == 1;
  outcome.report.load = headers.OptionalNumber<std::uint32_t>(kHeaderLoad);
  outcome.report.oldest_version =
      headers.OptionalNumber<std::uint64_t>(kHeaderOldestVersion);
  outcome.report.newest_version =
      headers.OptionalNumber<std::uint64_t>(kHeaderNewestVersion);
  if (!headers.IsValid()) {
    outcome = {};
    outcome.kind = SubOutcomeKind::kMalformed;
    return outcome;
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
  if (size > 0) outcome.body.assign(data, size);
  return outcome;
}

}  // namespace chicoryvale
