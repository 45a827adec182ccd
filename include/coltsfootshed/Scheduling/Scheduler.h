/// \file
/// Runs the jobs of one service: which task starts where and when, which runs
/// are held, stopped or given up, and what is to be saved. Takes events and
/// gives orders; knows no sockets.
#ifndef COLTSFOOTSHED_SCHEDULING_SCHEDULER_H
#define COLTSFOOTSHED_SCHEDULING_SCHEDULER_H

#include "coltsfootshed/Pools/PoolPlanner.h"
#include "coltsfootshed/Scheduling/ArrivalRate.h"
#include "coltsfootshed/Scheduling/ImageEstimates.h"
#include "coltsfootshed/Scheduling/TargetState.h"
#include "coltsfootshed/Targets/Target.h"

#include <memory>
#include <span>
#include <variant>

namespace coltsfootshed {

struct SchedulerSettings
{
  std::string service_;
  Fence fence_ = 0;
  /// Longest lease that any scheduler of this version grants; also what a new
  /// scheduler waits for where a target does not answer.
  Millis lease_{ 5000 };
  /// Granted while it is not certain that this scheduler still leads; shorter,
  /// so that a successor's wait covers grants that overlap its take-over.
  Millis unconfirmedLease_{ 3000 };
  Millis longestLease_{ 10000 }; ///< targets shorten longer ones to this
  double farFactor_ = 1;         ///< slowdown away from the data
};

/// How certain a scheduler can be that it has not been replaced.
enum class Authority
{
  Confirmed, ///< its lease in the store cannot have ended
  StoreAway, ///< nobody reaches the store, so nobody can have replaced it
  Doubtful   ///< it may have been replaced
};

struct TargetHold
{
  std::string target_;
  HoldOrder order_;
};
struct TargetStart
{
  std::string target_;
  StartOrder order_;
};
struct TargetStop
{
  std::string target_;
  StopOrder order_;
};
struct TargetPace
{
  std::string target_;
  PaceOrder order_;
};
/// Asks which of some targets may run a step.
struct AskAdvice
{
  TaskName step_; ///< index unused
  std::vector<std::string> targets_;
};
/// Progress of jobs, to be saved in one transaction.
struct SaveProgress
{
  struct Entry
  {
    std::string job_;
    std::string progress_;
    Revision revision_ = 0; ///< of the saved progress that it replaces
    ChangeNumber change_ = 0;
  };
  std::vector<Entry> entries_;
};
/// Ids and addresses of the targets on which runs may exist; saved before a
/// target gets its first start.
struct SaveRoster
{
  std::vector<TargetInfo> targets_;
};
/// Another scheduler has a higher fence: this one must be dropped.
struct Abdicate
{
  std::string target_;
};

using SchedulerOrder = std::variant<TargetHold,
                                    TargetStart,
                                    TargetStop,
                                    TargetPace,
                                    AskAdvice,
                                    SaveProgress,
                                    SaveRoster,
                                    Abdicate>;

/// What a step's job can still reach, best first.
enum class Prospect
{
  Lasting,  ///< has no end to be in time for
  Begun,    ///< in time, and some of its tasks have started
  InTime,   ///< in time if it starts now, even if it takes a little longer
  Late,     ///< worth less, or in time only by luck
  Hopeless, ///< worth nothing to its client any more
};

/// Smaller goes first. Load that it answers: a queue asks for more than its
/// pool holds. What was begun is finished before more is begun, so that no
/// room is spent on steps that wait half placed; the rest goes by least slack,
/// and what is late by least work left.
struct StepOrder
{
  Prospect prospect_ = Prospect::Hopeless;
  int priority_ = 0;
  double rest_ = 0; ///< slack, or work left if late; in ms

  // The linter takes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StepOrder&) const = default;
};

class Scheduler
{
public:
  Scheduler(const Clock& aClock,
            const Clock& aTimeOfDay,
            SchedulerSettings aSettings);

  void SetAuthority(Authority aAuthority);

  // What is known of jobs.
  /// aCreated: revision at which the store accepted it.
  void AddJob(JobRecord aRecord, Revision aCreated);
  void LoadProgress(std::string_view aJob,
                    std::string_view aProgress,
                    Revision aRevision);
  void CancelJob(std::string_view aJob);
  void ForgetJob(std::string_view aJob);

