// Placement of VMs by the labels that the tasks of a pool need.
#include "coltsfootshed/Pools/PoolPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

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

/// Plans moves of VMs that carry labels which services lack: from the spare
/// pool first, which is divided between them, then from other pools that can
/// give them up.
void PoolPlanner::PlanLabelMoves(std::span<const std::string> aServices)
{
  std::set<std::string> labels;
  for (const std::string& service : aServices) {
    for (const auto& [label, deficit] : labelDeficits_[service]) {
      labels.insert(label);
    }
  }
  for (const std::string& label : labels) {
    std::vector<int> wanted;
    for (const std::string& service : aServices) {
      wanted.push_back(std::max(0, DeficitOf(service, label)));
    }
    std::vector<int> parts = DivideEqually(wanted, CountServing(spare_, label));
    for (std::size_t i = 0; i < aServices.size(); ++i) {
      const std::string& service = aServices[i];
      int missing =
        wanted[i] - PlanTransfer({ spare_, service, parts[i], label });
      for (const std::string& giver : services_) {
        if (giver != service) {
          missing -= PlanTransfer({ giver, service, missing, label });
        }
      }
    }
  }
}

/// Returns how many VMs with a label a service lacks, 0 if it needs none.
int PoolPlanner::DeficitOf(const std::string& aService,
                           const std::string& aLabel) const
{
  auto deficits = labelDeficits_.find(aService);
  if (deficits == labelDeficits_.end()) {
    return 0;
  }
  auto deficit = deficits->second.find(aLabel);
  return deficit == deficits->second.end() ? 0 : deficit->second;
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
