#include "control/local_control_group.h"

#include <utility>

namespace chicoryvale {

LocalControlGroup::LocalControlGroup(Address self) : m_self(std::move(self)) {}

void LocalControlGroup::OnPropose(const Change& change,
                                  ChangeCallback callback) {
  callback(m_state.Apply(change));
}

void LocalControlGroup::OnReadConfig(ConfigCallback callback) {
  callback(m_state.Config());
}

void LocalControlGroup::OnChangeMember(const Address&, const Address&,
                                       MemberCallback callback) {
  callback(MakeError(ErrorKind::kInvalidChange,
                     "a group of one VM in memory has no members to change"));
}

ControlStatus LocalControlGroup::OnStatus() const {
  return {.term = 1, .leader = m_self, .nodes = {}};
}

}  // namespace chicoryvale
