/// \file
/// Plans the next step of a data centre's planned operations: maintenance
/// waves and moves between pools, within the pools' availability budgets.
#ifndef COLTSFOOTSHED_FLEET_FLEETPLANNER_H
#define COLTSFOOTSHED_FLEET_FLEETPLANNER_H

#include "coltsfootshed/Config/Document.h"
#include "coltsfootshed/Fleet/FleetState.h"
#include "coltsfootshed/Fleet/PoolBudget.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace coltsfootshed {

/// What is observed of VMs, beyond the records.
class VmObserver
{
public:
  virtual ~VmObserver() = default;
  /// The VM is believed failed: no planned operation accounts for its absence.
  virtual bool IsFailed(std::string_view aVm) const = 0;
  /// Every entry VM that may send work to it knows that it drains under this
  /// fence, and none has a request under way on it.
  virtual bool IsQuiet(std::string_view aVm, std::uint64_t aFence) const = 0;
  /// The platform has rebooted it for the operation.
  virtual bool IsRebooted(std::string_view aVm,
                          std::string_view aOperation) const = 0;
  /// It answers.
  virtual bool IsAnswering(std::string_view aVm) const = 0;
};

using PoolBudgets = std::map<std::string, PoolBudget, std::less<>>;
/// Racks of a data centre's VMs, by VM, from the platform's list.
using LocalVms = std::map<std::string, std::string, std::less<>>;

/// Nothing to do at present.
struct NoStep
{};
/// Replace the data centre's records.
struct ChangeFleet
{
  FleetState fleet_;
};
/// Replace a pool's budget.
struct ChangeBudget
{
  std::string pool_;
  PoolBudget budget_;
};
/// Ask the platform to reboot a VM.
struct RebootVm
{
  std::string vm_;
  std::string operation_;
};
using FleetStep = std::variant<NoStep, ChangeFleet, ChangeBudget, RebootVm>;

/// Keeps nothing between steps: all that a successor needs is in the records.
/// A budget entry is taken, then the VM is marked; the VM serves again under a
/// new fence, then the entry is released. An entry that is not wanted any more
/// is called off by a new fence first, so that nobody can mark the VM on it.
class FleetPlanner
{
public:
  FleetPlanner(const Document& aDocument,
               std::string_view aDataCentre,
               const VmObserver& aObserver,
               const LocalVms& aLocalVms);

  /// The next step, given records and budgets as read. Budgets that are
  /// missing count as empty.
  FleetStep Next(const FleetState& aFleet, const PoolBudgets& aBudgets) const;

private:
  using Rule = FleetStep (FleetPlanner::*)(const FleetState&,
                                           const PoolBudgets&) const;

  FleetStep KeepRecords(const FleetState& aFleet,
                        const PoolBudgets& aBudgets) const;
  FleetStep KeepBudgets(const FleetState& aFleet,
                        const PoolBudgets& aBudgets) const;
  FleetStep Recall(const FleetState& aFleet, const PoolBudgets& aBudgets) const;
  FleetStep Advance(const FleetState& aFleet,
                    const PoolBudgets& aBudgets) const;
  FleetStep MarkOrCallOff(const FleetState& aFleet,
                          const PoolBudgets& aBudgets) const;
  FleetStep TakeBudget(const FleetState& aFleet,
                       const PoolBudgets& aBudgets) const;

  bool KeepBudget(const FleetState& aFleet,
                  std::string_view aPool,
                  PoolBudget& aBudget) const;
  bool AdvanceVm(FleetState& aFleet,
                 std::string_view aVm,
                 VmEntry& aEntry) const;
  bool IsDisrupted(std::string_view aVm, const VmEntry& aEntry) const;
  std::string WantedOperation(std::string_view aVm,
                              const VmEntry& aEntry) const;
  bool IsInWave(const WaveSpec& aWave,
                std::string_view aVm,
                const VmEntry& aEntry) const;
  bool IsOverBudget(std::string_view aPool, const PoolBudgets& aBudgets) const;
  std::int64_t MostDisruptions(std::string_view aPool) const;
  void EndOperation(FleetState& aFleet, VmEntry& aEntry) const;

  const Document& document_;
  std::string dataCentre_;
  const VmObserver& observer_;
  const LocalVms& localVms_;
  std::map<std::string, std::string, std::less<>> poolOf_; ///< by document
};

} // namespace coltsfootshed

#endif
