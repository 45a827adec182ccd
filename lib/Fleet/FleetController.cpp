#include "coltsfootshed/Fleet/FleetController.h"

#include <utility>

namespace coltsfootshed {

FleetController::FleetController(std::string aDataCentre)
  : dataCentre_(std::move(aDataCentre))
{
}

/// Returns the pools that VMs of this data centre are in, and those that the
/// document may move them to.
std::vector<std::string> FleetController::PoolsToRead(
  const Document& aDocument) const
{
  std::set<std::string> pools;
  for (const auto& [vm, entry] : fleet_.vms_) {
    pools.insert(entry.pool_);
  }
  for (const auto& [name, pool] : aDocument.pools_) {
    pools.insert(name);
  }
  return { pools.begin(), pools.end() };
}

FleetAction FleetController::Next(const Document& aDocument,
                                  const VmObserver& aObserver,
                                  const LocalVms& aLocalVms)
{
  FleetAction action;
  action.kind_ = FleetAction::Kind::Read;
  if (!hasFleet_) {
    readingPool_.clear();
    action.key_ = FleetKey(dataCentre_);
    return action;
  }
  for (const std::string& pool : PoolsToRead(aDocument)) {
    if (!budgetRevisions_.contains(pool)) {
      readingPool_ = pool;
      action.key_ = BudgetKey(pool);
      return action;
    }
  }
  return Plan(aDocument, aObserver, aLocalVms);
}

FleetAction FleetController::Plan(const Document& aDocument,
                                  const VmObserver& aObserver,
                                  const LocalVms& aLocalVms)
{
  FleetPlanner planner(aDocument, dataCentre_, aObserver, aLocalVms);
  FleetStep step = planner.Next(fleet_, budgets_);
  FleetAction action;
  if (auto* change = std::get_if<ChangeFleet>(&step)) {
    action.kind_ = FleetAction::Kind::Write;
    action.key_ = FleetKey(dataCentre_);
    action.value_ = change->fleet_.ToJson();
    action.revision_ = fleetRevision_;
  } else if (auto* budget = std::get_if<ChangeBudget>(&step)) {
    action.kind_ = FleetAction::Kind::Write;
    action.key_ = BudgetKey(budget->pool_);
    action.value_ = budget->budget_.ToJson();
    action.revision_ = budgetRevisions_.find(budget->pool_)->second;
  } else if (auto* reboot = std::get_if<RebootVm>(&step)) {
    action.kind_ = FleetAction::Kind::Reboot;
    action.reboot_ = std::move(*reboot);
  }
  return action;
}

void FleetController::OnRead(const StoredText& aStored)
{
  if (readingPool_.empty()) {
    auto fleet = FleetFromJson(aStored.revision_ == 0 ? FleetState().ToJson()
                                                      : aStored.text_);
    if (fleet) {
      fleet_ = std::move(*fleet);
      fleetRevision_ = aStored.revision_;
      hasFleet_ = true;
    }
    return;
  }
  auto budget = BudgetFromJson(aStored.revision_ == 0 ? "{}" : aStored.text_);
  if (budget) {
    budgets_[readingPool_] = std::move(*budget);
    budgetRevisions_[readingPool_] = aStored.revision_;
  }
}

void FleetController::OnActionEnded()
{
  hasFleet_ = false;
  budgets_.clear();
  budgetRevisions_.clear();
}

} // namespace coltsfootshed
