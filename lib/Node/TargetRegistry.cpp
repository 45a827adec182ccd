#include "coltsfootshed/Node/TargetRegistry.h"

#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Store/Keys.h"

#include <set>

namespace coltsfootshed {

/// A target is dropped this long after its entry vanished. Entries that expired
/// during an outage of the store are back within two seconds.
static constexpr Millis kRemovalDelay{ 2200 };
static constexpr Millis kSweepInterval{ 300 };
/// Pause between watches, so that one watch call, each of which is charged,
/// returns several events. It is well below the time within which a draining
/// target must stop getting new runs.
static constexpr Millis kWatchPause{ 200 };

TargetRegistry::TargetRegistry(event_base* aBase,
                               const Clock& aClock,
                               KeyValueStore& aStore,
                               const WireFormat& aFormat,
                               Listener aListener,
                               Millis aLongestWatch,
                               std::uint64_t aSeed)
  : clock_(aClock)
  , format_(aFormat)
  , listener_(std::move(aListener))
  , sweepTimer_(aBase, [this] { Sweep(); })
  , follower_(aBase,
              aClock,
              aStore,
              *this,
              { aFormat.registryPrefix_, aLongestWatch, kWatchPause },
              aSeed)
{
}

void TargetRegistry::OnSnapshot(std::vector<StoreItem> aItems)
{
  std::set<std::string> listed;
  for (const StoreItem& item : aItems) {
    listed.emplace(keys::SuffixAfter(item.key_, format_.registryPrefix_));
    Apply(item);
  }
  std::erase_if(unusable_, [&](const auto& aEntry) {
    return listed.count(aEntry.first) == 0;
  });
  for (const auto& [id, target] : targets_) {
    if (listed.count(id) == 0) {
      missingSince_.try_emplace(id, clock_.Now());
    }
  }
  sweepTimer_.Start(kSweepInterval);
}

void TargetRegistry::OnEvent(const StoreEvent& aEvent)
{
  if (!aEvent.deleted_) {
    Apply(aEvent.item_);
    return;
  }
  std::string id(keys::SuffixAfter(aEvent.item_.key_, format_.registryPrefix_));
  unusable_.erase(id);
  if (targets_.count(id) > 0) {
    missingSince_.try_emplace(id, clock_.Now());
    sweepTimer_.Start(kSweepInterval);
  }
}

void TargetRegistry::Apply(const StoreItem& aItem)
{
  std::string id(keys::SuffixAfter(aItem.key_, format_.registryPrefix_));
  auto target = format_.readTarget_(id, aItem.value_);
  if (!target) {
    // The range may be read many times while the entry stays the same.
    Revision& logged = unusable_[id];
    if (logged != aItem.revision_) {
      logged = aItem.revision_;
      LogStateChange("registry-entry-unusable",
                     { { "target", id },
                       { "revision", std::to_string(aItem.revision_) },
                       { "error", target.error().Text() } });
    }
    if (targets_.count(id) > 0) {
      missingSince_.try_emplace(id, clock_.Now());
      sweepTimer_.Start(kSweepInterval);
    }
    return;
  }
  unusable_.erase(id);
  missingSince_.erase(id);
  targets_[id] = *target;
  listener_.onTarget_(*target);
}

void TargetRegistry::Sweep()
{
  for (auto at = missingSince_.begin(); at != missingSince_.end();) {
    if (clock_.Now() - at->second < kRemovalDelay) {
      ++at;
      continue;
    }
    std::string id = at->first;
    at = missingSince_.erase(at);
    targets_.erase(id);
    listener_.onGone_(id);
  }
  if (!missingSince_.empty()) {
    sweepTimer_.Start(kSweepInterval);
  }
}

} // namespace coltsfootshed
