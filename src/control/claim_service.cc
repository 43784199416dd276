#include "control/claim_service.h"

#include <utility>

#include "base/codec.h"
#include "control/claim_messages.h"
#include "replication/control_state_machine.h"
#include "replication/replica_node.h"

namespace chicoryvale {
namespace {

ClaimReply ErrorReply(const Error& error) {
  ClaimReply reply;
  reply.error = static_cast<std::uint8_t>(error.kind);
  reply.message = error.message;
  return reply;
}

ClaimReply ToReply(const Result<std::string>& bytes) {
  if (!bytes) return ErrorReply(bytes.error());
  ControlResult result;
  if (!DecodeResult(*bytes, &result) ||
      !std::holds_alternative<ClaimResult>(result)) {
    return ErrorReply({ErrorKind::kInternal,
                       "the log answered a claim with bytes that are no "
                       "claim result",
                       Ran::kMaybe});
  }
  ClaimReply reply;
  reply.has_result = true;
  reply.result = std::get<ClaimResult>(std::move(result));
  return reply;
}

}  // namespace

ClaimService::ClaimService(ReplicaNode* node, const WallClock* clock,
                           PeerTransport* peers)
    : m_node(node), m_clock(clock) {
  peers->SetHandler(PeerChannel::kClaims,
                    [this](const Address&, const std::string& request,
                           const PeerTransport::Responder& respond) {
                      Handle(request, respond);
                    });
}

void ClaimService::Handle(const std::string& request,
                          const PeerTransport::Responder& respond) {
  ClaimCommand command;
  if (!DecodeClaim(request, &command)) {
    return respond(Encode(ErrorReply(
        {ErrorKind::kMalformedRequest, "not a claim command", Ran::kNo})));
  }
  command.leader_unix_ms = m_clock->UnixMs();
  m_node->Propose(EncodeCommand(command),
                  [respond](const Result<std::string>& bytes) {
                    respond(Encode(ToReply(bytes)));
                  });
}

}  // namespace chicoryvale
