#include "coltsfootshed/Requests/ServiceState.h"

#include <algorithm>
#include <utility>

namespace coltsfootshed {

/// Waiting requests are handed over to another data centre if the longest
/// expected wait reaches this time.
static constexpr Millis kHandoverWait{ 100 };

ServiceState::ServiceState(const Clock& aClock,
                           std::string aName,
                           const ServiceSpec& aSpec)
  : queue_(aClock, aSpec.queueLimit_)
  , chooser_(aClock)
  , budget_(aSpec.retryRatio_)
  , name_(std::move(aName))
  , spec_(aSpec)
{
}

void ServiceState::SetSpec(const ServiceSpec& aSpec)
{
  spec_ = aSpec;
  queue_.SetLimit(aSpec.queueLimit_);
  budget_.SetRatio(aSpec.retryRatio_);
}

void ServiceState::UpdateTargets(std::span<const std::string> aTargets,
                                 const PeerTable& aPeers,
                                 std::string_view aNode)
{
  Demands demands = aPeers.LocalDemands(name_, reportedDemand_);
  std::vector<std::int64_t> counts =
    SlotsPerTarget(demands, aNode, aTargets.size(), spec_.slots_);
  std::map<std::string, std::int64_t, std::less<>> slots;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    slots.emplace(aTargets[i], counts[i]);
  }
  chooser_.SetSlots(std::move(slots));
  queue_.SetSlots(chooser_.UsableSlots());
}

ServiceLoad ServiceState::TakeLoadReport()
{
  reportedDemand_ = queue_.Demand();
  std::int64_t free = queue_.Slots() - reportedDemand_;
  // Peers may use all free slots but one.
  return { reportedDemand_, std::max<std::int64_t>(0, free - 1) };
}

bool ServiceState::NeedsHandover() const
{
  if (queue_.Waiting() == 0) {
    return false;
  }
  return queue_.Slots() == 0 || queue_.LongestWait() >= kHandoverWait;
}

} // namespace coltsfootshed
