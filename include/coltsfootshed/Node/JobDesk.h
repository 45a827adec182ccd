/// \file
/// Serves clients: accepts, shows and cancels jobs, and counts those that
/// wait.
#ifndef COLTSFOOTSHED_NODE_JOBDESK_H
#define COLTSFOOTSHED_NODE_JOBDESK_H

#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Node/LeaderLinks.h"
#include "coltsfootshed/Node/WireFormat.h"

namespace coltsfootshed {

class JobDesk
{
public:
  /// Whether the store answered this VM lately.
  using ReachesStore = std::function<bool()>;

  JobDesk(const Clock& aClock,
          const Clock& aTimeOfDay,
          KeyValueStore& aStore,
          LeaderLinks& aLinks,
          const WireFormat& aFormat,
          ReachesStore aReachesStore);

  /// The configuration in force; null until the first one is known.
  void SetConfig(std::shared_ptr<const JobsConfig> aConfig)
  {
    config_ = std::move(aConfig);
  }
  void Serve(const std::shared_ptr<ServerExchange>& aExchange);

private:
  using Exchange = std::shared_ptr<ServerExchange>;

  void Submit(const Exchange& aExchange,
              const QueueConfig& aQueue,
              const std::string& aJob);
  void Show(const Exchange& aExchange,
            const QueueConfig& aQueue,
            const std::string& aJob);
  void ShowFromStore(const Exchange& aExchange,
                     const std::string& aAsked,
                     const std::string& aJob);
  void ShowSaved(const Exchange& aExchange,
                 const std::string& aService,
                 const std::string& aJob);
  void Cancel(const Exchange& aExchange, const std::string& aJob);
  void MarkCancelled(const Exchange& aExchange,
                     const std::string& aService,
                     const std::string& aJob);
  void ShowWaiting(const Exchange& aExchange, const QueueConfig& aQueue);

  bool MayWrite() const;

  const Clock& clock_;
  const Clock& timeOfDay_;
  KeyValueStore& store_;
  LeaderLinks& links_;
  const WireFormat& format_;
  ReachesStore reachesStore_;
  Millis noWriteBefore_{ 0 }; ///< after a write without an answer
  std::shared_ptr<const JobsConfig> config_;
};

} // namespace coltsfootshed

#endif
