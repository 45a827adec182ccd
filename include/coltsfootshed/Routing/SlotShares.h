/// \file
/// Divides the slots of one service's targets among the entry VMs of their
/// data centre. Every entry VM computes the same division from the same
/// reports, so no coordinator is needed.
#ifndef COLTSFOOTSHED_ROUTING_SLOTSHARES_H
#define COLTSFOOTSHED_ROUTING_SLOTSHARES_H

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Demand of entry VMs by node name: requests running or waiting.
using Demands = std::map<std::string, std::int64_t, std::less<>>;

/// Max-min fair division of aTotal by demand, in order of node name. What is
/// left beyond the demand is divided evenly, so the shares add up to aTotal.
std::vector<std::int64_t> MaxMinShares(const Demands& aDemands,
                                       std::int64_t aTotal);

/// Slots that aNode may use on each of aTargets targets, which have aSlots
/// slots each. aNode must be in aDemands. Over all nodes, each slot of each
/// target is assigned exactly once.
std::vector<std::int64_t> SlotsPerTarget(const Demands& aDemands,
                                         std::string_view aNode,
                                         std::size_t aTargets,
                                         std::int64_t aSlots);

} // namespace coltsfootshed

#endif
