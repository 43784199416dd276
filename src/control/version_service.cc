#include "control/version_service.h"

#include <string>
#include <utility>

#include "config/distribution_message.h"

namespace chicoryvale {
namespace {

/// Time for the leader's answer. The entry that asks waits a little longer.
constexpr Duration kLeaderTimeout = milliseconds(250);

std::optional<std::uint64_t> ReadAnswer(const Result<std::string>& bytes) {
  DistributionAnswer answer;
  const bool is_confirmed = bytes && Decode(*bytes, &answer) &&
                            answer.kind == DistributionAnswerKind::kVersion;
  if (!is_confirmed) return std::nullopt;
  return answer.known_version;
}

}  // namespace

VersionService::VersionService(ControlGroup* group, PeerTransport* transport,
                               Address self)
    : m_group(group), m_transport(transport), m_self(std::move(self)) {}

void VersionService::Confirm(bool may_forward, Callback callback) {
  const Address leader = m_group->Status().leader;
  if (leader == m_self) {
    return m_group->ReadVersion(
        [callback = std::move(callback)](Result<std::uint64_t> version) {
          callback(version ? std::optional(*version) : std::nullopt);
        });
  }
  if (!may_forward || leader.host_port.empty()) return callback(std::nullopt);
  m_transport->Call(
      leader, PeerChannel::kConfig,
      Encode(DistributionRequest{
          DistributionRequestKind::kConfirmedVersionOfLeader, {}}),
      kLeaderTimeout,
      [callback = std::move(callback)](const Result<std::string>& bytes) {
        callback(ReadAnswer(bytes));
      });
}

}  // namespace chicoryvale
