#ifndef CHICORYVALE_TESTS_FAKES_LOCAL_CONTROL_GROUP_H_
#define CHICORYVALE_TESTS_FAKES_LOCAL_CONTROL_GROUP_H_

#include <utility>

#include "config/config_state.h"
#include "ports/control_group.h"
#include "schema/schema_change_rules.h"

namespace chicoryvale {

/// ControlGroup of a single VM that keeps its state in memory only. For tests
/// of components that call a control group. Not thread safe.
class LocalControlGroup : public ControlGroup {
 public:
  /// `self` is reported as the leader.
  explicit LocalControlGroup(Address self) : m_self(std::move(self)) {}

  /// Returns the most recently accepted configuration.
  [[nodiscard]] const ClusterConfig& Config() const { return m_state.Config(); }

 protected:
  void OnPropose(const Change& change, ChangeCallback callback) override {
    callback(m_state.Apply(change));
  }

  void OnReadConfig(ConfigCallback callback) override {
    callback(m_state.Config());
  }

  void OnChangeMember(const Address&, const Address&,
                      MemberCallback callback) override {
    callback(MakeError(ErrorKind::kInvalidChange,
                       "a group of one VM in memory has no members to change"));
  }

  void OnRefreshNodes(std::function<void()> done) override { done(); }

  [[nodiscard]] ControlStatus OnStatus() const override {
    return {.term = 1, .leader = m_self, .nodes = {}};
  }

 private:
  Address m_self;
  SchemaChangeRules m_rules;
  ConfigState m_state{&m_rules};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_LOCAL_CONTROL_GROUP_H_
