/// \file
/// Takes each checked request through admission, attempts and hand-overs to
/// its answer. It knows no sockets and no timers: those who drive it report
/// what happened.
#ifndef COLTSFOOTSHED_REQUESTS_DISPATCHER_H
#define COLTSFOOTSHED_REQUESTS_DISPATCHER_H

#include "coltsfootshed/Metrics/RequestMetrics.h"
#include "coltsfootshed/Requests/ActiveRequest.h"
#include "coltsfootshed/Requests/HandoverBook.h"
#include "coltsfootshed/Requests/Messages.h"
#include "coltsfootshed/Requests/ServiceLane.h"
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

/// What the dispatcher asks of the peers task.
class PeerOutlet
{
public:
  virtual ~PeerOutlet() = default;
  virtual void HandOver(HandoverId aId,
                        const std::string& aNode,
                        const CheckedRequest& aRequest) = 0;
  virtual void TellLeaving(const LeavingMark& aMark) = 0;
};

class Dispatcher
{
public:
  Dispatcher(const Clock& aClock,
             NodeAddress aSelf,
             TargetOutlet& aTargets,
             PeerOutlet& aPeers);

  void SetDocument(std::shared_ptr<const Document> aDocument);
  /// Null until the first configuration is in force.
  const Document* CurrentDocument() const
  {
    return directory_.CurrentDocument();
  }
  void MergeVms(std::span<const VmRecord> aVms);
  void MergeReport(const NodeReport& aReport);
  /// Takes the data centre's records, newer than before.
  void SetRecords(FleetState aFleet);
  /// VMs that the records show as out and that have no attempt under way.
  std::vector<QuietVm> QuietVms() const;

  /// Takes a request; aOnAnswer runs exactly once. A request that was handed
  /// over to this node must not be handed over again.
  RequestId Accept(CheckedRequest aRequest,
                   bool aMayHandOver,
                   std::function<void(RequestAnswer)> aOnAnswer);
  /// Nobody waits for the answer any more; a request that has not started is
  /// dropped.
  void OnCallerGone(RequestId aRequest);
  void OnHandoverEnded(HandoverEnded aNews);
  /// When the next deadline passes, if a request is under way.
  std::optional<Millis> NextDeadline() const;
  /// Ends the requests whose deadline has passed.
  void OnDeadlines();
  /// Periodic work: shares, probes, waiting requests.
  void OnTick();

  ServiceLoads TakeLoads();
  bool IsIdle() const { return requests_.empty(); }
  const RequestMetrics& Metrics() const { return metrics_; }
  /// JSON for operators.
  std::string Status() const;

private:
  using Requests =
    std::unordered_map<RequestId, std::unique_ptr<ActiveRequest>>;

  ActiveRequest* Find(RequestId aRequest);
  AttemptTarget TargetOf(const ServiceLane& aLane,
                         const std::string& aVm) const;
  void UpdateShares();
  void Enqueue(ActiveRequest& aRequest);
  void Pump(ServiceLane& aLane);
  void PumpRetries(ServiceLane& aLane);
  void PumpQueue(ServiceLane& aLane);
  void PumpOverflow(ServiceLane& aLane);
  bool StartAttempt(ActiveRequest& aRequest);
  void StartHandover(ActiveRequest& aRequest, const std::string& aNode);
  void OnAttemptEnd(RequestId aRequest,
                    AttemptId aAttempt,
                    const std::string& aTarget,
                    CallResult aResult);
  void OnAttemptSilent(RequestId aRequest,
                       const std::string& aTarget,
                       bool aAlive);
  FlowStep JudgeAnswer(ActiveRequest& aRequest,
                       const std::string& aTarget,
                       const HttpAnswer& aAnswer);
  void OnDeadline(ActiveRequest& aRequest);
  void Proceed(ActiveRequest& aRequest, FlowStep aStep);
  void GiveUpWaiting(ActiveRequest& aRequest);
  void FinishUnanswered(ActiveRequest& aRequest);
  void Finish(ActiveRequest& aRequest, RequestAnswer aAnswer);
  void ReleaseAttempts(ActiveRequest& aRequest);
  void ReleaseSlot(ActiveRequest& aRequest);
  void ProbeSuspected(ServiceLane& aLane);

  const Clock& clock_;
  NodeAddress self_;
  TargetOutlet& targets_;
  PeerOutlet& peerOutlet_;
  RequestMetrics metrics_;
  TargetDirectory directory_;
  PeerTable peers_;
  HandoverBook handovers_;
  std::map<std::string, std::unique_ptr<ServiceLane>, std::less<>> lanes_;
  Requests requests_;
  RequestId lastRequest_ = 0;
  std::set<std::pair<Millis, RequestId>> deadlines_;
};

} // namespace coltsfootshed

#endif
