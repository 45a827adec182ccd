/// \file
/// A scheduler's knowledge of one target: its incarnation, lease, free
/// resources, runs and signs of failure.
#ifndef COLTSFOOTSHED_SCHEDULING_TARGETSTATE_H
#define COLTSFOOTSHED_SCHEDULING_TARGETSTATE_H

#include "coltsfootshed/Targets/Target.h"

#include <deque>
#include <map>

namespace coltsfootshed {

enum class RunPhase
{
  Starting, ///< the order is in flight
  Unknown,  ///< the order got no answer
  Running,
  Stopping ///< a stop has to be sent, was sent or is confirmed
};

/// A run that takes, or may take, resources on a target.
struct RunState
{
  RunPhase phase_ = RunPhase::Starting;
  Resources takes_;     ///< a best-effort run reserves no processor time
  bool serves_ = false; ///< has a latency objective
  bool bestEffort_ = false;
  bool longRunning_ = false; ///< ends only when cancelled
  bool adopted_ = false;     ///< an earlier scheduler started it
  std::string label_;        ///< label that its target must have; empty: any
  std::string account_;      ///< client account; empty: none
  Millis latencyObjective_{ 0 };
  Millis estimate_{ 0 };
  Millis sentAt_{ 0 }; ///< time of the start, or when the run was adopted
  /// When the last start or stop order ended, or the target first listed the
  /// run; 0: not yet, or a run whose start got no answer is being stopped.
  Millis answeredAt_{ 0 };
  /// Sending of the last request whose answer listed the run; 0: none.
  Millis listedAsOf_{ 0 };
  TargetTime leaseUntil_ = 0;
  int percent_ = 0;               ///< as the target reports it
  std::int64_t recentMetric_ = 0; ///< as the target reports it, see ReportedRun
  int pace_ = 100;                ///< percent, as ordered
  int paceBefore_ = 100;          ///< percent, before the last pace order
  Millis pacedAt_{ 0 };
  bool orderInFlight_ = false; ///< a stop or pace order
  /// Earliest time of the next stop order; the maximum if the target has
  /// confirmed a stop.
  Millis nextStopAt_{ 0 };
};

using RunKey = std::pair<TaskName, RunNumber>;

class TargetState
{
public:
  explicit TargetState(TargetInfo aInfo)
    : info_(std::move(aInfo))
  {
  }

  bool HasBestEffortRuns() const { return bestEffortRuns_ > 0; }
  /// Returns the capacity that runs leave free.
  Resources Free() const;
  void AddRun(const RunKey& aKey, const RunState& aRun);
  /// Does nothing if there is no such run.
  void RemoveRun(const RunKey& aKey);
  /// Returns null if there is no such run.
  RunState* FindRun(const RunKey& aKey);

  /// Returns the earliest value that the target's clock can show at aNow.
  TargetTime EarliestClock(Millis aNow) const;
  /// Returns the end, on the target's clock, of a lease sent at aNow.
  TargetTime LeaseEnd(Millis aNow, Millis aLease) const;
  /// Returns true if every lease granted to this incarnation has certainly
  /// expired.
  bool HaveLeasesExpired(Millis aNow) const;
  /// Returns the label of its rack; empty if not known.
  const std::string& Rack() const;
  bool HasLabel(std::string_view aLabel) const;

  TargetInfo info_;
  bool registered_ = false; ///< the registry lists it now
  bool inRoster_ = false;   ///< the saved roster names it
  /// The saved roster may name it: no save that omits it is confirmed.
  bool mayBeInRoster_ = false;
  bool held_ = false;     ///< has answered under this scheduler's fence
  Millis heldSince_{ 0 }; ///< when it first did
  /// It no longer exists, nor does any run on it. Never set for held_ ones.
  bool gone_ = false;
  std::int64_t startedAt_ = 0; ///< incarnation that answered last; 0: none
  /// When the answer that gave clockRead_ arrived.
  Millis clockReadAt_{ 0 };
  /// The target's clock in the last answer; 0: none.
  TargetTime clockRead_ = 0;
  TargetTime leaseGranted_ = 0;    ///< highest end that may have arrived
  TargetTime leaseOffered_ = 0;    ///< lease end in the hold in flight; 0: none
  std::uint64_t processed_ = 0;    ///< highest end number applied
  std::uint64_t acknowledged_ = 0; ///< highest end number that is saved
  /// An applied end whose change to its job may not be saved yet. The change is
  /// 0 if there is nothing to save.
  struct UnsavedEnd
  {
    std::uint64_t number_ = 0;
    std::string job_;
    ChangeNumber change_ = 0;
  };
  std::deque<UnsavedEnd> unsaved_; ///< oldest first

  bool holdInFlight_ = false;
  Millis holdSentAt_{ 0 };
  Millis nextHoldAt_{ 0 };
  bool mayHaveUncertainRuns_ = false; ///< see IsUncertain()
  bool probeInFlight_ = false; ///< beside a hold that waits on the target
  Millis probeSentAt_{ 0 };
  int failedHolds_ = 0; ///< consecutive
  Millis lastAnswerAt_{ 0 };
  Millis avoidUntil_{ 0 }; ///< no starts until then: refused or failed work
  /// Rises with an unanswered start and falls after some consecutive answered
  /// ones. Only starts that were sent after its last rise count.
  int suspicion_ = 0;
  Millis suspectedAt_{ 0 }; ///< time of the last rise of suspicion_
  int answeredStarts_ = 0;  ///< consecutive, since then
  /// Takes no starts, as its VM is to move or to be maintained.
  bool vacating_ = false;
  Millis vacatingSince_{ 0 };
  /// Recently failed runs: time and job.
  std::deque<std::pair<Millis, std::string>> failures_;
  std::deque<Millis> successes_; ///< times of runs done recently

  std::map<RunKey, RunState> runs_;

private:
  Resources used_;
  int bestEffortRuns_ = 0;
};

} // namespace coltsfootshed

#endif
