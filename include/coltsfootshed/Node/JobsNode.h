/// \file
/// The process of one entry VM: serves clients, the balancer and other entry
/// VMs, watches the configuration, and leads the services whose leadership it
/// has gained.
#ifndef COLTSFOOTSHED_NODE_JOBSNODE_H
#define COLTSFOOTSHED_NODE_JOBSNODE_H

#include "coltsfootshed/Node/JobApi.h"
#include "coltsfootshed/Node/NodeSettings.h"
#include "coltsfootshed/Node/PoolManager.h"
#include "coltsfootshed/Node/StoreOutageDetector.h"
#include "coltsfootshed/Node/StoreTimeouts.h"
#include "coltsfootshed/Node/TargetRegistry.h"
#include "coltsfootshed/Targets/AdviceQueue.h"

namespace coltsfootshed {

class JobsNode final : private PrefixListener
{
public:
  struct Dependencies
  {
    event_base* base_ = nullptr;
    const Clock& clock_;
    const Clock& wallClock_;
    KeyValueStore& store_;
    TargetCalls& targets_;
    AdviceQueue* advice_ = nullptr; ///< null: not configured
    VmCalls* vms_ = nullptr;        ///< null: VMs are not managed
  };

  JobsNode(Dependencies aDependencies,
           NodeSettings aSettings,
           StoreTimeouts aTimeouts,
           WireFormat aFormat);
  ~JobsNode() override;

  /// Opens the listeners for clients, readiness checks and other entry VMs.
  /// Returns the error of the first that cannot be opened.
  Result<void> Listen();
  /// Starts a graceful stop: gives up all leaderships, lets open requests
  /// finish, and then ends the event loop.
  void Stop();

private:
  void OnSnapshot(std::vector<StoreItem> aItems) override;
  void OnEvent(const StoreEvent& aEvent) override;
  void ApplyItem(const StoreItem& aItem);
  void ApplyWave(const StoreItem& aItem);
  void OnPoolLeadership(Revision aRevision);
  void ApplyConfig(const StoreItem& aItem);
  /// Starts or drops the leader object of a duty; aRevision is 0 when this VM
  /// ceases to lead it.
  /// Returns the longest lease that a leader of this VM grants.
  Millis RunLease() const;
  Millis TakeOverWait() const; ///< see SchedulerSettings
  void OnLeadership(const std::string& aDuty, Revision aRevision);
  void StartRegistry();
  /// Returns the leader of a service in this process, or null.
  ServiceLeader* FindLeader(std::string_view aService);
  void ServePeer(const std::shared_ptr<ServerExchange>& aExchange);
  bool IsReady() const;
  void CheckStopped();

  Dependencies dependencies_;
  NodeSettings settings_;
  StoreTimeouts timeouts_;
  WireFormat format_;
  std::shared_ptr<const JobsConfig> config_;
  std::map<std::string, std::unique_ptr<ServiceLeader>, std::less<>> leaders_;
  /// Null until this VM first leads a service.
  std::unique_ptr<TargetRegistry> registry_;
  LeaderElection election_;
  LeaderRpc leaderRpc_;
  StoreOutageDetector outageDetector_;
  ConfigReader configReader_;
  ConfigFreshness freshness_;
  JobApi jobApi_;
  std::map<std::int64_t, WaveConfig> waves_;
  /// Null unless this VM leads the duty keys::kPoolsDuty.
  std::unique_ptr<PoolManager> poolManager_;
  HttpServer front_;
  HttpServer ready_;
  HttpServer peers_;
  PrefixFollower operatorKeys_;
  Timer flushTimer_;
  Timer abandonTimer_;
  /// Services whose leader has stepped down. abandonTimer_ drops the leaders,
  /// as none can be destroyed within its own callback.
  std::vector<std::string> dutiesToAbandon_;
  Timer stopTimer_;
  bool stopping_ = false;
  /// The call that ends the lease has been answered or has failed.
  bool hasLeft_ = false;
  Millis stopAt_{ 0 };
};

} // namespace coltsfootshed

#endif
