/// \file
/// The targets that the registry in the store lists. A target whose entry
/// vanishes or becomes unusable is dropped only after a delay, as entries
/// expire while the store is unavailable.
#ifndef COLTSFOOTSHED_NODE_TARGETREGISTRY_H
#define COLTSFOOTSHED_NODE_TARGETREGISTRY_H

#include "coltsfootshed/Node/WireFormat.h"
#include "coltsfootshed/Store/PrefixFollower.h"

#include <map>

namespace coltsfootshed {

class TargetRegistry final : private PrefixListener
{
public:
  /// onTarget_ is called for each new or changed target, and may be called
  /// again for an unchanged one; onGone_ gets the id of each dropped target.
  struct Listener
  {
    std::function<void(const TargetInfo&)> onTarget_;
    std::function<void(const std::string&)> onGone_;
  };

  /// aLongestWatch is the longest wait of a watch; aSeed is the seed for the
  /// random part of retry delays.
  TargetRegistry(event_base* aBase,
                 const Clock& aClock,
                 KeyValueStore& aStore,
                 const WireFormat& aFormat,
                 Listener aListener,
                 Millis aLongestWatch,
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
  std::map<std::string, Millis> missingSince_; ///< by id
  /// Entries that cannot be read: the revision that was logged, by id.
  std::map<std::string, Revision> unusable_;
  Timer sweepTimer_;
  PrefixFollower follower_;
};

} // namespace coltsfootshed

#endif
