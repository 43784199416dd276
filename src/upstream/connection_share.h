#ifndef CHICORYVALE_SRC_UPSTREAM_CONNECTION_SHARE_H_
#define CHICORYVALE_SRC_UPSTREAM_CONNECTION_SHARE_H_

#include <cstdint>

#include "ports/member_view.h"

namespace chicoryvale {

/// Settings of a ConnectionShare.
struct ConnectionShareSettings {
  /// Entries that may run at once, those cut off and not yet retired included.
  /// Equal at all entries, and less than twice the number of entries.
  std::uint32_t seats = 20;
  /// Part of a share kept for replacing silent connections; at least one
  /// connection if the share has two.
  double reserve = 0.1;
};

/// What one process may have open at a replica.
struct ConnectionBudget {
  /// Connections open at once, silent ones that the replica may still count
  /// included.
  std::uint32_t total = 0;
  /// Connections used for requests.
  std::uint32_t usable = 0;
};

/// This process's part of the connections that a replica accepts. Each seat
/// owns a floor for good, so that entries that are cut off go on serving. The
/// rest is divided among the members that hold a share, and used only while the
/// own lease holds and they are more than half of the seats: a process that
/// reached no other has a lease of its own making. A member is no longer
/// counted when it left or its lease ran out, never for being unseen. The sum
/// over all processes stays within the limit (docs/design/connection-share.md).
/// Not thread safe.
class ConnectionShare {
 public:
  /// Returns the budget of a process that counts `holders` members, itself
  /// included, at a replica that accepts `limit` connections.
  static ConnectionBudget Compute(const ConnectionShareSettings& settings,
                                  std::uint32_t limit, std::uint32_t holders,
                                  bool lease_held);

  explicit ConnectionShare(const ConnectionShareSettings& settings)
      : m_settings(settings) {}

  /// Takes the members as they are now; to be called after each change.
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
