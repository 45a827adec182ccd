/// \file
/// The HTTP API for clients: accepts, shows and cancels jobs, and reports how
/// many jobs of a queue are waiting.
#ifndef COLTSFOOTSHED_NODE_JOBAPI_H
#define COLTSFOOTSHED_NODE_JOBAPI_H

#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Node/ConfigFreshness.h"
#include "coltsfootshed/Node/LeaderRpc.h"
#include "coltsfootshed/Node/WireFormat.h"

namespace coltsfootshed {

class JobApi
{
public:
  /// Returns whether the store has answered this VM recently.
  using ReachesStore = std::function<bool()>;

  JobApi(const Clock& aClock,
         const Clock& aWallClock,
         KeyValueStore& aStore,
         LeaderRpc& aLeaderRpc,
         const WireFormat& aFormat,
         ConfigReader& aConfigReader,
         const ConfigFreshness& aFreshness,
         ReachesStore aReachesStore);

  /// Sets the newest configuration that is known. Requests get 503 until the
  /// first call.
  void SetConfig(std::shared_ptr<const JobsConfig> aConfig)
  {
    config_ = std::move(aConfig);
  }
  /// Handles one client request and replies to it.
  void Serve(const std::shared_ptr<ServerExchange>& aExchange);

private:
  using Exchange = std::shared_ptr<ServerExchange>;

  /// Handles a request with the configuration that is known, which may be old.
  void ServeWithKnownConfig(const Exchange& aExchange);

  /// Returns the account of the caller, empty on a public queue or without
  /// accounts. Otherwise replies and returns nothing.
  std::optional<std::string> IdentifyCaller(const Exchange& aExchange,
                                            const QueueConfig& aQueue);
  void Submit(const Exchange& aExchange,
              const QueueConfig& aQueue,
              const std::string& aJob,
              const std::string& aAccount);
  void Show(const Exchange& aExchange,
            const QueueConfig& aQueue,
            const std::string& aJob);
  void ShowFromStore(const Exchange& aExchange,
                     const std::string& aAskedService,
                     const std::string& aJob);
  void ShowSaved(const Exchange& aExchange,
                 const std::string& aService,
                 const std::string& aJob);
  void Cancel(const Exchange& aExchange,
              const QueueConfig& aQueue,
              const std::string& aJob);
  /// Cancels the job whose record is aItem.
  void CancelStored(const Exchange& aExchange,
                    const StoreItem& aItem,
                    const std::string& aJob);
  void CancelUnknown(const Exchange& aExchange,
                     const std::string& aService,
                     const std::string& aJob);
  void MarkCancelled(const Exchange& aExchange,
                     const std::string& aService,
                     const std::string& aJob);
  void ShowWaiting(const Exchange& aExchange, const QueueConfig& aQueue);

  bool MayWrite() const;
  void RejectConfigOld(const Exchange& aExchange);
  void RejectCaller(const Exchange& aExchange, std::string_view aReason);
  void RejectUnknownQueue(const Exchange& aExchange,
                          const std::string& aNearestQueue);

  const Clock& clock_;
  const Clock& wallClock_;
  KeyValueStore& store_;
  LeaderRpc& leaderRpc_;
  const WireFormat& format_;
  ConfigReader& configReader_;
  const ConfigFreshness& freshness_;
  ReachesStore reachesStore_;
  Millis noWritesBefore_{ 0 }; ///< set when a write got no answer
  std::shared_ptr<const JobsConfig> config_;
};

} // namespace coltsfootshed

#endif
