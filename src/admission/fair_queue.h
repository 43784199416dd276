#ifndef CHICORYVALE_SRC_ADMISSION_FAIR_QUEUE_H_
#define CHICORYVALE_SRC_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// Identifies a query in admission control; 0 is never used.
using AdmissionTicket = std::uint64_t;

/// The weight of a workspace, relative to that of the others.
struct WorkspaceWeight {
  std::string workspace;
  /// 0 is treated as 1.
  std::uint32_t weight = 1;
};

/// A query in the queue.
struct WaitingQuery {
  AdmissionTicket ticket = 0;
  std::string workspace;
  TimePoint deadline{};
};

/// Weighted fair queue of queries: they are removed from the workspaces in
/// proportion to the weights, and within a workspace in order of deadline.
/// Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996. Not thread
/// safe.
class FairQueue {
 public:
  /// Sets the weights. Workspaces without an entry have a weight of 1.
  void SetWeights(const std::vector<WorkspaceWeight>& weights);

  /// Adds a query. Precondition: its ticket is not in the queue.
  void Push(const WaitingQuery& query);

  /// Returns whether a query of `workspace` may be removed from the queue.
  using Filter = std::function<bool(const std::string& workspace)>;

  /// Removes and returns the next query among the workspaces that pass
  /// `filter`. Returns nullopt if none of them has a waiting query.
  std::optional<WaitingQuery> Pop(const Filter& filter);

  /// Returns the weight of `workspace`, relative to that of the others.
  [[nodiscard]] double Weight(const std::string& workspace) const;

  /// Removes a query. Does nothing if it is not in the queue.
  void Remove(const WaitingQuery& query);

  /// Removes and returns the queries whose deadlines are before `time`.
  std::vector<WaitingQuery> RemoveDueBefore(TimePoint time);

  /// Removes and returns the query of `workspace` with the latest deadline.
  /// Precondition: the workspace has a waiting query.
  WaitingQuery RemoveLatest(const std::string& workspace);

  /// Returns the workspace with the most waiting queries relative to its
  /// weight. Precondition: the queue is not empty.
  [[nodiscard]] std::string LongestByWeight() const;

  /// Returns how many of the waiting queries would be removed before a new one
  /// of `workspace`, if the weights are equal.
  [[nodiscard]] std::size_t CountAheadOfNew(const std::string& workspace) const;

  [[nodiscard]] std::size_t Size() const { return m_size; }
  [[nodiscard]] std::size_t Size(const std::string& workspace) const;

  /// Returns the earliest deadline in the queue, or TimePoint::max() if the
  /// queue is empty.
  [[nodiscard]] TimePoint EarliestDeadline() const;

 private:
  /// Idle workspaces are removed once this many workspaces are tracked.
  static constexpr std::size_t kMaxTrackedWorkspaces = 1024;

  using Key = std::pair<TimePoint, AdmissionTicket>;
  struct Workspace {
    double weight = 1;
    /// Virtual time at which the next query of the workspace starts.
    double start_tag = 0;
    std::map<Key, WaitingQuery> waiting;
  };
  using Workspaces = std::unordered_map<std::string, Workspace>;

  Workspace& FindOrCreate(const std::string& name);
  // Removes and returns the given query of `workspace`.
  WaitingQuery Extract(Workspace* workspace,
                       std::map<Key, WaitingQuery>::iterator);

  std::unordered_map<std::string, double> m_weights;
  Workspaces m_workspaces;
  double m_virtual_time = 0;
  std::size_t m_size = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_FAIR_QUEUE_H_
