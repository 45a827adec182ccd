#include "coltsfootshed/Routing/SlotShares.h"

#include <algorithm>
#include <cassert>

namespace coltsfootshed {

/// Adds aRemaining to aShares evenly; the first shares get the remainder.
static void SpreadEvenly(std::vector<std::int64_t>& aShares,
                         std::int64_t aRemaining)
{
  auto count = static_cast<std::int64_t>(aShares.size());
  for (std::int64_t i = 0; i < count; ++i) {
    aShares[i] += aRemaining / count + (i < aRemaining % count ? 1 : 0);
  }
}

std::vector<std::int64_t> MaxMinShares(const Demands& aDemands,
                                       std::int64_t aTotal)
{
  std::vector<std::int64_t> shares(aDemands.size(), 0);
  std::vector<std::pair<std::int64_t, std::size_t>> order;
  for (const auto& [node, demand] : aDemands) {
    order.emplace_back(demand, order.size());
  }
  std::sort(order.begin(), order.end());
  std::int64_t remaining = aTotal;
  auto nodes = static_cast<std::int64_t>(order.size());
  for (const auto& [demand, index] : order) {
    shares[index] = std::min(demand, remaining / nodes);
    remaining -= shares[index];
    --nodes;
  }
  if (!shares.empty()) {
    SpreadEvenly(shares, remaining);
  }
  return shares;
}

std::vector<std::int64_t> SlotsPerTarget(const Demands& aDemands,
                                         std::string_view aNode,
                                         std::size_t aTargets,
                                         std::int64_t aSlots)
{
  std::vector<std::int64_t> out(aTargets, 0);
  auto self = aDemands.find(aNode);
  assert(self != aDemands.end() && "the node must be in aDemands");
  if (aTargets == 0) {
    return out;
  }
  auto total = static_cast<std::int64_t>(aTargets) * aSlots;
  std::vector<std::int64_t> shares = MaxMinShares(aDemands, total);
  auto index = std::distance(aDemands.begin(), self);
  std::int64_t first = 0;
  for (std::ptrdiff_t i = 0; i < index; ++i) {
    first += shares[i];
  }
  for (std::int64_t slot = first; slot < first + shares[index]; ++slot) {
    ++out[static_cast<std::size_t>(slot) % aTargets];
  }
  return out;
}

} // namespace coltsfootshed
