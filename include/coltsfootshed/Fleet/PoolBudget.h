/// \file
/// Disruptions of one pool over all data centres, as kept in the platform
/// under budget/<pool>.
#ifndef COLTSFOOTSHED_FLEET_POOLBUDGET_H
#define COLTSFOOTSHED_FLEET_POOLBUDGET_H

#include "coltsfootshed/Support/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace coltsfootshed {

/// Why a VM counts against its pool's budget.
struct Disruption
{
  std::string dataCentre_;
  std::string operation_;   ///< empty: believed failed
  std::uint64_t fence_ = 0; ///< of the VM's record when it was taken

  bool IsPlanned() const { return !operation_.empty(); }
  bool operator==(const Disruption&) const = default;
};

/// A pool's disruptions by VM.
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

/// Parses ToJson()'s output.
Result<PoolBudget> BudgetFromJson(std::string_view aJson);

/// Key of a pool's budget.
std::string BudgetKey(std::string_view aPool);

} // namespace coltsfootshed

#endif
