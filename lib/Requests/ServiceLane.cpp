#include "coltsfootshed/Requests/ServiceLane.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

/// Work that would wait longer than this goes to another data centre.
static constexpr Millis kOverflowWait{ 100 };

ServiceLane::ServiceLane(const Clock& aClock,
                         std::string aName,
                         const ServiceSpec& aSpec)
  : queue_(aClock, aSpec.queueLimit_)
  , chooser_(aClock)
  , budget_(aSpec.retryRatio_)
  , name_(std::move(aName))
  , spec_(aSpec)
{
}

void ServiceLane::SetSpec(const ServiceSpec& aSpec)
{
  spec_ = aSpec;
  queue_.SetLimit(aSpec.queueLimit_);
  budget_.SetRatio(aSpec.retryRatio_);
}

static bool MayGetWork(const std::string& aVm,
                       const PoolSpec& aPool,
                       const VmTable& aVms,
                       std::string_view aDataCentre)
{
  const VmRecord* record = aVms.Find(aVm);
  bool draining = std::find(aPool.drain_.begin(), aPool.drain_.end(), aVm) !=
                  aPool.drain_.end();
  return record != nullptr && record->dataCentre_ == aDataCentre && !draining &&
         !aVms.IsLeaving(aVm);
}

void ServiceLane::UpdateTargets(const PoolSpec& aPool,
                                const VmTable& aVms,
                                const PeerTable& aPeers,
                                std::string_view aDataCentre,
                                std::string_view aNode)
{
  std::vector<std::string> targets;
  for (const std::string& vm : aPool.vms_) {
    if (MayGetWork(vm, aPool, aVms, aDataCentre)) {
      targets.push_back(vm);
    }
  }
  std::sort(targets.begin(), targets.end());
  Demands demands = aPeers.LocalDemands(name_, reportedDemand_);
  std::vector<std::int64_t> counts =
    SlotsPerTarget(demands, aNode, targets.size(), spec_.slots_);
  std::map<std::string, std::int64_t, std::less<>> slots;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    slots.emplace(targets[i], counts[i]);
  }
  chooser_.SetSlots(std::move(slots));
  queue_.SetSlots(chooser_.UsableSlots());
}

ServiceLoad ServiceLane::TakeLoadReport()
{
  reportedDemand_ = queue_.Demand();
  std::int64_t free = queue_.Slots() - reportedDemand_;
  return { reportedDemand_, std::max<std::int64_t>(0, free - 1) };
}

bool ServiceLane::WantsOverflow() const
{
  if (queue_.Waiting() == 0) {
    return false;
  }
  return queue_.Slots() == 0 || queue_.LongestWait() >= kOverflowWait;
}

} // namespace coltsfootshed
