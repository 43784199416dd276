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

/// Returns whether a log that ends at `candidate` is at least as complete as
/// one that ends at `own` (Ongaro and Ousterhout, In Search of an
/// Understandable Consensus Algorithm, section 5.4.1). Thread safe.
bool IsUpToDate(const LogPosition& candidate, const LogPosition& own);

/// Returns whether a replica in `state`, whose log ends at `own` and which
/// hears no leader, votes for `candidate` in `term`. For a pre-vote: whether it
/// would. Thread safe.
bool GrantsVote(const HardState& state, const LogPosition& own,
                NodeId candidate, Term term, const VoteRequest& request);

/// How a campaign stands.
enum class CampaignStatus : std::uint8_t { kOpen, kWon, kLost };

/// Counts the votes of one campaign: a pre-vote or an election (Ongaro,
/// Consensus: Bridging Theory and Practice, section 9.6). Not thread safe.
class Campaign {
 public:
  Campaign() = default;
  /// Begins a campaign for `term`.
  Campaign(Term term, bool pre_vote) : m_term(term), m_pre_vote(pre_vote) {}

  [[nodiscard]] Term ForTerm() const { return m_term; }
  [[nodiscard]] bool IsPreVote() const { return m_pre_vote; }

  /// Records the answer of `voter`. Doubled answers count once.
  void Record(NodeId voter, bool granted);

  /// Judges the votes by the voters of `membership`.
  [[nodiscard]] CampaignStatus Judge(const GroupMembership& membership) const;

 private:
  Term m_term = 0;
  bool m_pre_vote = false;
  std::set<NodeId> m_granted;
  std::set<NodeId> m_refused;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_ELECTION_H_
