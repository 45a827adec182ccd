/// \file
/// Reaches the leader of a service, in this process or on another entry VM.
#ifndef COLTSFOOTSHED_NODE_LEADERLINKS_H
#define COLTSFOOTSHED_NODE_LEADERLINKS_H

#include "coltsfootshed/Http/Caller.h"
#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Node/LeaderTable.h"
#include "coltsfootshed/Node/ServiceLeader.h"

namespace coltsfootshed {

/// What a leader says of a job; no state if it does not know it.
using StateAnswer = Result<std::optional<JobState>>;

class LeaderLinks
{
public:
  /// The leader of a service in this process, or null.
  using FindLocal = std::function<ServiceLeader*(std::string_view)>;

  LeaderLinks(event_base* aBase,
              const Clock& aClock,
              const LeaderTable& aTable,
              FindLocal aFindLocal);

  /// Tells a leader of work that is in the store already; may get lost.
  void AnnounceJob(const JobRecord& aRecord, Revision aCreated);
  void AnnounceCancel(const std::string& aService, const std::string& aJob);
  void AskState(const std::string& aService,
                const std::string& aJob,
                std::function<void(StateAnswer)> aOnAnswer);
  void AskWaiting(const std::string& aService,
                  const std::string& aQueue,
                  std::function<void(Result<int>)> aOnAnswer);
  /// Tells a leader which targets must take no starts, and asks how busy its
  /// pool is.
  void AskPool(const std::string& aService,
               Fence aManager,
               const std::vector<std::string>& aVacating,
               std::function<void(Result<PoolReport>)> aOnAnswer);

  /// Serves the calls of other entry VMs.
  void Serve(const std::shared_ptr<ServerExchange>& aExchange);

private:
  void Call(const std::string& aService,
            HttpRequest aRequest,
            std::function<void(Result<HttpAnswer>)> aOnAnswer);
  HttpAnswer Answer(const HttpRequest& aRequest);

  const LeaderTable& table_;
  FindLocal findLocal_;
  HttpCaller caller_;
};

} // namespace coltsfootshed

#endif
