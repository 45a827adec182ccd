/// \file
/// Takes each checked request through admission, attempts and hand-overs to
/// its answer. It uses no sockets and no timers; its owner calls it for each
/// event.
#ifndef COLTSFOOTSHED_REQUESTS_DISPATCHER_H
#define COLTSFOOTSHED_REQUESTS_DISPATCHER_H

#include "coltsfootshed/Metrics/RequestMetrics.h"
#include "coltsfootshed/Requests/ActiveRequest.h"
#include "coltsfootshed/Requests/HandoverTable.h"
#include "coltsfootshed/Requests/Messages.h"
#include "coltsfootshed/Requests/ServiceState.h"
#include "coltsfootshed/Requests/TargetDirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfootshed {

/// The dispatcher's interface to the peers task.
class PeerClient
{
public:
  virtual ~PeerClient() = default;
  /// Hands a request over to aNode. Its end is reported later, by
  /// Dispatcher::OnHandoverEnded() with this id.
  virtual void HandOver(HandoverId aId,
                        const std::string& aNode,
                        const CheckedRequest& aRequest) = 0;
  /// Passes a leaving mark on to the peers.
  virtual void AnnounceLeaving(const LeavingMark& aMark) = 0;
};

class Dispatcher
{
public:
  Dispatcher(const Clock& aClock,
             NodeAddress aSelf,
             TargetClient& aTargets,
             PeerClient& aPeers);

  void SetDocument(std::shared_ptr<const Document> aDocument);
  /// Null until the first configuration is in force.
  const Document* CurrentDocument() const
  {
    return directory_.CurrentDocument();
  }
  void MergeVms(std::span<const VmRecord> aVms);
  void MergeReport(const NodeReport& aReport);
  /// Replaces the data centre's fleet records by newer ones.
  void SetRecords(FleetState aFleet);
  /// VMs that the fleet records show as out of service and on which this node
  /// has no attempt under way.
  std::vector<QuietVm> QuietVms() const;

  /// Accepts a request, whose service must be in the current document.
  /// aOnAnswer runs exactly once, possibly before Accept() returns.
  /// aMayHandOver is false for a request that was handed over to this node: it
  /// must not be handed over again.
  RequestId Accept(CheckedRequest aRequest,
                   bool aMayHandOver,
                   std::function<void(RequestAnswer)> aOnAnswer);
  /// The caller has closed its connection; a request without an attempt so far
  /// is dropped.
  void OnCallerDisconnected(RequestId aRequest);
  /// Ignores a hand-over that is no longer under way.
  void OnHandoverEnded(HandoverEnded aEnded);
  /// The earliest deadline, or nothing if no request is under way.
  std::optional<Millis> NextDeadline() const;
  /// Ends the requests whose deadline has passed.
  void OnDeadlines();
  /// Updates slot shares, probes suspected targets and starts waiting requests;
  /// to be called periodically.
  void OnTick();

  /// Returns the loads to report to peers; see ServiceState::TakeLoadReport().
  /// Services without demand and without spare slots are left out.
  ServiceLoads TakeLoads();
  bool IsIdle() const { return requests_.empty(); }
  const RequestMetrics& Metrics() const { return metrics_; }
  /// State of services, VMs and peers for operators, as JSON.
  std::string Status() const;

private:
  using Requests =
    std::unordered_map<RequestId, std::unique_ptr<ActiveRequest>>;

  ActiveRequest* Find(RequestId aRequest);
  AttemptTarget TargetOf(const ServiceState& aService,
                         const std::string& aVm) const;
  void UpdateShares();
  void Enqueue(ActiveRequest& aRequest);
  /// Starts the waiting requests for which there are free slots, then hands
  /// over what would wait too long.
  void StartWaiting(ServiceState& aService);
  void StartRetries(ServiceState& aService);
  void StartQueued(ServiceState& aService);
  void HandOverQueued(ServiceState& aService);
  /// Returns false if no target has a free slot.
  bool StartAttempt(ActiveRequest& aRequest);
  void StartHandover(ActiveRequest& aRequest, const std::string& aNode);
  void OnAttemptEnd(RequestId aRequest,
                    AttemptId aAttempt,
                    const std::string& aTarget,
                    CallResult aResult);
  void OnAttemptSilent(RequestId aRequest,
                       const std::string& aTarget,
                       bool aAlive);
  FlowStep EvaluateAnswer(ActiveRequest& aRequest,
                          const std::string& aTarget,
                          const HttpAnswer& aAnswer);
  void OnDeadline(ActiveRequest& aRequest);
  void ApplyStep(ActiveRequest& aRequest, FlowStep aStep);
  void OnShed(ActiveRequest& aRequest);
  void FinishUnanswered(ActiveRequest& aRequest);
  void Finish(ActiveRequest& aRequest, RequestAnswer aAnswer);
  void ReleaseAttempts(ActiveRequest& aRequest);
  void ReleaseSlot(ActiveRequest& aRequest);
  void ProbeSuspected(ServiceState& aService);

  const Clock& clock_;
  NodeAddress self_;
  TargetClient& targets_;
  PeerClient& peerClient_;
  RequestMetrics metrics_;
  TargetDirectory directory_;
  PeerTable peers_;
  HandoverTable handovers_;
  std::map<std::string, std::unique_ptr<ServiceState>, std::less<>>
    serviceStates_;
  Requests requests_;
  RequestId lastRequest_ = 0;
  std::set<std::pair<Millis, RequestId>> deadlines_;
};

} // namespace coltsfootshed

#endif
