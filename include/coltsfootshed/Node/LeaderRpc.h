/// \file
/// Calls between entry VMs: sends requests to the leader of a service, in this
/// process or on another entry VM, and serves those of other entry VMs.
#ifndef COLTSFOOTSHED_NODE_LEADERRPC_H
#define COLTSFOOTSHED_NODE_LEADERRPC_H

#include "coltsfootshed/Http/Client.h"
#include "coltsfootshed/Http/Server.h"
#include "coltsfootshed/Node/LeaderElection.h"
#include "coltsfootshed/Node/PoolRequest.h"
#include "coltsfootshed/Node/ServiceLeader.h"

namespace coltsfootshed {

/// A leader's answer to a question for a job's state; empty if it does not know
/// the job, an error if no leader has answered.
using StateAnswer = Result<std::optional<JobState>>;

/// Calls the leaders of services. Each callback runs once, possibly from within
/// the call. It gets an error if no leader of the service is known or none
/// answers in time.
class LeaderRpc
{
public:
  /// Returns the leader of a service in this process, or null.
  using FindLocal = std::function<ServiceLeader*(std::string_view)>;

  /// A leader counts the waiting jobs of a queue only if it knows all jobs that
  /// were accepted longer than aMaxJobsAge ago.
  LeaderRpc(event_base* aBase,
            const Clock& aClock,
            const LeaderElection& aElection,
            FindLocal aFindLocal,
            Millis aMaxJobsAge);

  /// Tells the leader of the job's service about a job that is already in the
  /// store. The call may get lost: the leader also finds the job by its watch.
  /// aCreated is the revision at which the store accepted the job.
  void AnnounceJob(const JobRecord& aRecord, Revision aCreated);
  /// As AnnounceJob, for a job whose cancel mark, keys::Cancel(), is already in
  /// the store.
  void AnnounceCancel(const std::string& aService, const std::string& aJob);
  void AskState(const std::string& aService,
                const std::string& aJob,
                std::function<void(StateAnswer)> aOnAnswer);
  /// Asks how many jobs of a queue of aService are waiting, there and in the
  /// services to which the queue was assigned before.
  void AskWaiting(const std::string& aService,
                  const std::string& aQueue,
                  std::function<void(Result<int>)> aOnAnswer);
  /// Tells the leader what the pool manager orders, and asks how busy its pool
  /// is. The answer is an error if a pool manager with a higher fence has asked
  /// before.
  void AskPool(const std::string& aService,
               const PoolRequest& aRequest,
               std::function<void(Result<PoolReport>)> aOnAnswer);

  /// Serves a call of another entry VM.
  void Serve(const std::shared_ptr<ServerExchange>& aExchange);

private:
  void Call(const std::string& aService,
            HttpRequest aRequest,
            std::function<void(Result<HttpAnswer>)> aOnAnswer);
  HttpAnswer Answer(const HttpRequest& aRequest);
  /// Jobs of a queue that are waiting in one service.
  struct WaitingJobs
  {
    int count_ = 0;
    /// Other services that may have jobs of the queue.
    std::set<std::string> otherServices_;
  };
  using OnWaiting = std::function<void(Result<WaitingJobs>)>;
  /// Asks one service. aIsAssigned: the queue is assigned to it now.
  void AskOneService(const std::string& aService,
                     const std::string& aQueue,
                     bool aIsAssigned,
                     OnWaiting aOnAnswer);

  const LeaderElection& election_;
  FindLocal findLocal_;
  Millis maxJobsAge_;
  HttpClient httpClient_;
};

} // namespace coltsfootshed

#endif
