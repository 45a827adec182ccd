/// \file
/// One entry VM: listens to clients, balancer and peers, follows the
/// configuration, and leads the services that fall to it.
#ifndef COLTSFOOTSHED_NODE_JOBSNODE_H
#define COLTSFOOTSHED_NODE_JOBSNODE_H

#include "coltsfootshed/Node/JobDesk.h"
#include "coltsfootshed/Node/NodeSettings.h"
#include "coltsfootshed/Node/PoolManager.h"
#include "coltsfootshed/Node/StoreWitness.h"
#include "coltsfootshed/Node/TargetRegistry.h"

namespace coltsfootshed {

class JobsNode final : private PrefixListener
{
public:
  struct Dependencies
  {
    event_base* base_ = nullptr;
    const Clock& clock_;
    const Clock& timeOfDay_;
    KeyValueStore& store_;
    TargetCalls& targets_;
    AdviceCalls* advice_ = nullptr; ///< null: none is configured
    VmCalls* vms_ = nullptr;        ///< null: VMs cannot be moved
  };

  JobsNode(Dependencies aDependencies,
           NodeSettings aSettings,
           WireFormat aFormat);
  ~JobsNode() override;

  Result<void> Listen();
  /// Leaves gracefully and ends the loop when nothing is open any more.
  void Stop();

private:
  void OnSnapshot(std::vector<StoreItem> aItems) override;
  void OnEvent(const StoreEvent& aEvent) override;
  void TakeItem(const StoreItem& aItem);
  void TakeWave(const StoreItem& aItem);
  void LeadPools(Revision aRevision);
  void TakeConfig(const StoreItem& aItem);
  void OnDuty(const std::string& aDuty, Revision aRevision);
  void StartRegistry();
  ServiceLeader* FindLeader(std::string_view aService);
  void ServePeer(const std::shared_ptr<ServerExchange>& aExchange);
  bool IsReady() const;
  void CheckStopped();

  Dependencies with_;
  NodeSettings settings_;
  WireFormat format_;
  std::shared_ptr<const JobsConfig> config_;
  std::map<std::string, std::unique_ptr<ServiceLeader>, std::less<>> leaders_;
  std::unique_ptr<TargetRegistry> registry_;
  LeaderTable table_;
  LeaderLinks links_;
  StoreWitness witness_;
  JobDesk desk_;
  std::map<std::int64_t, WaveConfig> waves_;
  std::unique_ptr<PoolManager> pools_;
  HttpServer front_;
  HttpServer ready_;
  HttpServer peers_;
  PrefixFollower operator_;
  Timer flushTimer_;
  Timer abandonTimer_;
  std::vector<std::string> toAbandon_;
  Timer stopTimer_;
  bool stopping_ = false;
  bool left_ = false;
  Millis stopAt_{ 0 };
};

} // namespace coltsfootshed

#endif
