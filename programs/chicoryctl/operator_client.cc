#include "chicoryctl/operator_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "endpoint/message_codec.h"
#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

// Maximum number of rounds of one call. Each round tries all control VMs. There
// are several rounds, so that an election of the leader can complete in
// between.
constexpr int kMaxRounds = 10;
constexpr gulong kRoundPauseMicroseconds = 300'000;

Error ParseError(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("kind") ||
      !json["kind"].is_string()) {
    return {ErrorKind::kInternal, "the response has no error kind: " + body,
            Ran::kMaybe};
  }
  const auto name = json["kind"].get<std::string>();
  const auto found =
      std::ranges::find(AllErrorProperties(), name, &ErrorProperties::name);
  if (found == AllErrorProperties().end()) {
    return {ErrorKind::kInternal, "unknown error kind " + name, Ran::kMaybe};
  }
  const std::string message = json.value("message", std::string());
  return {found->kind, message, found->ran};
}

bool ShouldTryNextVm(const Error& error) {
  using enum ErrorKind;
  return error.kind == kNotLeader || error.kind == kNoQuorum ||
         error.kind == kShuttingDown || error.kind == kUpstreamUnavailable;
}

// Returns whether a call that failed with `error` certainly sent nothing.
bool WasNotSent(const GError* error) {
  return error->domain == G_IO_ERROR &&
         (error->code == G_IO_ERROR_CONNECTION_REFUSED ||
          error->code == G_IO_ERROR_HOST_UNREACHABLE ||
          error->code == G_IO_ERROR_NETWORK_UNREACHABLE);
}

}  // namespace

OperatorClient::OperatorClient(OperatorClientOptions options)
    : m_options(std::move(options)),
      m_session(soup_session_new_with_options(
          "timeout", m_options.timeout_seconds, nullptr)) {}

OperatorClient::~OperatorClient() { g_object_unref(m_session); }

Result<void> OperatorClient::Call(const std::string& path,
                                  const google::protobuf::Message& request,
                                  google::protobuf::Message* answer) {
  const std::string body = SerializeBody(BodyCodec::kJson, request);
  Error last = {ErrorKind::kUpstreamUnavailable,
                "no control VM address is given", Ran::kNo};
  // A call whose response was lost may have been executed, whatever the other
  // control VMs respond.
  bool may_have_run = false;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (round > 0) g_usleep(kRoundPauseMicroseconds);
    for (const std::string& address : m_options.control) {
      const auto reply = Post(address, path, body);
      if (reply && reply->status == SOUP_STATUS_OK) {
        return ParseBody(BodyCodec::kJson, reply->body, answer);
      }
      last = reply ? ParseError(reply->body) : reply.error();
      may_have_run = may_have_run || last.ran != Ran::kNo;
      if (may_have_run && last.ran == Ran::kNo) last.ran = Ran::kMaybe;
      if (!ShouldTryNextVm(last)) return tl::unexpected(last);
    }
  }
  return tl::unexpected(last);
}

Result<OperatorClient::Reply> OperatorClient::Post(const std::string& address,
                                                   const std::string& path,
                                                   const std::string& body) {
  SoupMessage* message =
      soup_message_new("POST", ("http://" + address + path).c_str());
  if (message == nullptr) {
    return MakeError(ErrorKind::kUpstreamUnavailable,
                     "\"" + address + "\" is no valid IP number and port");
  }
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  soup_message_headers_append(headers, "Authorization",
                              ("Bearer " + m_options.token).c_str());
  GBytes* bytes = g_bytes_new(body.data(), body.size());
  soup_message_set_request_body_from_bytes(message, kJsonContentType, bytes);
  g_bytes_unref(bytes);
  GError* error = nullptr;
  GBytes* answer =
      soup_session_send_and_read(m_session, message, nullptr, &error);
  Reply reply;
  reply.status = static_cast<int>(soup_message_get_status(message));
  g_object_unref(message);
  if (answer == nullptr) {
    std::string text = address + ": " + error->message;
    const Ran ran = WasNotSent(error) ? Ran::kNo : Ran::kMaybe;
    g_error_free(error);
    return tl::unexpected<Error>(
        Error{ErrorKind::kUpstreamUnavailable, std::move(text), ran});
  }
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(answer, &size));
  if (size > 0) reply.body.assign(data, size);
  g_bytes_unref(answer);
  return reply;
}

}  // namespace chicoryvale
