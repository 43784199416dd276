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

/// Identifies a query in admission; 0 is never used.
using AdmissionTicket = std::uint64_t;

/// The weight of a workspace, relative to that of the others.
struct WorkspaceWeight {
  std::string workspace;
  /// 0 counts as 1.
  std::uint32_t weight = 1;
};

/// A query that waits.
struct WaitingQuery {
  AdmissionTicket ticket = 0;
  std::string workspace;
  TimePoint deadline{};
};

/// Queries that wait, taken from the workspaces in proportion to their weights,
/// and within one in order of deadline. Source: Goyal, Vin and Cheng,
/// "Start-time Fair Queueing", 1996. Not thread safe.
class FairQueue {
 public:
  /// Sets the weights; workspaces that are not named have a weight of 1.
  void SetWeights(const std::vector<WorkspaceWeight>& weights);

  /// Adds a query; its ticket is not in the queue.
  void Push(const WaitingQuery& query);

  /// Whether a query of the workspace may be taken.
  using Filter = std::function<bool(const std::string& workspace)>;

  /// Takes the query whose turn it is among the workspaces that pass `filter`;
  /// nothing if they have none waiting.
  std::optional<WaitingQuery> Pop(const Filter& filter);

  /// Returns the weight of `workspace`, relative to the others'.
  [[nodiscard]] double Weight(const std::string& workspace) const;

  /// Removes a query; does nothing if it is not in the queue.
  void Remove(const WaitingQuery& query);

  /// Removes and returns the queries whose deadline is before `time`.
  std::vector<WaitingQuery> TakeDueBefore(TimePoint time);

  /// Removes and returns the query with the latest deadline of `workspace`,
  /// which has one waiting.
  WaitingQuery TakeLast(const std::string& workspace);

  /// Returns the workspace with the most waiting queries for its weight, the
  /// queue not being empty.
  [[nodiscard]] std::string LongestForShare() const;

  [[nodiscard]] std::size_t Size() const { return m_size; }
  [[nodiscard]] std::size_t Size(const std::string& workspace) const;

  /// Returns the earliest deadline in the queue; TimePoint::max() if empty.
  [[nodiscard]] TimePoint EarliestDeadline() const;

 private:
  /// Idle workspaces beyond this number are forgotten.
  static constexpr std::size_t kMaxIdle = 1024;

  using Key = std::pair<TimePoint, AdmissionTicket>;
  struct Workspace {
    double weight = 1;
    /// Virtual time at which its next query starts.
    double start = 0;
    std::map<Key, WaitingQuery> waiting;
  };
  using Workspaces = std::unordered_map<std::string, Workspace>;

  Workspace& Find(const std::string& name);
  WaitingQuery Take(Workspace* workspace,
                    std::map<Key, WaitingQuery>::iterator);

  std::unordered_map<std::string, double> m_weights;
  Workspaces m_workspaces;
  double m_virtual_time = 0;
  std::size_t m_size = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_FAIR_QUEUE_H_
