/// \file
/// Knows which VMs have certainly left a pool, from the list of VMs, which may
/// be kVmListLag old, and from the orders that may have taken effect since.
#ifndef COLTSFOOTSHED_POOLS_VMPOOLS_H
#define COLTSFOOTSHED_POOLS_VMPOOLS_H

#include "coltsfootshed/Pools/VmCalls.h"
#include "coltsfootshed/Support/Clock.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace coltsfootshed {

class VmPools
{
public:
  explicit VmPools(const Clock& aClock);

  /// Replaces the list of VMs, which was requested at aRequestedAt.
  void SetVms(std::span<const PoolVm> aVms, Millis aRequestedAt);
  /// Notes an order of this or an earlier manager to move a VM that may take
  /// effect now. Has to be repeated while it may still do so. An empty pool is
  /// one that is not known.
  void NoteMove(const std::string& aVm, const std::string& aPool);
  /// Notes that an order to move a VM has taken effect. Orders before it cannot
  /// take effect any more, as their fences are lower.
  void ConfirmMove(const std::string& aVm, const std::string& aPool);
  /// Returns the pools to which recent orders may have moved a VM.
  std::set<std::string> RecentMoves(const std::string& aVm) const;

  /// Returns true if the VM is in another pool than aPool: the list shows it
  /// elsewhere, and no order that the list may not show yet moves it to aPool.
  bool HasLeft(const std::string& aVm, const std::string& aPool) const;

private:
  /// Times at which orders were noted, by pool.
  using MoveTimes = std::map<std::string, Millis>;

  void ForgetOldMoves(MoveTimes& aTimes) const;

  const Clock& clock_;
  std::map<std::string, std::string> listed_; ///< pool, by VM
  Millis requestedAt_{ 0 };                   ///< request of the list
  std::map<std::string, MoveTimes> moves_;    ///< by VM
};

} // namespace coltsfootshed

#endif
