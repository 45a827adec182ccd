/// \file
/// Divides a fleet of VMs between pools that together need more than it has.
#ifndef COLTSFOOTSHED_POOLS_FLEETDIVISION_H
#define COLTSFOOTSHED_POOLS_FLEETDIVISION_H

#include <span>
#include <vector>

namespace coltsfootshed {

/// How many VMs a pool needs, by what it needs them for. Each number includes
/// those before it.
struct PoolDemand
{
  int longRunning_ = 0; ///< for long-running work, and to spread tasks over VMs
  int inTime_ = 0;      ///< for present work that can be in time
  int present_ = 0;     ///< for all present work
  int expected_ = 0;    ///< for expected work and the reserve
};

/// Returns how many of aVms VMs each taker gets: an equal part, but no more
/// than it wants. No number may be negative.
std::vector<int> DivideEqually(std::span<const int> aWanted, int aVms);

/// Returns how many of aVms VMs each pool gets. All pools get what they need
/// for one purpose before any gets VMs for the next; where VMs run out, what is
/// left is divided equally, and no pool gets more than it needs.
std::vector<int> DivideFleet(std::span<const PoolDemand> aDemands, int aVms);

} // namespace coltsfootshed

#endif
