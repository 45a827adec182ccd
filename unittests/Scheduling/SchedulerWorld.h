/// \file
/// Simulates targets, a store and a network that lose, delay and reorder
/// messages, around real schedulers. An oracle checks each start and the states
/// shown to clients.
#ifndef COLTSFOOTSHED_UNITTESTS_SCHEDULING_SCHEDULERWORLD_H
#define COLTSFOOTSHED_UNITTESTS_SCHEDULING_SCHEDULERWORLD_H

#include "Support/ManualClock.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <deque>
#include <optional>

namespace coltsfootshed {

/// A fault of the simulation that breaks a guarantee; a check of the oracle
/// must report each.
enum class SchedulerMutant
{
  None,
  SavesAreLost,        ///< progress is reported as saved but is not
  FencesIgnored,       ///< targets accept orders with lower fences
  RunsHidden,          ///< targets do not list their runs
  CapacityDoubled,     ///< the registry lists twice the capacity
  EndsInvented,        ///< targets list running runs as done
  FailuresForgotten,   ///< a successor loses the failed runs
  IncarnationsIgnored, ///< targets take what was meant for an earlier life
  LivingTargetsRetired ///< targets that still exist are said to be gone
};

class SchedulerWorld
{
public:
  explicit SchedulerWorld(SchedulerMutant aMutant = SchedulerMutant::None);

  // Events; the number selects among the possible ones.
  void Submit(unsigned aPick);
  void SubmitGang(unsigned aPick);
  void Cancel(unsigned aPick);
  void Decide(unsigned aPick);
  /// Carries out a call on its target.
  void Deliver(unsigned aPick);
  /// Passes an answer to the scheduler that made the call.
  void Answer(unsigned aPick);
  /// Reports a call that was not carried out as unanswered. ExecuteLate() may
  /// still carry it out.
  void LoseCall(unsigned aPick);
  /// Reports a call that was carried out as unanswered.
  void LoseAnswer(unsigned aPick);
  void RefuseConnect(unsigned aPick);
  void ExecuteLate(unsigned aPick);
  void PassTime(unsigned aPick);
  void FailRun(unsigned aPick);
  void RestartTarget(unsigned aPick);
  void TakeOver(unsigned aPick);
  void FailSave(unsigned aPick);
  void Vacate(unsigned aPick);
  /// Replaces a target for good, by one on the same or on another VM.
  void ReplaceTarget(unsigned aPick);
  /// Tells the last scheduler which of the targets that it waits for are gone.
  void RetireTargets(unsigned aPick);

  /// Stops all failures and runs until all jobs have ended; a job that does not
  /// end is a violation.
  void Drain();
  /// The first violation, or an empty text.
  const std::string& Violation() const { return violation_; }

private:
  struct FakeRun
  {
    Millis endsAt_{ 0 };
    std::optional<Millis> stopsAt_;
    bool fails_ = false;
  };
  struct FakeTarget
  {
    TargetInfo info_;
    Millis restartedAt_{ 0 }; ///< on the simulation's clock
    double clockRate_ = 1;    ///< rate of its clock
    Fence fence_ = 0;
    TargetTime leaseEnd_ = 0;
    std::map<RunKey, FakeRun> runs_;
    std::deque<EndedRun> ended_;
    std::uint64_t lastEnd_ = 0;
    std::map<TaskName, RunNumber> refused_; ///< highest run stopped or ended
  };
  using Order = std::variant<HoldOrder, StartOrder, StopOrder, PaceOrder>;
  struct Call
  {
    std::uint64_t scheduler_ = 0;
    std::string target_;
    Order order_;
    Millis sentAt_{ 0 };
  };
  struct Reply
  {
    Call call_;
    std::variant<HoldAnswer, OrderAnswer> answer_;
  };
  struct KnownJob
  {
    JobRecord record_;
    Revision created_ = 0;
    bool cancelled_ = false;
    std::set<TaskName> done_; ///< done at least once
    /// Of done_, those acknowledged to the target.
    std::set<TaskName> acknowledgedDone_;
    /// Failed runs that were acknowledged to the target.
    std::map<TaskName, std::set<RunNumber>> failed_;
    std::set<std::string> checkpoints_;
  };
  struct Leader
  {
    std::uint64_t id_ = 0;
    std::unique_ptr<Scheduler> scheduler_;
  };

  void AddJob(JobRecord aRecord);
  /// Adds a successor that loads the saved state. The leader before it goes on
  /// with an authority that is not confirmed.
  void AddLeader(Authority aPredecessors);
  /// Returns the scheduler with an id, or null if it has been removed.
  Scheduler* Find(std::uint64_t aId);
  /// Lets a scheduler decide and carries out its orders; calls to targets wait
  /// in calls_.
  void Run(Scheduler& aScheduler, std::uint64_t aId);
  void Save(Scheduler& aScheduler, const SaveProgress& aSave);
  /// Carries out a call; it is not sent if its target no longer exists.
  Reply Execute(const Call& aCall);
  HoldAnswer ExecuteHold(FakeTarget& aTarget, const HoldOrder& aOrder);
  OrderAnswer ExecuteStart(FakeTarget& aTarget, const StartOrder& aOrder);
  OrderAnswer ExecuteStop(FakeTarget& aTarget, const StopOrder& aOrder);
  void Return(const Reply& aReply);
  void ReturnFailure(const Call& aCall, OrderEnd aEnd);
  /// Reports all calls to a target as unanswered; orders may be late.
  void BreakConnections(const std::string& aTarget);
  void CheckStart(FakeTarget& aTarget, const StartOrder& aOrder);
  void CheckShownStates();
  void End(FakeTarget& aTarget, const RunKey& aKey, RunEnd aRunEnd);
  void EndDueRuns();
  TargetTime ClockOf(const FakeTarget& aTarget) const;
  void ReportViolation(const std::string& aWhat);
  bool AllEnded();

  SchedulerMutant mutant_;
  ManualClock clock_;
  std::map<std::string, FakeTarget> targets_;
  std::map<std::string, KnownJob> jobs_;
  /// Saved progress by job, with its revision.
  std::map<std::string, std::pair<std::string, Revision>> progress_;
  std::vector<TargetInfo> roster_;
  Revision revision_ = 10;
  std::vector<Leader> leaders_; ///< the last one leads; the others cannot save
  std::vector<Call> calls_;     ///< not carried out yet
  std::vector<Call> lostCalls_; ///< without an answer; may be carried out late
  std::vector<Reply> replies_;  ///< not received yet
  int savesToFail_ = 0;
  std::uint64_t submitted_ = 0;
  int targetsCreated_ = 0;
  std::string violation_;
};

} // namespace coltsfootshed

#endif