  // What is known of targets.
  void LoadRoster(std::span<const TargetInfo> aTargets);
  void RegisterTarget(const TargetInfo& aTarget);
  void UnregisterTarget(std::string_view aId);
  /// Targets that must take no starts, as the pool manager with a fence says.
  /// False, and nothing changes, if a later manager has spoken.
  bool SetVacating(Fence aManager, std::span<const std::string> aTargets);

  // Answers to orders.
  void OnHold(const std::string& aTarget, const HoldAnswer& aAnswer);
  void OnLook(const std::string& aTarget, const HoldAnswer& aAnswer);
  void OnStart(const std::string& aTarget,
               const RunKey& aRun,
               const OrderAnswer& aAnswer);
  void OnStop(const std::string& aTarget,
              const RunKey& aRun,
              const OrderAnswer& aAnswer);
  void OnPace(const std::string& aTarget,
              const RunKey& aRun,
              const OrderAnswer& aAnswer);
  void OnAdvice(const TaskName& aStep,
                std::span<const std::string> aAsked,
                const Advice& aAdvice);
  /// aRevision: of the saved progress; 0 if the transaction failed.
  void OnSaved(const SaveProgress& aSave, Revision aRevision);
  /// The saved progress of a job has another revision than was expected.
  void OnProgressRevision(std::string_view aJob, Revision aRevision);
  void OnRosterSaved(bool aSaved);

  /// Orders that follow from all that is known now.
  std::vector<SchedulerOrder> Decide();
  /// When Decide() is due if nothing else happens.
  Millis NextDue() const { return nextDue_; }

  /// State to be shown, or nothing if the job is not known.
  std::optional<JobState> StateOf(std::string_view aJob) const;
  /// Jobs without times that have not begun.
  int Waiting(std::string_view aQueue) const;
  /// How busy the service is, and what runs on each of its targets.
  PoolReport Report() const;
  /// True when no target can hold runs that this scheduler does not know.
  bool IsReady() const { return ready_; }
  std::size_t Jobs() const { return jobs_.size(); }
  /// Jobs that have ended, durably.
  std::vector<std::string> EndedJobs() const;
  const std::map<std::string, TargetState, std::less<>>& Targets() const
  {
    return targets_;
  }

private:
  struct Ticket
  {
    std::string text_;
    Millis validUntil_{ 0 };
  };
  struct StepAdvice
  {
    std::map<std::string, Ticket> tickets_; ///< by target
    std::set<std::string> asked_;
    bool inFlight_ = false;
    Millis askAgainAt_{ 0 };
  };
  /// A step with tasks that could start now.
  struct ReadyStep
  {
    Job* job_ = nullptr;
    Occurrence* occurrence_ = nullptr;
    int step_ = 0;
    StepOrder order_;
  };

  Job* FindJob(std::string_view aId);
  Millis LeaseToGrant() const;
  double WorkOf(const JobSpec& aSpec) const;
  void AddWaiting(const Job& aJob, PoolReport& aReport) const;
  ChangeNumber Touch(Job& aJob);
  void Due(Millis aAt) { nextDue_ = std::min(nextDue_, aAt); }

  // Holds and the life of targets.
  void DecideHolds(std::vector<SchedulerOrder>& aOrders);
  void DecideLook(TargetState& aTarget, std::vector<SchedulerOrder>& aOrders);
  bool TakeAnswer(TargetState& aTarget,
                  const HoldAnswer& aAnswer,
                  Millis aSentAt);
  HoldOrder NextHold(TargetState& aTarget);
  Millis HoldPause(const TargetState& aTarget) const;
  void OnHoldFailed(TargetState& aTarget, OrderEnd aEnd);
  void StartNewLife(TargetState& aTarget,
                    const HoldAnswer& aAnswer,
                    Millis aSentAt);
  void TakeEnds(TargetState& aTarget, const HoldAnswer& aAnswer);
  void TakeEnd(TargetState& aTarget, const EndedRow& aEnd);
  void TakeRunning(TargetState& aTarget, const HoldAnswer& aAnswer);
  TaskProgress* TaskOnTarget(Job* aJob, const TaskName& aTask);
  void Adopt(TargetState& aTarget, const RunningRow& aRow);
  void DropMissing(TargetState& aTarget,
                   const HoldAnswer& aAnswer,
                   Millis aSentAt);
  void AcknowledgeSaved(TargetState& aTarget);
  void DropRuns(TargetState& aTarget,
                std::string_view aReason,
                const std::function<bool(const RunState&)>& aIsGone);
  void RunIsGone(TargetState& aTarget, const RunKey& aRun);
  void DropLapsed();
  void Doubt(TargetState& aTarget, Millis aSentAt);
  static void Trust(TargetState& aTarget, Millis aSentAt);
  void CheckReady();
  void CountOutcome(TargetState& aTarget, const std::string& aJob, bool aDone);

