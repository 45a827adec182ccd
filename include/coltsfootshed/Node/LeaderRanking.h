/// \file
/// Ranks the entry VMs that may lead a vacant duty. Does no input or output.
///
/// Answers several duties that fall vacant at once, among entry VMs of very
/// different sizes, while the load is highest: a duty goes where it can be
/// carried, and VMs that lead little come before those that lead much.
#ifndef COLTSFOOTSHED_NODE_LEADERRANKING_H
#define COLTSFOOTSHED_NODE_LEADERRANKING_H

#include "coltsfootshed/Support/Clock.h"

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

/// What decides whether a leader hands its duty over.
struct HandOverInput
{
  bool isOverloaded_ = false; ///< the leader's VM is short of processor time
  double ownLoad_ = 0;        ///< of the leader's VM, with the duty
  double otherLoad_ = 0; ///< of the best other VM, if it had the duty as well
  Millis ledFor_{ 0 };
  Millis otherKnownFor_{ 0 }; ///< since the other VM became a member
};

/// Returns true if the duty should move now. The gain has to be large, as the
/// successor reads the saved state and asks all targets before it continues.
bool ShouldHandOver(const HandOverInput& aInput, Millis aMinLeadTime);

} // namespace coltsfootshed

#endif
