#include "replication/election.h"

#include <algorithm>

namespace chicoryvale {
namespace {

std::size_t CountVotersIn(const std::set<NodeId>& nodes,
                          const GroupMembership& membership) {
  return static_cast<std::size_t>(std::ranges::count_if(
      nodes, [&membership](NodeId node) { return IsVoter(membership, node); }));
}

}  // namespace

bool IsUpToDate(const LogPosition& candidate, const LogPosition& own) {
  if (candidate.term != own.term) return candidate.term > own.term;
  return candidate.index >= own.index;
}

bool ShouldGrantVote(const HardState& state, const LogPosition& own,
                     NodeId candidate, Term term, const VoteRequest& request) {
  if (!IsUpToDate({request.last_term, request.last_index}, own)) return false;
  if (request.pre_vote) return term > state.term;
  return term == state.term &&
         (state.voted_for == 0 || state.voted_for == candidate);
}

void Campaign::RecordVote(NodeId voter, bool granted) {
  (granted ? m_granted : m_refused).insert(voter);
}

CampaignStatus Campaign::EvaluateVotes(
    const GroupMembership& membership) const {
  const std::size_t quorum = QuorumSize(membership);
  if (CountVotersIn(m_granted, membership) >= quorum) {
    return CampaignStatus::kWon;
  }
  const std::size_t refused = CountVotersIn(m_refused, membership);
  const std::size_t reachable = CountVoters(membership) - refused;
  return reachable < quorum ? CampaignStatus::kLost
                            : CampaignStatus::kUndecided;
}

}  // namespace chicoryvale
