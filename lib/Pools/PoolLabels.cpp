// VMs that carry labels which the work of a pool needs.
#include "coltsfootshed/Pools/PoolPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coltsfootshed {

std::map<std::string, int> PoolPlanner::MissingByLabel(
  const PoolReport& aReport)
{
  std::map<std::string, int> missing;
  Resources size = VmSize(aReport.service_);
  for (const auto& [label, load] : aReport.byLabel_) {
    double vms = VmsFor(
      static_cast<double>(load.cpu_), static_cast<double>(load.memory_), size);
    missing[label] = static_cast<int>(std::ceil(kHeadroom * vms)) -
                     Count(aReport.service_, label);
  }
  return missing;
}

/// The most VMs that its pool lacks of a label that the VM carries: negative if
/// there are more than needed of each, or none of its labels is needed.
int PoolPlanner::LackOn(const PoolVm& aVm) const
{
  int most = std::numeric_limits<int>::min();
  auto labels = byLabel_.find(aVm.pool_);
  if (labels == byLabel_.end()) {
    return most;
  }
  for (const auto& [label, lacks] : labels->second) {
    most = aVm.HasLabel(label) ? std::max(most, lacks) : most;
  }
  return most;
}

/// True if work of a service waits that is fastest on the VM's rack.
bool PoolPlanner::IsWanted(const PoolVm& aVm, std::string_view aService) const
{
  const Report* report = FreshReport(aService);
  return report != nullptr && std::any_of(report->content_.byRack_.begin(),
                                          report->content_.byRack_.end(),
                                          [&](const auto& aEntry) {
                                            return aVm.HasLabel(aEntry.first);
                                          });
}

/// Takes VMs with labels that waiting tasks need and a pool lacks, from the
/// spare pool first, then from wherever they are not needed.
void PoolPlanner::TakeLabelled(const std::string& aService)
{
  for (auto& [label, lacks] : byLabel_[aService]) {
    if (lacks > 0) {
      lacks -= PlanTake({ spare_, aService, lacks, label });
    }
    for (const std::string& other : services_) {
      if (lacks > 0 && other != aService) {
        lacks -= PlanTake({ other, aService, lacks, label });
      }
    }
  }
}

/// Labels that waiting work needs, each with the VMs that lack (or, below
/// zero, are to spare).
std::string PoolPlanner::LacksText(const std::string& aService)
{
  std::string text;
  for (const auto& [label, lacks] : byLabel_[aService]) {
    text += (text.empty() ? "" : " ") + label + ":" + std::to_string(lacks);
  }
  return text;
}

} // namespace coltsfootshed
