#ifndef CHICORYVALE_TESTS_FAKES_FIXED_MEMBERS_H_
#define CHICORYVALE_TESTS_FAKES_FIXED_MEMBERS_H_

#include <utility>
#include <vector>

#include "ports/member_view.h"

namespace chicoryvale {

/// Fixed members that a test provides.
class FixedMembers : public MemberView {
 public:
  FixedMembers(MemberInfo self, std::vector<Member> members)
      : m_self(std::move(self)), m_members(std::move(members)) {}

 protected:
  [[nodiscard]] std::vector<Member> OnMembers() const override {
    return m_members;
  }
  [[nodiscard]] const MemberInfo& OnSelf() const override { return m_self; }
  [[nodiscard]] bool OnOwnLeaseHeld() const override { return true; }
  void OnAddListener(Listener /*listener*/) override {}

 private:
  MemberInfo m_self;
  std::vector<Member> m_members;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FIXED_MEMBERS_H_
