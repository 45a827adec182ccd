/// \file
/// Plans the next step of a data centre's planned operations, which are
/// maintenance waves (rolling reboots) and moves between pools, within the
/// pools' availability budgets.
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

/// Observed state of VMs that the fleet records do not hold.
class VmObserver
{
public:
  virtual ~VmObserver() = default;
  /// Returns true if the VM is believed failed, that is, missing or leaving for
  /// a reason other than a planned operation.
  virtual bool IsFailed(std::string_view aVm) const = 0;
  /// Returns true if every entry VM that may send requests to the VM knows that
  /// it drains under this fence, and none has a request in flight on it.
  virtual bool IsQuiet(std::string_view aVm, std::uint64_t aFence) const = 0;
  /// Returns true if the platform has carried out this reboot of the VM.
  virtual bool IsRebooted(std::string_view aVm,
                          std::string_view aRebootId) const = 0;
  /// Returns true if the VM answered a recent probe.
  virtual bool IsAnswering(std::string_view aVm) const = 0;
};

using PoolBudgets = std::map<std::string, PoolBudget, std::less<>>;
/// Maps each VM of a data centre to its rack, from the platform's list.
using LocalVms = std::map<std::string, std::string, std::less<>>;

/// Nothing to do at present.
struct NoStep
{};
/// Replaces the data centre's fleet records.
struct ChangeFleet
{
  FleetState fleet_;
};
/// Replaces a pool's budget.
struct ChangeBudget
{
  std::string pool_;
  PoolBudget budget_;
};
/// Asks the platform to reboot a VM.
struct RebootVm
{
  std::string vm_;
  std::string rebootId_; ///< requests with the same ID cause one reboot
};
using FleetStep = std::variant<NoStep, ChangeFleet, ChangeBudget, RebootVm>;

/// Keeps no state between steps, so that another process can continue from the
/// records and budgets alone.
///
/// An operation first reserves a budget entry and then sets the VM to draining.
/// When it ends, the VM first returns to service under a new fence, and then
/// the entry is removed. A reserved entry that is no longer wanted is also
/// invalidated by a new fence before it is removed, so that no process can
/// start a drain because of it.
class FleetPlanner
{
public:
  /// aDocument, aObserver and aLocalVms must outlive the planner.
  FleetPlanner(const Document& aDocument,
               std::string_view aDataCentre,
               const VmObserver& aObserver,
               const LocalVms& aLocalVms);

  /// Returns the next step for the records and budgets as read. A missing
  /// budget counts as empty.
  FleetStep Next(const FleetState& aFleet, const PoolBudgets& aBudgets) const;

private:
  using Rule = FleetStep (FleetPlanner::*)(const FleetState&,
                                           const PoolBudgets&) const;

  FleetStep ReconcileRecords(const FleetState& aFleet,
                             const PoolBudgets& aBudgets) const;
  FleetStep ReconcileBudgets(const FleetState& aFleet,
                             const PoolBudgets& aBudgets) const;
  FleetStep CancelDrains(const FleetState& aFleet,
                         const PoolBudgets& aBudgets) const;
  FleetStep AdvanceOperations(const FleetState& aFleet,
                              const PoolBudgets& aBudgets) const;
  FleetStep StartOrCancelReserved(const FleetState& aFleet,
                                  const PoolBudgets& aBudgets) const;
  FleetStep ReserveBudget(const FleetState& aFleet,
                          const PoolBudgets& aBudgets) const;

  bool ReconcileBudget(const FleetState& aFleet,
                       std::string_view aPool,
                       PoolBudget& aBudget) const;
  bool AdvanceVm(FleetState& aFleet,
                 std::string_view aVm,
                 FleetVm& aEntry) const;
  bool HasUnplannedDisruption(std::string_view aVm,
                              const FleetVm& aEntry) const;
  std::string WantedOperation(std::string_view aVm,
                              const FleetVm& aEntry) const;
  bool IsInWave(const WaveSpec& aWave,
                std::string_view aVm,
                const FleetVm& aEntry) const;
  bool IsOverBudget(std::string_view aPool, const PoolBudgets& aBudgets) const;
  std::int64_t MaxDisruptions(std::string_view aPool) const;
  void EndOperation(FleetState& aFleet, FleetVm& aEntry) const;

  const Document& document_;
  std::string dataCentre_;
  const VmObserver& observer_;
  const LocalVms& localVms_;
  /// Pool of each VM according to the document.
  std::map<std::string, std::string, std::less<>> poolOf_;
};

} // namespace coltsfootshed

#endif
