/// \file
/// Simulates targets and peers for a dispatcher under test. Its oracle records
/// what ran and which outcomes callers got.
#ifndef COLTSFOOTSHED_UNITTESTS_REQUESTS_DISPATCHERWORLD_H
#define COLTSFOOTSHED_UNITTESTS_REQUESTS_DISPATCHERWORLD_H

#include "Support/ManualClock.h"
#include "coltsfootshed/Requests/Dispatcher.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfootshed {

/// A false report to the dispatcher, which the oracle must detect.
enum class DispatcherMutant
{
  None,
  BrokenIsNotSent,      ///< a broken attempt is reported as never sent
  RanIsRefused,         ///< a target that ran the request declares not-run
  SwappedAnswers,       ///< an answer belongs to another request
  LeavingHeaderDropped, ///< a leaving target's header is lost
  HandoverIsRefused     ///< a peer that ran the request declares not-run
};

class DispatcherWorld final
  : private TargetClient
  , private PeerClient
{
public:
  explicit DispatcherWorld(DispatcherMutant aMutant = DispatcherMutant::None);

  // Events. aPick chooses among what exists; an event that finds nothing to
  // act on does nothing.
  void Offer(unsigned aPick);
  void RefuseConnect(unsigned aPick);
  void Deliver(unsigned aPick);
  void Run(unsigned aPick);
  void Answer(unsigned aPick);
  void Break(unsigned aPick);
  void DeclareNotRun(unsigned aPick);
  void GoSilent(unsigned aPick);
  void AnswerLeaving(unsigned aPick);
  void ListVm(unsigned aPick);
  void EndHandover(unsigned aPick);
  void DisconnectCaller(unsigned aPick);
  void AnswerProbes(unsigned aPick);
  void AdvanceTime(unsigned aPick);

  /// Lets all deadlines pass, and checks that every caller got an answer.
  void Drain();
  /// The first violated guarantee, or an empty string.
  const std::string& Violation() const { return violation_; }
  std::size_t Requests() const { return requests_.size(); }

private:
  struct Attempt
  {
    std::string request_;
    std::string vm_; ///< empty if handed over to a peer
    AttemptEvents events_;
    bool sent_ = false;
    bool ran_ = false;
    bool closed_ = false;    ///< will not run from now on
    bool abandoned_ = false; ///< gets no more callbacks
    HandoverId handover_ = 0;
  };
  struct Request
  {
    bool idempotent_ = false;
    int ran_ = 0;
    std::optional<Outcome> callerOutcome_;
    RequestId id_ = 0;
  };

  AttemptId Start(const AttemptTarget& aTarget,
                  const HttpRequest& aRequest,
                  Millis aTimeout,
                  bool aRecentOnly,
                  AttemptEvents aEvents) override;
  void Abandon(AttemptId aAttempt) override;
  bool MayHaveSent(AttemptId aAttempt) const override;
  void Probe(const AttemptTarget& aTarget,
             std::function<void(bool)> aOnEnd) override;
  void CloseIdle(const Endpoint&) override {}
  void HandOver(HandoverId aId,
                const std::string& aNode,
                const CheckedRequest& aRequest) override;
  void AnnounceLeaving(const LeavingMark&) override {}

  /// Returns a matching attempt, or null if there is none. Abandoned attempts,
  /// which may still run, count only if aAlsoAbandoned.
  Attempt* Pick(unsigned aPick,
                bool aAlsoAbandoned,
                bool (*aWanted)(const Attempt&));
  void EndAttempt(Attempt& aAttempt, CallResult aResult);
  void CheckStart(const Attempt& aAttempt);
  void OnCallerAnswered(const std::string& aRequest,
                        const RequestAnswer& aAnswer);
  void Check(bool aHolds, const std::string& aText);
  void ReportPeer();

  DispatcherMutant mutant_;
  ManualClock clock_;
  Dispatcher dispatcher_;
  std::map<AttemptId, Attempt> attempts_;
  AttemptId lastAttempt_ = 0;
  std::map<std::string, Request> requests_;
  std::set<std::string> leaving_;
  std::map<std::string, std::uint64_t> revisions_;
  std::vector<std::function<void(bool)>> probes_;
  std::string violation_;
};

} // namespace coltsfootshed

#endif
