#include "coltsfootshed/Fleet/Steward.h"

#include <utility>

namespace coltsfootshed {

Steward::Steward(std::string aDataCentre)
  : dataCentre_(std::move(aDataCentre))
{
}

/// Pools that VMs of this data centre are in, or should be in.
std::vector<std::string> Steward::PoolsToRead(const Document& aDocument) const
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

StewardAction Steward::Next(const Document& aDocument,
                            const VmObserver& aObserver,
                            const LocalVms& aLocalVms)
{
  StewardAction action;
  action.kind_ = StewardAction::Kind::Read;
  if (!hasFleet_) {
    reading_.clear();
    action.key_ = FleetKey(dataCentre_);
    return action;
  }
  for (const std::string& pool : PoolsToRead(aDocument)) {
    if (!budgetRevisions_.contains(pool)) {
      reading_ = pool;
      action.key_ = BudgetKey(pool);
      return action;
    }
  }
  return Plan(aDocument, aObserver, aLocalVms);
}

StewardAction Steward::Plan(const Document& aDocument,
                            const VmObserver& aObserver,
                            const LocalVms& aLocalVms)
{
  FleetPlanner planner(aDocument, dataCentre_, aObserver, aLocalVms);
  FleetStep step = planner.Next(fleet_, budgets_);
  StewardAction action;
  if (auto* change = std::get_if<ChangeFleet>(&step)) {
    action.kind_ = StewardAction::Kind::Write;
    action.key_ = FleetKey(dataCentre_);
    action.value_ = change->fleet_.ToJson();
    action.revision_ = fleetRevision_;
  } else if (auto* budget = std::get_if<ChangeBudget>(&step)) {
    action.kind_ = StewardAction::Kind::Write;
    action.key_ = BudgetKey(budget->pool_);
    action.value_ = budget->budget_.ToJson();
    action.revision_ = budgetRevisions_.find(budget->pool_)->second;
  } else if (auto* reboot = std::get_if<RebootVm>(&step)) {
    action.kind_ = StewardAction::Kind::Reboot;
    action.reboot_ = std::move(*reboot);
  }
  return action;
}

void Steward::OnRead(const StoredText& aStored)
{
  if (reading_.empty()) {
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
    budgets_[reading_] = std::move(*budget);
    budgetRevisions_[reading_] = aStored.revision_;
  }
}

void Steward::OnEnded()
{
  hasFleet_ = false;
  budgets_.clear();
  budgetRevisions_.clear();
}

} // namespace coltsfootshed
