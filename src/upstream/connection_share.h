#ifndef CHICORYVALE_SRC_UPSTREAM_CONNECTION_SHARE_H_
#define CHICORYVALE_SRC_UPSTREAM_CONNECTION_SHARE_H_

#include <cstdint>

#include "ports/member_view.h"

namespace chicoryvale {

/// Settings of a ConnectionShare.
struct ConnectionShareSettings {
  /// Number of entries that may run at once, including entries that are cut off
  /// and not yet retired. Must be equal at all entries, and less than twice the
  /// number of entries.
  std::uint32_t seats = 20;
  /// Fraction of a share that is reserved for replacing dead connections; at
  /// least one connection if the share has two.
  double reserve_ratio = 0.1;
};

/// Number of connections that one process may have to a replica.
struct ConnectionBudget {
  /// Connections open at once, including dead ones that the replica may still
  /// count.
  std::uint32_t total = 0;
  /// Connections used for requests.
  std::uint32_t usable = 0;
};

/// This process's share of the connections that a replica accepts. Each seat
/// permanently owns a floor, so that entries that are cut off continue to
/// serve. The rest of the limit is divided among the members that hold a share.
/// A process uses its part of the rest only while it holds its own lease and
/// these members are more than half of the seats, because a process that
/// reached no other member may have granted the lease to itself. A member stops
/// counting once it has left or its lease has expired, but never because it is
/// unreachable. The sum over all processes stays within the limit
/// (docs/design/connection-share.md). Not thread safe.
class ConnectionShare {
 public:
  /// Returns the budget, at a replica that accepts `limit` connections, of a
  /// process that counts `holders` members with a share, itself included.
  static ConnectionBudget Compute(const ConnectionShareSettings& settings,
                                  std::uint32_t limit, std::uint32_t holders,
                                  bool lease_held);

  explicit ConnectionShare(const ConnectionShareSettings& settings)
      : m_settings(settings) {}

  /// Updates the share from the current members; to be called after each change
  /// of the members.
  void Update(const MemberView& view);

  /// Returns the budget at a replica that accepts `limit` connections.
  [[nodiscard]] ConnectionBudget BudgetFor(std::uint32_t limit) const {
    return Compute(m_settings, limit, m_holders, m_lease_held);
  }

 private:
  ConnectionShareSettings m_settings;
  std::uint32_t m_holders = 1;
  bool m_lease_held = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CONNECTION_SHARE_H_
