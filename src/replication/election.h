#ifndef CHICORYVALE_SRC_REPLICATION_ELECTION_H_
#define CHICORYVALE_SRC_REPLICATION_ELECTION_H_

#include <cstdint>
#include <set>

#include "replication/log_types.h"
#include "replication/messages.h"

namespace chicoryvale {

/// Term and index of the last entry of a log.
struct LogPosition {
  Term term = 0;
  LogIndex index = 0;
};

/// Returns whether a log that ends at `candidate` is at least as up-to-date as
/// one that ends at `own` (Ongaro and Ousterhout, In Search of an
/// Understandable Consensus Algorithm, section 5.4.1). Thread safe.
bool IsUpToDate(const LogPosition& candidate, const LogPosition& own);

/// Returns whether a replica grants its vote, or its pre-vote, to `candidate`
/// in `term`. The replica has the hard state `state`, a log that ends at `own`,
/// and no contact with a leader. Thread safe.
bool ShouldGrantVote(const HardState& state, const LogPosition& own,
                     NodeId candidate, Term term, const VoteRequest& request);

/// Outcome of the votes received so far.
enum class CampaignStatus : std::uint8_t { kUndecided, kWon, kLost };

/// Counts the votes of one campaign, which is a pre-vote or an election
/// (Ongaro, Consensus: Bridging Theory and Practice, section 9.6). Not thread
/// safe.
class Campaign {
 public:
  Campaign() = default;
  /// Starts a campaign for `term`.
  Campaign(Term term, bool pre_vote) : m_term(term), m_pre_vote(pre_vote) {}

  [[nodiscard]] Term TargetTerm() const { return m_term; }
  [[nodiscard]] bool IsPreVote() const { return m_pre_vote; }

  /// Records the reply of `voter`. Repeated replies count once.
  void RecordVote(NodeId voter, bool granted);

  /// Counts the votes of the voters of `membership`.
  [[nodiscard]] CampaignStatus EvaluateVotes(
      const GroupMembership& membership) const;

 private:
  Term m_term = 0;
  bool m_pre_vote = false;
  std::set<NodeId> m_granted;
  std::set<NodeId> m_refused;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_ELECTION_H_