  // Stops and pace.
  void DecideEvacuations();
  int TasksAway(const Job& aJob, const TaskName& aExcept) const;
  bool HasRoomElsewhere(const StepSpec& aSpec, const TaskName& aStep) const;
  void DecideStops(std::vector<SchedulerOrder>& aOrders);
  bool IsWanted(const TargetState& aTarget,
                const RunKey& aRun,
                const RunState& aState);
  void DecidePace(std::vector<SchedulerOrder>& aOrders);

  // Placement.
  void DecideStarts(std::vector<SchedulerOrder>& aOrders);
  std::vector<ReadyStep> ReadySteps();
  StepOrder OrderOf(const Job& aJob, const Occurrence& aOccurrence) const;
  Millis RemainingChain(const Job& aJob, const Occurrence& aOccurrence) const;
  Millis EstimateOf(const StepSpec& aStep) const;
  void PlaceStep(const ReadyStep& aStep, std::vector<SchedulerOrder>& aOrders);
  void PlaceGang(const ReadyStep& aStep, std::vector<SchedulerOrder>& aOrders);
  bool WantsStart(const TaskProgress& aTask, const StepSpec& aSpec) const;
  TargetState* ChooseTarget(const ReadyStep& aStep,
                            const TaskProgress& aTask,
                            std::span<const std::string> aTaken);
  bool MayUse(const TargetState& aTarget) const;
  int RunsOfStep(const TargetState& aTarget, const TaskName& aStep) const;
  const Ticket* ValidTicket(const TaskName& aStep,
                            const std::string& aTarget) const;
  void DropAdvice(std::string_view aJob);
  void AskForAdvice(const ReadyStep& aStep,
                    std::vector<SchedulerOrder>& aOrders);
  void StartTask(const ReadyStep& aStep,
                 int aIndex,
                 RunNumber aRun,
                 TargetState& aTarget,
                 std::vector<SchedulerOrder>& aOrders);

  // Saving.
  void DecideSaves(std::vector<SchedulerOrder>& aOrders);
  std::vector<std::string> NextToSave() const;
  bool IsRosterNeeded(const TargetState& aTarget) const;
  void SweepRoster();
  void DecideRoster(std::vector<SchedulerOrder>& aOrders);

  const Clock& clock_;
  const Clock& timeOfDay_;
  SchedulerSettings settings_;
  Millis bornAt_;
  bool ready_ = false;
  bool abdicated_ = false;
  Authority authority_ = Authority::Confirmed;
  Millis nextDue_{ 0 };
  ChangeNumber change_ = 0;
  RunNumber nextRun_;
  std::map<std::string, std::unique_ptr<Job>, std::less<>> jobs_;
  /// A job with changes that are not saved.
  struct Unsaved
  {
    ChangeNumber since_ = 0; ///< its oldest change after the last save
    bool inFlight_ = false;
  };
  std::map<std::string, Unsaved, std::less<>> unsaved_;
  std::set<std::string> neededLabels_; ///< by steps of any job so far
  std::set<std::string> lateCancels_;  ///< cancelled before they were known
  std::map<std::string, TargetState, std::less<>> targets_;
  std::map<TaskName, StepAdvice> advice_; ///< index 0 names the step
  ImageEstimates estimates_;
  ArrivalRate arrivals_;
  int savesInFlight_ = 0;
  Millis saveAgainAt_{ 0 };
  Fence poolManager_ = 0; ///< highest fence of one that spoke
  bool rosterInFlight_ = false;
  bool rosterStale_ = false;
  Millis rosterSweepAt_{ 0 };
  Millis rosterAgainAt_{ 0 };
  std::vector<std::string> rosterSent_;
};

} // namespace coltsfootshed

#endif
