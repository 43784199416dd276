#ifndef CHICORYVALE_SRC_CONTROL_LOCAL_CONTROL_GROUP_H_
#define CHICORYVALE_SRC_CONTROL_LOCAL_CONTROL_GROUP_H_

#include "config/config_state.h"
#include "ports/control_group.h"
#include "schema/schema_change_rules.h"

namespace chicoryvale {

/// A control group of one VM that keeps its state in memory only: for tests
/// and trials of what stands in front of a group. Not thread safe.
class LocalControlGroup : public ControlGroup {
 public:
  /// `self` is told as the leader.
  explicit LocalControlGroup(Address self);

  /// Returns the configuration accepted last.
  [[nodiscard]] const ClusterConfig& Config() const { return m_state.Config(); }

 protected:
  void OnPropose(const Change& change, ChangeCallback callback) override;
  void OnReadConfig(ConfigCallback callback) override;
  void OnChangeMember(const Address& remove, const Address& add,
                      MemberCallback callback) override;
  [[nodiscard]] ControlStatus OnStatus() const override;

 private:
  Address m_self;
  SchemaChangeRules m_rules;
  ConfigState m_state{&m_rules};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_LOCAL_CONTROL_GROUP_H_
