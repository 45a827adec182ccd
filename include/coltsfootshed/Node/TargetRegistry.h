/// \file
/// The targets that the store's registry lists. An entry that vanishes is
/// believed gone only after a delay, as entries lapse while the store is away.
#ifndef COLTSFOOTSHED_NODE_TARGETREGISTRY_H
#define COLTSFOOTSHED_NODE_TARGETREGISTRY_H

#include "coltsfootshed/Node/WireFormat.h"
#include "coltsfootshed/Store/PrefixFollower.h"

#include <map>

namespace coltsfootshed {

class TargetRegistry final : private PrefixListener
{
public:
  /// Told of each entry that comes or changes, and of each that is gone.
  struct Listener
  {
    std::function<void(const TargetInfo&)> onTarget_;
    std::function<void(const std::string&)> onGone_;
  };

  TargetRegistry(event_base* aBase,
                 const Clock& aClock,
                 KeyValueStore& aStore,
                 const WireFormat& aFormat,
                 Listener aListener,
                 std::uint64_t aSeed);

  const std::map<std::string, TargetInfo>& Targets() const { return targets_; }

private:
  void OnSnapshot(std::vector<StoreItem> aItems) override;
  void OnEvent(const StoreEvent& aEvent) override;
  void Apply(const StoreItem& aItem);
  void Sweep();

  const Clock& clock_;
  const WireFormat& format_;
  Listener listener_;
  std::map<std::string, TargetInfo> targets_;
  std::map<std::string, Millis> missingSince_;
  Timer sweepTimer_;
  PrefixFollower follower_;
};

} // namespace coltsfootshed

#endif
