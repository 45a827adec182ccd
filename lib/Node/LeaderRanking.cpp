#include "coltsfootshed/Node/LeaderRanking.h"

#include "coltsfootshed/Support/Digest.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace coltsfootshed {

/// Bandwidth that a leader needs for each core that it uses: its holds and
/// starts of a few hundred targets are several MB for a second of processor
/// time.
static constexpr double kMbpsPerCore = 100;
/// Smallest part of a core that is taken for real.
static constexpr double kMinShare = 0.01;
/// The last leader's load counts at this part.
static constexpr double kLastLeaderFactor = 0.5;

/// A hand-over pays if the other VM is at most at this part of the load.
static constexpr double kHandOverLoad = 1.0 / 3;
/// A VM that has just become a member may be about to fail again.
static constexpr Millis kMinMembership{ 2000 };

double LoadWithFurtherDuty(const LeaderCandidate& aCandidate)
{
  double room = aCandidate.share_;
  if (aCandidate.linkMbps_ > 0) {
    room = std::min(room, aCandidate.linkMbps_ / kMbpsPerCore);
  }
  return (aCandidate.duties_ + 1) / std::max(room, kMinShare);
}

std::vector<std::string> RankCandidates(
  std::string_view aDuty,
  std::vector<LeaderCandidate> aCandidates)
{
  std::vector<std::tuple<double, bool, std::uint64_t, std::string>> ranked;
  for (LeaderCandidate& candidate : aCandidates) {
    std::string hashInput(aDuty);
    hashInput.append("/").append(candidate.node_);
    double load = LoadWithFurtherDuty(candidate);
    ranked.emplace_back(candidate.wasLeader_ ? kLastLeaderFactor * load : load,
                        !candidate.wasLeader_,
                        Hash64(hashInput),
                        std::move(candidate.node_));
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& entry : ranked) {
    names.push_back(std::move(std::get<std::string>(entry)));
  }
  return names;
}

bool ShouldHandOver(const HandOverInput& aInput, Millis aMinLeadTime)
{
  return aInput.isOverloaded_ && aInput.ledFor_ >= aMinLeadTime &&
         aInput.otherKnownFor_ >= kMinMembership &&
         aInput.otherLoad_ <= kHandOverLoad * aInput.ownLoad_;
}

} // namespace coltsfootshed
