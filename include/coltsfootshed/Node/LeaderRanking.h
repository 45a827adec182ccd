/// \file
/// Ranks the entry VMs that may lead a vacant duty. Does no input or output.
///
/// Answers several duties that fall vacant at once, among entry VMs of very
/// different sizes, while the load is highest: a duty goes where it can be
/// carried, and VMs that lead little come before those that lead much.
#ifndef COLTSFOOTSHED_NODE_LEADERRANKING_H
#define COLTSFOOTSHED_NODE_LEADERRANKING_H

#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// An entry VM that may lead.
struct LeaderCandidate
{
  std::string node_;
  double share_ = 1;       ///< of one CPU core
  double linkMbps_ = 0;    ///< bandwidth of its link; 0: not known
  int duties_ = 0;         ///< that it leads already
  bool wasLeader_ = false; ///< led this duty last
};

/// Returns how heavily a further duty weighs on a VM; comparable among VMs.
double LoadWithFurtherDuty(const LeaderCandidate& aCandidate);

/// Returns the names of the candidates, best first: by the load that a further
/// duty means, and by rendezvous hashing where that is equal. The last leader,
/// which knows most of the duty's state, comes before others unless one of them
/// has at least twice as much room.
std::vector<std::string> RankCandidates(
  std::string_view aDuty,
  std::vector<LeaderCandidate> aCandidates);

} // namespace coltsfootshed

#endif
