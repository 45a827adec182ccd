/// \file
/// Targets, a store and a network that lose, delay and reorder, around real
/// schedulers; an oracle judges each start and what is shown.
#ifndef COLTSFOOTSHED_UNITTESTS_SCHEDULING_SCHEDULERWORLD_H
#define COLTSFOOTSHED_UNITTESTS_SCHEDULING_SCHEDULERWORLD_H

#include "Support/ManualClock.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <deque>
#include <optional>

namespace coltsfootshed {

/// A way in which the world misleads a scheduler; each must be caught by a
/// check of the oracle.
enum class SchedulerLie
{
  None,
  SavesAreLost,     ///< progress is said to be saved and is not
  FencesIgnored,    ///< targets obey lower fences
  RunsHidden,       ///< targets do not list what they run
  CapacityDoubled,  ///< the registry says twice the room
  EndsInvented,     ///< runs are said to be done that are at work
  FailuresForgotten ///< counts of failures are not carried to a successor
};

class SchedulerWorld
{
public:
  explicit SchedulerWorld(SchedulerLie aLie = SchedulerLie::None);

  // Events; the number chooses.
  void Submit(unsigned aPick);
  void SubmitGang(unsigned aPick);
  void Cancel(unsigned aPick);
  void Decide(unsigned aPick);
  void Deliver(unsigned aPick);
  void Answer(unsigned aPick);
  void LoseCall(unsigned aPick);
  void LoseAnswer(unsigned aPick);
  void RefuseConnect(unsigned aPick);
  void ExecuteLate(unsigned aPick);
  void PassTime(unsigned aPick);
  void FailRun(unsigned aPick);
  void Reincarnate(unsigned aPick);
  void TakeOver(unsigned aPick);
  void FailSave(unsigned aPick);
  void Vacate(unsigned aPick);

  /// Ends all trouble and runs until everything should have ended.
  void Drain();
  /// The first broken promise, or an empty text.
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
    Millis bornAt_{ 0 };
    double rate_ = 1; ///< of its clock
    Fence fence_ = 0;
    TargetClock until_ = 0;
    std::map<RunKey, FakeRun> runs_;
    std::deque<EndedRow> ended_;
    std::uint64_t lastEnd_ = 0;
    std::map<TaskName, RunNumber> refused_; ///< highest stopped or ended
  };
  using Order = std::variant<HoldOrder, StartOrder, StopOrder, PaceOrder>;
  struct Call
  {
    std::uint64_t scheduler_ = 0;
    std::string target_;
    Order order_;
    std::int64_t born_ = 0; ///< life for which it was meant
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
    std::set<TaskName> done_;  ///< ended done at least once
    std::set<TaskName> noted_; ///< of them, acknowledged to the target
    std::map<TaskName, std::set<RunNumber>> failed_; ///< acknowledged
    std::set<std::string> checkpoints_;
  };
  struct Leader
  {
    std::uint64_t id_ = 0;
    std::unique_ptr<Scheduler> scheduler_;
  };

  void AddJob(JobRecord aRecord);
  void AddLeader();
  Scheduler* Find(std::uint64_t aId);
  void Run(Scheduler& aScheduler, std::uint64_t aId);
  void Save(Scheduler& aScheduler, const SaveProgress& aSave);
  Reply Execute(const Call& aCall);
  HoldAnswer ExecuteHold(FakeTarget& aTarget, const HoldOrder& aOrder);
  OrderAnswer ExecuteStart(FakeTarget& aTarget, const StartOrder& aOrder);
  OrderAnswer ExecuteStop(FakeTarget& aTarget, const StopOrder& aOrder);
  void Return(const Reply& aReply);
  void ReturnFailure(const Call& aCall, OrderEnd aEnd);
  void Judge(FakeTarget& aTarget, const StartOrder& aOrder);
  void JudgeShown();
  void End(FakeTarget& aTarget, const RunKey& aKey, RunEnd aHow);
  void Settle();
  TargetClock ClockOf(const FakeTarget& aTarget) const;
  void Break(const std::string& aWhat);
  bool AllEnded();

  SchedulerLie lie_;
  ManualClock clock_;
  std::map<std::string, FakeTarget> targets_;
  std::map<std::string, KnownJob> jobs_;
  std::map<std::string, std::pair<std::string, Revision>> progress_;
  std::vector<TargetInfo> roster_;
  Revision revision_ = 10;
  std::vector<Leader> leaders_; ///< the last one leads; others are cut off
  std::vector<Call> calls_;
  std::vector<Call> late_;
  std::vector<Reply> replies_;
  int failSaves_ = 0;
  std::uint64_t submitted_ = 0;
  std::string violation_;
};

} // namespace coltsfootshed

#endif
