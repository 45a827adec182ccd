/// \file
/// Disruptions of one pool in all data centres, stored in the platform under
/// budget/<pool>.
#ifndef COLTSFOOTSHED_FLEET_POOLBUDGET_H
#define COLTSFOOTSHED_FLEET_POOLBUDGET_H

#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// Reason why a VM counts against its pool's availability budget.
struct Disruption
{
  std::string dataCentre_;
  std::string operation_;   ///< as in FleetVm; empty if unplanned
  std::uint64_t fence_ = 0; ///< of the VM when the entry was reserved

  bool IsPlanned() const { return !operation_.empty(); }
  bool operator==(const Disruption&) const = default;
};

/// A pool's disruptions, by VM. A planned operation may reserve an entry only
/// while there are fewer than the pool's max_unavailable.
struct PoolBudget
{
  std::map<std::string, Disruption, std::less<>> disruptions_;

  std::int64_t Size() const
  {
    return static_cast<std::int64_t>(disruptions_.size());
  }
  std::string ToJson() const;
  bool operator==(const PoolBudget&) const = default;
};

/// Parses the output of PoolBudget::ToJson().
Result<PoolBudget> BudgetFromJson(std::string_view aJson);

/// Returns the platform key of a pool's budget.
std::string BudgetKey(std::string_view aPool);

} // namespace coltsfootshed

#endif
