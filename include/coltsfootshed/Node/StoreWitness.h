/// \file
/// Finds out whether it is this VM or everybody that cannot reach the store,
/// by asking all other entry VMs.
#ifndef COLTSFOOTSHED_NODE_STOREWITNESS_H
#define COLTSFOOTSHED_NODE_STOREWITNESS_H

#include "coltsfootshed/Http/Caller.h"
#include "coltsfootshed/Node/LeaderTable.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

namespace coltsfootshed {

class StoreWitness
{
public:
  using OnAuthority = std::function<void(Authority)>;

  StoreWitness(event_base* aBase,
               const Clock& aClock,
               const LeaderTable& aTable,
               std::string aNode,
               OnAuthority aOnAuthority);

  /// Answer to another VM's question: whether this one reaches the store.
  bool ReachesStore() const;

  static constexpr const char* kPath = "/reaches-store";
  static constexpr const char* kYes = "yes";
  static constexpr const char* kNo = "no";

private:
  void Tick();
  void Ask();
  Authority Judge() const;

  const Clock& clock_;
  const LeaderTable& table_;
  std::string node_;
  OnAuthority onAuthority_;
  HttpCaller caller_;
  Timer timer_;
  std::map<std::string, Millis> saidNo_; ///< by VM: when it said so last
};

} // namespace coltsfootshed

#endif
