/// \file
/// Finds out whether the store is unreachable from this VM only or from all
/// entry VMs, by asking the others.
#ifndef COLTSFOOTSHED_NODE_STOREOUTAGEDETECTOR_H
#define COLTSFOOTSHED_NODE_STOREOUTAGEDETECTOR_H

#include "coltsfootshed/Http/Client.h"
#include "coltsfootshed/Node/LeaderElection.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

namespace coltsfootshed {

class StoreOutageDetector
{
public:
  /// aOnChecked is called at each check, after which CurrentAuthority() may
  /// differ.
  StoreOutageDetector(event_base* aBase,
                      const Clock& aClock,
                      const LeaderElection& aElection,
                      std::string aNode,
                      std::function<void()> aOnChecked);

  /// Returns whether this VM reaches the store.
  bool ReachesStore() const;
  /// Returns the answer to another VM's request for kPath: as ReachesStore().
  bool AnswerToPeer();
  /// Returns true if no leader whose leadership became uncertain shortly before
  /// aSince, or later, can have taken the store for unreachable from all VMs:
  /// it knew this VM, which has told nobody so. aExtension is by how much
  /// longer than its own leases such a leader may go on.
  bool WasKnownToPredecessorsOf(Millis aSince, Millis aExtension) const;
  /// Returns how certain the leaders of this VM can be, now, that they have not
  /// been replaced.
  Authority CurrentAuthority() const;
  /// Returns whether this VM has reached the store for the last aDuration.
  bool HasReachedStoreFor(Millis aDuration) const;

  static constexpr const char* kPath = "/reaches-store";
  static constexpr const char* kYes = "yes";
  static constexpr const char* kNo = "no";

private:
  void Tick();
  void Ask();

  const Clock& clock_;
  const LeaderElection& election_;
  std::string node_;
  std::function<void()> onChecked_;
  HttpClient httpClient_;
  Timer timer_;
  Millis unreachedAt_; ///< the last check at which the store was not reached
  /// When another VM last answered that it does not reach the store, by VM.
  std::map<std::string, Millis> storeUnreachableAt_;
};

} // namespace coltsfootshed

#endif
