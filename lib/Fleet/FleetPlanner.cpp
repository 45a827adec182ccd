#include "coltsfootshed/Fleet/FleetPlanner.h"

#include <algorithm>
#include <array>

namespace coltsfootshed {

static constexpr std::string_view kWavePrefix = "wave/";
static constexpr std::string_view kMovePrefix = "move/";

/// Identifies one reboot. The fence is part of it because the same wave may
/// reboot the VM again under a new fence.
static std::string RebootId(const FleetVm& aEntry)
{
  return aEntry.operation_ + "/" + std::to_string(aEntry.fence_);
}

static const PoolBudget& BudgetOf(const PoolBudgets& aBudgets,
                                  std::string_view aPool)
{
  static const PoolBudget kEmpty;
  auto found = aBudgets.find(aPool);
  return found == aBudgets.end() ? kEmpty : found->second;
}

FleetPlanner::FleetPlanner(const Document& aDocument,
                           std::string_view aDataCentre,
                           const VmObserver& aObserver,
                           const LocalVms& aLocalVms)
  : document_(aDocument)
  , dataCentre_(aDataCentre)
  , observer_(aObserver)
  , localVms_(aLocalVms)
{
  for (const auto& [name, pool] : document_.pools_) {
    for (const std::string& vm : pool.vms_) {
      poolOf_.emplace(vm, name);
    }
  }
}

FleetStep FleetPlanner::Next(const FleetState& aFleet,
                             const PoolBudgets& aBudgets) const
{
  static constexpr std::array<Rule, 6> kRules = {
    &FleetPlanner::ReconcileRecords,      &FleetPlanner::ReconcileBudgets,
    &FleetPlanner::CancelDrains,          &FleetPlanner::AdvanceOperations,
    &FleetPlanner::StartOrCancelReserved, &FleetPlanner::ReserveBudget
  };
  for (Rule rule : kRules) {
    FleetStep step = (this->*rule)(aFleet, aBudgets);
    if (!std::holds_alternative<NoStep>(step)) {
      return step;
    }
  }
  return NoStep{};
}

/// Adds records for VMs that are new in the platform's list and assigned to a
/// pool. Drops records of VMs that are in neither the list nor the document,
/// unless an operation is in progress on them.
FleetStep FleetPlanner::ReconcileRecords(const FleetState& aFleet,
                                         const PoolBudgets&) const
{
  FleetState changed = aFleet;
  for (const auto& [vm, rack] : localVms_) {
    auto pool = poolOf_.find(vm);
    if (pool != poolOf_.end() && !changed.vms_.contains(vm)) {
      FleetVm& added = changed.vms_[vm];
      added.pool_ = pool->second;
      added.fence_ = ++changed.lastFence_;
    }
  }
  std::erase_if(changed.vms_, [this](const auto& aItem) {
    const auto& [vm, entry] = aItem;
    return entry.state_ == VmState::Serving && !localVms_.contains(vm) &&
           !poolOf_.contains(vm);
  });
  if (changed == aFleet) {
    return NoStep{};
  }
  return ChangeFleet{ std::move(changed) };
}

/// Returns true if the VM is out of service for a reason other than a planned
/// operation: it is believed failed, or operators drain it in the document.
bool FleetPlanner::HasUnplannedDisruption(std::string_view aVm,
                                          const FleetVm& aEntry) const
{
  auto pool = document_.pools_.find(aEntry.pool_);
  bool drained = false;
  if (pool != document_.pools_.end()) {
    const auto& drain = pool->second.drain_;
    drained = std::find(drain.begin(), drain.end(), aVm) != drain.end();
  }
  return drained || observer_.IsFailed(aVm);
}

/// Updates this data centre's entries in a pool's budget. Unplanned disruptions
/// are added, and removed once they are over; entries whose operation has ended
/// and entries of VMs that are not in the pool are removed. Returns true if
/// something changed.
bool FleetPlanner::ReconcileBudget(const FleetState& aFleet,
                                   std::string_view aPool,
                                   PoolBudget& aBudget) const
{
  std::size_t released =
    std::erase_if(aBudget.disruptions_, [&](const auto& aItem) {
      const auto& [vm, disruption] = aItem;
      if (disruption.dataCentre_ != dataCentre_) {
        return false;
      }
      auto record = aFleet.vms_.find(vm);
      if (record == aFleet.vms_.end() || record->second.pool_ != aPool) {
        return true;
      }
      if (disruption.IsPlanned()) {
        return record->second.fence_ != disruption.fence_;
      }
      return !HasUnplannedDisruption(vm, record->second);
    });
  bool addedAny = false;
  for (const auto& [vm, entry] : aFleet.vms_) {
    if (entry.pool_ != aPool || aBudget.disruptions_.contains(vm) ||
        !HasUnplannedDisruption(vm, entry)) {
      continue;
    }
    aBudget.disruptions_[vm].dataCentre_ = dataCentre_;
    addedAny = true;
  }
  return addedAny || released > 0;
}

/// Updates the first budget that is out of date.
FleetStep FleetPlanner::ReconcileBudgets(const FleetState& aFleet,
                                         const PoolBudgets& aBudgets) const
{
  std::set<std::string> pools;
  for (const auto& [vm, entry] : aFleet.vms_) {
    pools.insert(entry.pool_);
  }
  for (const auto& [pool, budget] : aBudgets) {
    pools.insert(pool);
  }
  for (const std::string& pool : pools) {
    PoolBudget budget = BudgetOf(aBudgets, pool);
    if (ReconcileBudget(aFleet, pool, budget)) {
      return ChangeBudget{ pool, std::move(budget) };
    }
  }
  return NoStep{};
}

std::int64_t FleetPlanner::MaxDisruptions(std::string_view aPool) const
{
  auto pool = document_.pools_.find(aPool);
  // VMs of a pool that the document no longer lists move out one at a time.
  return pool == document_.pools_.end() ? 1 : pool->second.maxUnavailable_;
}

bool FleetPlanner::IsOverBudget(std::string_view aPool,
                                const PoolBudgets& aBudgets) const
{
  return BudgetOf(aBudgets, aPool).Size() > MaxDisruptions(aPool);
}

/// Returns a VM to service under a new fence, and forgets waves that the
/// document no longer has.
void FleetPlanner::EndOperation(FleetState& aFleet, FleetVm& aEntry) const
{
  aEntry.state_ = VmState::Serving;
  aEntry.operation_.clear();
  aEntry.fence_ = ++aFleet.lastFence_;
  std::erase_if(aEntry.waves_, [this](const std::string& aWave) {
    return !document_.waves_.contains(aWave);
  });
}

/// Cancels a drain if the document no longer asks for the operation, or if
/// failures have put the pool over its budget.
FleetStep FleetPlanner::CancelDrains(const FleetState& aFleet,
                                     const PoolBudgets& aBudgets) const
{
  for (const auto& [vm, entry] : aFleet.vms_) {
    if (entry.state_ != VmState::Draining) {
      continue;
    }
    bool wanted = WantedOperation(vm, entry) == entry.operation_;
    if (wanted && !IsOverBudget(entry.pool_, aBudgets)) {
      continue;
    }
    FleetState changed = aFleet;
    EndOperation(changed, changed.vms_[vm]);
    return ChangeFleet{ std::move(changed) };
  }
  return NoStep{};
}

/// Moves a VM to the next state of its operation. Returns false if the VM has
/// to wait, or has no operation.
bool FleetPlanner::AdvanceVm(FleetState& aFleet,
                             std::string_view aVm,
                             FleetVm& aEntry) const
{
  switch (aEntry.state_) {
    case VmState::Serving:
      return false;
    case VmState::Draining:
      if (!observer_.IsQuiet(aVm, aEntry.fence_)) {
        return false;
      }
      if (aEntry.operation_.starts_with(kMovePrefix)) {
        aEntry.pool_ = aEntry.operation_.substr(kMovePrefix.size());
        EndOperation(aFleet, aEntry);
        return true;
      }
      aEntry.state_ = VmState::Rebooting;
      return true;
    case VmState::Rebooting:
      if (!observer_.IsRebooted(aVm, RebootId(aEntry))) {
        return false;
      }
      aEntry.state_ = VmState::Returning;
      return true;
    case VmState::Returning:
      if (!observer_.IsAnswering(aVm)) {
        return false;
      }
      aEntry.waves_.insert(aEntry.operation_.substr(kWavePrefix.size()));
      EndOperation(aFleet, aEntry);
      return true;
  }
  return false;
}

/// Advances every operation that can go on, then asks for the reboots that are
/// due. The platform ignores a repeated request for the same reboot.
FleetStep FleetPlanner::AdvanceOperations(const FleetState& aFleet,
                                          const PoolBudgets&) const
{
  FleetState changed = aFleet;
  bool advanced = false;
  for (auto& [vm, entry] : changed.vms_) {
    advanced = AdvanceVm(changed, vm, entry) || advanced;
  }
  if (advanced) {
    return ChangeFleet{ std::move(changed) };
  }
  for (const auto& [vm, entry] : aFleet.vms_) {
    if (entry.state_ == VmState::Rebooting) {
      return RebootVm{ vm, RebootId(entry) };
    }
  }
  return NoStep{};
}

/// Returns true if the wave covers the VM. An empty list of pools or racks in
/// the wave covers all of them.
bool FleetPlanner::IsInWave(const WaveSpec& aWave,
                            std::string_view aVm,
                            const FleetVm& aEntry) const
{
  auto matches = [](const std::vector<std::string>& aList,
                    std::string_view aName) {
    return aList.empty() ||
           std::find(aList.begin(), aList.end(), aName) != aList.end();
  };
  auto local = localVms_.find(aVm);
  std::string_view rack;
  if (local != localVms_.end()) {
    rack = local->second;
  }
  return matches(aWave.pools_, aEntry.pool_) && matches(aWave.racks_, rack);
}

/// Returns the operation that the document asks for on a VM, or an empty string
/// if there is none. A move between pools comes before a wave.
std::string FleetPlanner::WantedOperation(std::string_view aVm,
                                          const FleetVm& aEntry) const
{
  auto pool = poolOf_.find(aVm);
  if (pool != poolOf_.end() && pool->second != aEntry.pool_) {
    return std::string(kMovePrefix) + pool->second;
  }
  for (const auto& [name, wave] : document_.waves_) {
    if (!wave.paused_ && !aEntry.waves_.contains(name) &&
        IsInWave(wave, aVm, aEntry)) {
      return std::string(kWavePrefix) + name;
    }
  }
  return "";
}

/// Starts draining a VM that has a budget entry under its current fence. If the
/// operation is no longer wanted or the pool is over its budget, gives the VM a
/// new fence instead, which invalidates the entry.
FleetStep FleetPlanner::StartOrCancelReserved(const FleetState& aFleet,
                                              const PoolBudgets& aBudgets) const
{
  for (const auto& [vm, entry] : aFleet.vms_) {
    const PoolBudget& budget = BudgetOf(aBudgets, entry.pool_);
    auto reserved = budget.disruptions_.find(vm);
    bool isReserved = entry.state_ == VmState::Serving &&
                      reserved != budget.disruptions_.end() &&
                      reserved->second.IsPlanned() &&
                      reserved->second.fence_ == entry.fence_;
    if (!isReserved) {
      continue;
    }
    FleetState changed = aFleet;
    FleetVm& started = changed.vms_[vm];
    const std::string& operation = reserved->second.operation_;
    bool wanted = WantedOperation(vm, entry) == operation;
    if (wanted && !IsOverBudget(entry.pool_, aBudgets)) {
      started.state_ = VmState::Draining;
      started.operation_ = operation;
    } else {
      EndOperation(changed, started);
    }
    return ChangeFleet{ std::move(changed) };
  }
  return NoStep{};
}

/// Reserves a budget entry for a VM that the document asks an operation of.
FleetStep FleetPlanner::ReserveBudget(const FleetState& aFleet,
                                      const PoolBudgets& aBudgets) const
{
  for (const auto& [vm, entry] : aFleet.vms_) {
    const PoolBudget& budget = BudgetOf(aBudgets, entry.pool_);
    bool isFree = entry.state_ == VmState::Serving &&
                  !budget.disruptions_.contains(vm) &&
                  budget.Size() < MaxDisruptions(entry.pool_);
    if (!isFree) {
      continue;
    }
    std::string operation = WantedOperation(vm, entry);
    if (operation.empty()) {
      continue;
    }
    PoolBudget changed = budget;
    changed.disruptions_[vm] = { dataCentre_, operation, entry.fence_ };
    return ChangeBudget{ entry.pool_, std::move(changed) };
  }
  return NoStep{};
}

} // namespace coltsfootshed
