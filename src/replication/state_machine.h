#ifndef CHICORYVALE_SRC_REPLICATION_STATE_MACHINE_H_
#define CHICORYVALE_SRC_REPLICATION_STATE_MACHINE_H_

#include <string>
#include <string_view>

#include "replication/log_types.h"

namespace chicoryvale {

/// Interface to the state machine to which a replica applies committed
/// commands. It must be deterministic: the same commands in the same order give
/// the same states and results. Not thread safe.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  /// Applies the committed command at `index` and returns the result for the
  /// proposer. Indexes increase from call to call.
  std::string Apply(LogIndex index, std::string_view command) {
    return OnApply(index, command);
  }

  /// Returns the complete state as bytes.
  [[nodiscard]] std::string Snapshot() const { return OnSnapshot(); }

  /// Replaces the state by one that Snapshot returned. Returns false if `bytes`
  /// are malformed.
  bool Restore(std::string_view bytes) { return OnRestore(bytes); }

 protected:
  virtual std::string OnApply(LogIndex index, std::string_view command) = 0;
  [[nodiscard]] virtual std::string OnSnapshot() const = 0;
  virtual bool OnRestore(std::string_view bytes) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_STATE_MACHINE_H_
