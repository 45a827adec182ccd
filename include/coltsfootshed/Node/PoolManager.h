/// \file
/// Manages the pools: collects reports of the services' leaders, and sends the
/// planner's orders to the service that moves and maintains VMs.
#ifndef COLTSFOOTSHED_NODE_POOLMANAGER_H
#define COLTSFOOTSHED_NODE_POOLMANAGER_H

#include "coltsfootshed/Node/CapCoordinator.h"
#include "coltsfootshed/Node/LeaderRpc.h"
#include "coltsfootshed/Node/WireFormat.h"
#include "coltsfootshed/Pools/PoolPlanner.h"
#include "coltsfootshed/Pools/VmPools.h"
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
    LeaderRpc& leaderRpc_;
    const WireFormat& format_;
  };

  /// aNode is the name of this entry VM, aFence the revision of the leader's
  /// key. A VM for which an earlier manager may have given an order gets none
  /// from this one for the time aHolderLease.
  PoolManager(Dependencies aDependencies,
              std::string aNode,
              Fence aFence,
              Millis aHolderLease);
  PoolManager(const PoolManager&) = delete;
  PoolManager& operator=(const PoolManager&) = delete;

  /// aConfig may be null: nothing is planned before the first configuration.
  void SetConfig(const std::shared_ptr<const JobsConfig>& aConfig);
  /// Adds or replaces a maintenance wave.
  void SetWave(const WaveConfig& aWave);

private:
  /// The last order for a VM, by this manager or an earlier one.
  struct LastOrder
  {
    std::string holder_;    ///< entry VM whose manager gave it
    std::int64_t wave_ = 0; ///< maintenance wave; 0 for a move
    Millis at_{ 0 };        ///< when it was saved, sent or loaded
  };

  void Load();
  void Tick();
  void ListVms();
  void RequestReports();
  void RequestReport(const std::string& aService);
  void OnReport(const std::string& aService, const Result<PoolReport>& aReport);
  /// Requests a report soon, as there is a new order about caps.
  void TellSoon(const std::string& aService);
  /// Returns which of the targets that a service's leader waits for no longer
  /// exist, since their VMs are in other pools.
  std::vector<std::string> GoneTargets(const std::string& aService) const;
  void Decide();
  void Execute(const PoolOrder& aOrder);
  void WriteWaveStatus(const PublishWave& aWaveStatus);
  void OnMoveEnd(const MoveVm& aMove, VmOrderEnd aEnd);
  void OnOrderEnd(const std::string& aVm, VmOrderEnd aEnd);
  void LoadSaved(const std::string& aText);
  void Save(std::vector<PoolOrder> aOrders);
  void OnSaved(const CommitResult& aResult,
               std::uint64_t aChanges,
               const std::vector<PoolOrder>& aOrders);

  Dependencies dependencies_;
  std::string node_;
  Fence fence_;
  Millis holderLease_;
  PoolPlanner planner_;
  VmPools vmPools_;
  CapCoordinator caps_;
  std::shared_ptr<const JobsConfig> config_;
  Timer tickTimer_;
  std::uint64_t orderCount_ = 0;
  bool loaded_ = false;
  bool fencedOff_ = false;
  bool listInFlight_ = false;
  Millis nextListAt_{ 0 };
  Millis lastListAt_{ 0 };               ///< when it was requested
  std::set<std::string> pendingReports_; ///< services yet to report
  /// Targets for which leaders wait, by service.
  std::map<std::string, std::vector<RosterTarget>> unanswered_;
  std::map<std::string, Millis> askedAt_; ///< last request, by service
  bool storeCallInFlight_ = false;
  /// Number of wave changes that the saved state contains.
  std::uint64_t savedChanges_ = 0;
  Revision savedRevision_ = 0;
  std::map<std::string, LastOrder> lastOrders_; ///< by VM, recent ones only
  Millis nextSaveAt_{ 0 };
  AliveGuard guard_;
};

} // namespace coltsfootshed

#endif
