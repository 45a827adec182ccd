/// \file
/// Leads the pools: gathers reports of the services' leaders, and carries the
/// planner's orders to the service that moves and maintains VMs.
#ifndef COLTSFOOTSHED_NODE_POOLMANAGER_H
#define COLTSFOOTSHED_NODE_POOLMANAGER_H

#include "coltsfootshed/Node/LeaderLinks.h"
#include "coltsfootshed/Node/WireFormat.h"
#include "coltsfootshed/Pools/PoolPlanner.h"
#include "coltsfootshed/Support/AliveGuard.h"

namespace coltsfootshed {

class PoolManager
{
public:
  struct Dependencies
  {
    event_base* base_ = nullptr;
    const Clock& clock_;
    KeyValueStore& store_;
    VmCalls& vms_;
    LeaderLinks& links_;
    const WireFormat& format_;
  };

  /// aFence: revision of the leader's key. VMs that an earlier manager may have
  /// ordered lately are ordered after aTurn.
  PoolManager(Dependencies aDependencies,
              std::string aNode,
              Fence aFence,
              Millis aTurn);
  PoolManager(const PoolManager&) = delete;
  PoolManager& operator=(const PoolManager&) = delete;

  void SetConfig(const std::shared_ptr<const JobsConfig>& aConfig);
  void SetWave(const WaveConfig& aWave);

private:
  /// The last order for a VM.
  struct LastOrder
  {
    std::string holder_;
    std::int64_t wave_ = 0; ///< 0: a move
    Millis at_{ 0 };
  };

  void Load();
  void Tick();
  void ListVms();
  void Gather();
  void Decide();
  void Carry(const PoolOrder& aOrder);
  void Show(const ShowWave& aShow);
  void OnOrderEnd(const std::string& aVm, VmOrderEnd aEnd);
  void LoadSaved(const std::string& aText);
  void Save(std::vector<PoolOrder> aOrders);
  void OnSaved(const CommitResult& aResult,
               std::uint64_t aChanges,
               const std::vector<PoolOrder>& aOrders);

  Dependencies with_;
  std::string node_;
  Fence fence_;
  Millis turn_;
  PoolPlanner planner_;
  std::shared_ptr<const JobsConfig> config_;
  Timer tickTimer_;
  std::uint64_t orders_ = 0;
  bool loaded_ = false;
  bool fencedOff_ = false;
  bool listing_ = false;
  Millis listAt_{ 0 };
  std::set<std::string> gathering_;
  bool saving_ = false;
  std::uint64_t savedChanges_ = 0;
  Revision savedRevision_ = 0;
  std::map<std::string, LastOrder> orderedAt_; ///< by VM, of late
  Millis saveAt_{ 0 };
  AliveGuard guard_;
};

} // namespace coltsfootshed

#endif
