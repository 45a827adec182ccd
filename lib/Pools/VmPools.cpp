#include "coltsfootshed/Pools/VmPools.h"

#include "coltsfootshed/Pools/PoolPlanner.h"

namespace coltsfootshed {

/// A list that was requested longer ago is not used.
static constexpr Millis kMaxListAge{ 2500 };
/// A usable list shows the effect of all orders that are older than this.
static constexpr Millis kOrderMemory = kMaxListAge + kVmListLag;

VmPools::VmPools(const Clock& aClock)
  : clock_(aClock)
{
}

void VmPools::SetVms(std::span<const PoolVm> aVms, Millis aRequestedAt)
{
  listed_.clear();
  for (const PoolVm& vm : aVms) {
    listed_.emplace(vm.vm_, vm.pool_);
  }
  requestedAt_ = aRequestedAt;
  for (auto& [vm, times] : moves_) {
    ForgetOldMoves(times);
  }
  std::erase_if(moves_,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void VmPools::ForgetOldMoves(MoveTimes& aTimes) const
{
  std::erase_if(aTimes, [this](const auto& aEntry) {
    return clock_.Now() - aEntry.second > kOrderMemory;
  });
}

void VmPools::NoteMove(const std::string& aVm, const std::string& aPool)
{
  moves_[aVm][aPool] = clock_.Now();
}

void VmPools::ConfirmMove(const std::string& aVm, const std::string& aPool)
{
  moves_[aVm] = { { aPool, clock_.Now() } };
}

std::set<std::string> VmPools::RecentMoves(const std::string& aVm) const
{
  std::set<std::string> pools;
  auto found = moves_.find(aVm);
  if (found != moves_.end()) {
    MoveTimes times = found->second;
    ForgetOldMoves(times);
    for (const auto& [pool, at] : times) {
      pools.insert(pool);
    }
  }
  return pools;
}

bool VmPools::HasLeft(const std::string& aVm, const std::string& aPool) const
{
  auto listed = listed_.find(aVm);
  if (listed == listed_.end() || listed->second == aPool ||
      clock_.Now() - requestedAt_ > kMaxListAge) {
    return false;
  }
  std::set<std::string> moves = RecentMoves(aVm);
  return moves.count(aPool) == 0 && moves.count("") == 0;
}

} // namespace coltsfootshed
