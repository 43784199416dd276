#include "control/claim_service.h"

#include <utility>

#include "base/codec.h"
#include "control/claim_messages.h"
#include "replication/replicated_control_group.h"

namespace chicoryvale {
namespace {

ClaimReply ErrorReply(const Error& error) {
  ClaimReply reply;
  reply.error = static_cast<std::uint8_t>(error.kind);
  reply.message = error.message;
  return reply;
}

ClaimReply ToReply(Result<ClaimResult> result) {
  if (!result) return ErrorReply(result.error());
  ClaimReply reply;
  reply.has_result = true;
  reply.result = std::move(*result);
  return reply;
}

}  // namespace

ClaimService::ClaimService(ReplicatedControlGroup* group,
                           const WallClock* clock, PeerTransport* transport)
    : m_group(group), m_clock(clock) {
  transport->SetHandler(PeerChannel::kClaims,
                        [this](const Address&, const std::string& request,
                               const PeerTransport::Responder& respond) {
                          OnRequest(request, respond);
                        });
}

void ClaimService::OnRequest(const std::string& request,
                             const PeerTransport::Responder& respond) {
  ClaimCommand command;
  if (!DecodeClaim(request, &command)) {
    return respond(Encode(
        ErrorReply({ErrorKind::kMalformedRequest,
                    "the request is not a valid claim command", Ran::kNo})));
  }
  command.leader_unix_ms = m_clock->UnixMs();
  m_group->Claim(command, [respond](Result<ClaimResult> result) {
    respond(Encode(ToReply(std::move(result))));
  });
}

}  // namespace chicoryvale
