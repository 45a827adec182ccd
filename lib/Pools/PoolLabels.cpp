// Placement of VMs by the labels that the tasks of a pool need.
#include "coltsfootshed/Pools/PoolPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coltsfootshed {

std::map<std::string, int> PoolPlanner::LabelDeficits(const PoolReport& aReport)
{
  std::map<std::string, int> deficits;
  Resources size = VmSize(aReport.service_);
  for (const auto& [label, load] : aReport.byLabel_) {
    double vms = VmsToCarry(
      static_cast<double>(load.cpu_), static_cast<double>(load.memory_), size);
    deficits[label] = static_cast<int>(std::ceil(kHeadroom * vms)) -
                      CountServing(aReport.service_, label);
  }
  return deficits;
}

/// Returns the largest deficit of the VM's pool over the labels that the VM
/// carries. It is negative if the pool has a surplus of each, and the smallest
/// int if the pool needs none of them.
int PoolPlanner::LargestDeficit(const PoolVm& aVm) const
{
  int largest = std::numeric_limits<int>::min();
  auto labels = labelDeficits_.find(aVm.pool_);
  if (labels == labelDeficits_.end()) {
    return largest;
  }
  for (const auto& [label, deficit] : labels->second) {
    largest = aVm.HasLabel(label) ? std::max(largest, deficit) : largest;
  }
  return largest;
}

/// Returns true if the service has waiting tasks that run fastest on the VM's
/// rack.
bool PoolPlanner::IsNearWaitingWork(const PoolVm& aVm,
                                    std::string_view aService) const
{
  const Report* report = FreshReport(aService);
  return report != nullptr && std::any_of(report->content_.byRack_.begin(),
                                          report->content_.byRack_.end(),
                                          [&](const auto& aEntry) {
                                            return aVm.HasLabel(aEntry.first);
                                          });
}

/// Plans moves of VMs that carry labels which a service lacks: from the spare
/// pool first, then from other pools that can give them up.
void PoolPlanner::PlanLabelMoves(const std::string& aService)
{
  for (auto& [label, deficit] : labelDeficits_[aService]) {
    if (deficit > 0) {
      deficit -= PlanTransfer({ spare_, aService, deficit, label });
    }
    for (const std::string& other : services_) {
      if (deficit > 0 && other != aService) {
        deficit -= PlanTransfer({ other, aService, deficit, label });
      }
    }
  }
}

/// Formats the deficits of a service for the log as "label:deficit" pairs; a
/// negative number is a surplus.
std::string PoolPlanner::DeficitText(const std::string& aService)
{
  std::string text;
  for (const auto& [label, deficit] : labelDeficits_[aService]) {
    text += (text.empty() ? "" : " ") + label + ":" + std::to_string(deficit);
  }
  return text;
}

} // namespace coltsfootshed
