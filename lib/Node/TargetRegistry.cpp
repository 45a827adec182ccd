#include "coltsfootshed/Node/TargetRegistry.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"

#include <set>

namespace coltsfootshed {

/// Entries that lapsed with the store come back within two seconds.
static constexpr Millis kGoneAfter{ 2200 };
static constexpr Millis kSweepPause{ 300 };
/// Events gather between watches, each of which is priced; well below the time
/// within which a target that drains must get no more starts.
static constexpr Millis kWatchPause{ 200 };

TargetRegistry::TargetRegistry(event_base* aBase,
                               const Clock& aClock,
                               KeyValueStore& aStore,
                               const WireFormat& aFormat,
                               Listener aListener,
                               std::uint64_t aSeed)
  : clock_(aClock)
  , format_(aFormat)
  , listener_(std::move(aListener))
  , sweepTimer_(aBase, [this] { Sweep(); })
  , follower_(aBase,
              aClock,
              aStore,
              *this,
              { aFormat.registryPrefix_, Millis(2000), kWatchPause },
              aSeed)
{
}

void TargetRegistry::OnSnapshot(std::vector<StoreItem> aItems)
{
  std::set<std::string> listed;
  for (const StoreItem& item : aItems) {
    listed.emplace(keys::After(item.key_, format_.registryPrefix_));
    Apply(item);
  }
  for (const auto& [id, target] : targets_) {
    if (listed.count(id) == 0) {
      missingSince_.try_emplace(id, clock_.Now());
    }
  }
  sweepTimer_.Start(kSweepPause);
}

void TargetRegistry::OnEvent(const StoreEvent& aEvent)
{
  if (!aEvent.deleted_) {
    Apply(aEvent.item_);
    return;
  }
  std::string id(keys::After(aEvent.item_.key_, format_.registryPrefix_));
  if (targets_.count(id) > 0) {
    missingSince_.try_emplace(id, clock_.Now());
    sweepTimer_.Start(kSweepPause);
  }
}

void TargetRegistry::Apply(const StoreItem& aItem)
{
  std::string id(keys::After(aItem.key_, format_.registryPrefix_));
  auto target = format_.readTarget_(id, aItem.value_);
  if (!target) {
    LogBelief("registry-entry-unusable",
              { { "target", id }, { "error", target.error().Text() } });
    if (targets_.count(id) > 0) {
      missingSince_.try_emplace(id, clock_.Now());
      sweepTimer_.Start(kSweepPause);
    }
    return;
  }
  missingSince_.erase(id);
  targets_[id] = *target;
  listener_.onTarget_(*target);
}

void TargetRegistry::Sweep()
{
  for (auto at = missingSince_.begin(); at != missingSince_.end();) {
    if (clock_.Now() - at->second < kGoneAfter) {
      ++at;
      continue;
    }
    std::string id = at->first;
    at = missingSince_.erase(at);
    targets_.erase(id);
    listener_.onGone_(id);
  }
  if (!missingSince_.empty()) {
    sweepTimer_.Start(kSweepPause);
  }
}

} // namespace coltsfootshed
