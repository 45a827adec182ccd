/// \file
/// What a scheduler believes of one target: its life, lease, room, runs and
/// evidence of trouble.
#ifndef COLTSFOOTSHED_SCHEDULING_TARGETSTATE_H
#define COLTSFOOTSHED_SCHEDULING_TARGETSTATE_H

#include "coltsfootshed/Targets/Target.h"

#include <deque>
#include <map>

namespace coltsfootshed {

enum class RunPhase
{
  Starting, ///< the order is under way
  Unknown,  ///< the order got no answer
  Running,
  Stopping
};

/// A run that takes room on a target, or may do so.
struct RunState
{
  RunPhase phase_ = RunPhase::Starting;
  Resources takes_;
  bool serves_ = false; ///< has a latency target
  bool fills_ = false;
  bool lasting_ = false; ///< ends only when cancelled
  std::string label_;    ///< that its target must carry; empty: any
  Millis latencyTarget_{ 0 };
  Millis estimate_{ 0 };
  Millis sentAt_{ 0 };
  Millis answeredAt_{ 0 };
  TargetClock leaseUntil_ = 0;
  int percent_ = 0;
  std::int64_t recent_ = 0;
  int pace_ = 100; ///< as ordered
  Millis pacedAt_{ 0 };
  bool orderInFlight_ = false; ///< a stop or pace
  Millis nextOrderAt_{ 0 };
};

using RunKey = std::pair<TaskName, RunNumber>;

class TargetState
{
public:
  explicit TargetState(TargetInfo aInfo)
    : info_(std::move(aInfo))
  {
  }

  /// Room that live runs leave.
  Resources Free() const;
  void AddRun(const RunKey& aKey, const RunState& aRun);
  void RemoveRun(const RunKey& aKey);
  RunState* FindRun(const RunKey& aKey);

  /// Earliest value that its clock can show at aNow.
  TargetClock EarliestClock(Millis aNow) const;
  /// A lease end for something sent at aNow.
  TargetClock LeaseEnd(Millis aNow, Millis aLease) const;
  /// True if every lease granted in this life has run out for certain.
  bool HasLapsed(Millis aNow) const;
  const std::string& Rack() const;
  bool HasLabel(std::string_view aLabel) const;

  TargetInfo info_;
  bool registered_ = false; ///< the registry lists it now
  bool inRoster_ = false;   ///< the saved roster names it
  bool held_ = false;       ///< has answered under this scheduler's fence
  std::int64_t born_ = 0;   ///< life that answered last
  Millis clockReadAt_{ 0 };
  TargetClock clockRead_ = 0;
  TargetClock leaseGranted_ = 0;   ///< highest that may have arrived
  TargetClock leaseOffered_ = 0;   ///< by the hold that is under way
  std::uint64_t processed_ = 0;    ///< highest end number taken in
  std::uint64_t acknowledged_ = 0; ///< highest end number that is saved
  /// End numbers whose changes are not saved yet, oldest first.
  struct UnsavedEnd
  {
    std::uint64_t number_ = 0;
    std::string job_;
    ChangeNumber change_ = 0;
  };
  std::deque<UnsavedEnd> unsaved_;

  bool holdInFlight_ = false;
  Millis holdSentAt_{ 0 };
  Millis nextHoldAt_{ 0 };
  bool lookInFlight_ = false; ///< beside a hold that waits
  Millis lookSentAt_{ 0 };
  int failedHolds_ = 0; ///< in a row
  Millis lastAnswerAt_{ 0 };
  Millis avoidUntil_{ 0 }; ///< refused or failed work a moment ago
  /// Rises with an unanswered start, falls after some answered ones in a row;
  /// only starts that were sent after its last rise count.
  int doubts_ = 0;
  Millis judgedAt_{ 0 };   ///< when doubts_ rose last
  int answeredStarts_ = 0; ///< in a row since then
  bool vacating_ = false;  ///< no starts: it is to move or be maintained
  Millis vacatingSince_{ 0 };
  std::deque<std::pair<Millis, std::string>> failures_; ///< time, job
  std::deque<Millis> successes_;

  std::map<RunKey, RunState> runs_;

private:
  Resources used_;
};

} // namespace coltsfootshed

#endif
