#include "coltsfootshed/Pools/FleetDivision.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace coltsfootshed {

static constexpr std::array kPurposes = { &PoolDemand::longRunning_,
                                          &PoolDemand::inTime_,
                                          &PoolDemand::present_,
                                          &PoolDemand::expected_ };

std::vector<int> DivideEqually(std::span<const int> aWanted, int aVms)
{
  std::vector<std::size_t> bySize(aWanted.size());
  std::iota(bySize.begin(), bySize.end(), 0);
  std::stable_sort(
    bySize.begin(), bySize.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return aWanted[aLeft] < aWanted[aRight];
    });
  std::vector<int> parts(aWanted.size(), 0);
  auto takers = static_cast<int>(aWanted.size());
  for (std::size_t taker : bySize) {
    parts[taker] = std::min(aWanted[taker], aVms / takers);
    aVms -= parts[taker];
    --takers;
  }
  return parts;
}

std::vector<int> DivideFleet(std::span<const PoolDemand> aDemands, int aVms)
{
  std::vector<int> granted(aDemands.size(), 0);
  for (auto purpose : kPurposes) {
    std::vector<int> wanted;
    for (std::size_t i = 0; i < aDemands.size(); ++i) {
      wanted.push_back(std::max(0, aDemands[i].*purpose - granted[i]));
    }
    std::vector<int> parts = DivideEqually(wanted, aVms);
    for (std::size_t i = 0; i < granted.size(); ++i) {
      granted[i] += parts[i];
      aVms -= parts[i];
    }
  }
  return granted;
}

} // namespace coltsfootshed
