#ifndef CHICORYVALE_TESTS_FAKES_CHANGING_MEMBERS_H_
#define CHICORYVALE_TESTS_FAKES_CHANGING_MEMBERS_H_

#include <algorithm>
#include <utility>
#include <vector>

#include "ports/member_view.h"

namespace chicoryvale {

/// Members that a test changes.
class ChangingMembers : public MemberView {
 public:
  ChangingMembers(MemberInfo self, std::vector<Member> members)
      : m_self(std::move(self)), m_members(std::move(members)) {}

  void SetState(const Address& address, MemberState state) {
    const auto found =
        std::ranges::find_if(m_members, [&address](const Member& member) {
          return member.info.address == address;
        });
    found->state = state;
    for (const Listener& listener : m_listeners) listener();
  }

 protected:
  [[nodiscard]] std::vector<Member> OnMembers() const override {
    return m_members;
  }
  [[nodiscard]] const MemberInfo& OnSelf() const override { return m_self; }
  [[nodiscard]] bool OnOwnLeaseHeld() const override { return true; }
  void OnAddListener(Listener listener) override {
    m_listeners.push_back(std::move(listener));
  }

 private:
  MemberInfo m_self;
  std::vector<Member> m_members;
  std::vector<Listener> m_listeners;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_CHANGING_MEMBERS_H_
