#ifndef CHICORYVALE_SRC_REPLICATION_STATE_MACHINE_H_
#define CHICORYVALE_SRC_REPLICATION_STATE_MACHINE_H_

#include <string>
#include <string_view>

#include "replication/log_types.h"

namespace chicoryvale {

/// Port: what the committed commands act on. Deterministic: equal commands in
/// equal order give equal states and results. Not thread safe.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  /// Applies the committed command at `index`; indexes rise. Returns the result
  /// for whoever proposed it.
  std::string Apply(LogIndex index, std::string_view command) {
    return OnApply(index, command);
  }

  /// Returns the whole state.
  [[nodiscard]] std::string Snapshot() const { return OnSnapshot(); }

  /// Replaces the state by one that Snapshot returned; false if `bytes` are
  /// damaged.
  bool Restore(std::string_view bytes) { return OnRestore(bytes); }

 protected:
  virtual std::string OnApply(LogIndex index, std::string_view command) = 0;
  [[nodiscard]] virtual std::string OnSnapshot() const = 0;
  virtual bool OnRestore(std::string_view bytes) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_STATE_MACHINE_H_
