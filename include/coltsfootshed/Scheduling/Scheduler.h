/// \file
/// Schedules the jobs of one service: decides which task starts where and when,
/// which runs are kept, stopped or given up, and what is saved. It takes events
/// and returns orders; it does no input or output itself.
#ifndef COLTSFOOTSHED_SCHEDULING_SCHEDULER_H
#define COLTSFOOTSHED_SCHEDULING_SCHEDULER_H

#include "coltsfootshed/Accounts/AgreedRate.h"
#include "coltsfootshed/Accounts/CapUsage.h"
#include "coltsfootshed/Admission/StrideOrder.h"
#include "coltsfootshed/Pools/PoolPlanner.h"
#include "coltsfootshed/Scheduling/ArrivalRate.h"
#include "coltsfootshed/Scheduling/ImageEstimates.h"
#include "coltsfootshed/Scheduling/OwnDelay.h"
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
  /// Longest lease that a scheduler grants.
  Millis lease_{ 5000 };
  /// How long a new scheduler waits for targets that do not answer, see also
  /// SetKnownToPredecessors(). A scheduler that may have been replaced grants
  /// only leases that end within this time of the last moment at which it
  /// certainly led. At least lease_.
  Millis takeOverWait_{ 5000 };
  Millis longestLease_{ 10000 }; ///< targets shorten longer leases to this
  Millis longestStop_{ 900 };    ///< from a stop order to the end of the run
  /// Factor by which a task takes longer on another rack than its data's.
  double remoteDataSlowdown_ = 1;
};

/// How certain a scheduler can be that it has not been replaced. If it has
/// been, a target's fence stops it, or its successor waits for takeOverWait_.
enum class Authority
{
  Confirmed, ///< its lease in the store cannot have ended
  /// It may have been replaced by a VM that it does not know; no known one
  /// reaches the store. It goes on where a successor still waits.
  StoreUnreachable,
  Doubtful ///< a VM that may reach the store may have replaced it
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
/// Asks the advice service which of some targets may run a step.
struct AskAdvice
{
  TaskName step_; ///< index unused
  std::vector<std::string> targets_;
};
/// Saves the progress of jobs in one transaction.
struct SaveProgress
{
  struct Entry
  {
    std::string job_;
    std::string progress_;
    Revision revision_ = 0; ///< of the saved progress that this entry replaces
    ChangeNumber change_ = 0; ///< latest change that progress_ contains
  };
  std::vector<Entry> entries_;
};
/// Saves the roster: the targets on which runs may exist, with their addresses.
/// A successor reads it to find runs that it does not know, so a target gets no
/// start before the saved roster names it.
struct SaveRoster
{
  std::vector<TargetInfo> targets_;
};
/// Another scheduler has a higher fence: the owner must drop this one. Decide()
/// does not return it; the owner sees OrderEnd::FenceTooLow in an answer, after
/// which Decide() returns no orders.
struct StepDown
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
                                    StepDown>;

/// How a job stands against its completion objective, in the order of starts.
enum class DeadlineClass
{
  LongRunning, ///< runs until cancelled, so has no completion objective
  Started,     ///< can be in time, and some of its tasks have started
  InTime,      ///< in time if it starts now, with some margin
  Late,        ///< has less value, or is in time without that margin
  BeyondRate,  ///< has not started, and is beyond its account's agreed rate
  NoValue,     ///< no longer has any value to its client
};

/// Position of a step in the order of starts; the smallest starts first.
/// Designed for queues that ask for more than their pool holds: started jobs
/// are finished before others start, so that no room is spent on steps that
/// wait partly placed. Within a class and priority, the least slack comes
/// first, and among late jobs the least time left.
struct StepRank
{
  DeadlineClass deadlineClass_ = DeadlineClass::NoValue;
  int priority_ = 0;
  double slackOrTimeLeft_ = 0; ///< in ms; Late, NoValue: estimated time left

  // The linter mistakes the 0 of the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StepRank&) const = default;
};

class Scheduler
{
public:
  /// aClock never goes backwards; decisions are timed by it. aWallClock counts
  /// from 1970 and may jump; it is compared only with the times at which jobs
  /// were accepted or are due. Both must outlive the scheduler.
  Scheduler(const Clock& aClock,
            const Clock& aWallClock,
            SchedulerSettings aSettings);

  /// aAsOf is a time on aClock that was read before aAuthority was determined.
  void SetAuthority(Authority aAuthority, Millis aAsOf);
  /// Shortens the wait for targets that do not answer to lease_, or not: every
  /// scheduler that this one may have replaced has granted no lease since its
  /// own leadership became uncertain, as it knew that this VM reaches the
  /// store.
  void SetKnownToPredecessors(bool aKnown) { knownToPredecessors_ = aKnown; }
  /// Returns the authority that was set last.
  Authority CurrentAuthority() const { return authority_; }
  /// Notes by how much the owner calls Decide() later than it was due.
  void NoteLateness(Millis aLate) { ownDelay_.Note(aLate); }

  // Events about jobs.
  /// aCreated is the revision at which the store accepted the job. Ignores jobs
  /// of other services and known ones.
  void AddJob(JobRecord aRecord, Revision aCreated);
  /// Loads the saved progress of a job, with the revision at which it was
  /// saved. A job whose progress cannot be read starts nothing, as its tasks
  /// may be done. Ignores jobs that are not known.
  void LoadProgress(std::string_view aJob,
                    std::string_view aProgress,
                    Revision aRevision);
  /// Cancels a job; if it is not known, as soon as it is added.
  void CancelJob(std::string_view aJob);
  /// Drops a job that has ended; does nothing for others.
  void ForgetJob(std::string_view aJob);
  /// Drops the cancel of a job that is not known; does nothing for others.
  void ForgetCancel(std::string_view aJob);

  // Events about targets.
  /// Adds the targets of the roster that an earlier scheduler saved. Only their
  /// ids, services and addresses are needed.
  void LoadRoster(std::span<const TargetInfo> aTargets);
  /// Notes that an earlier scheduler's roster cannot be read: runs may exist on
  /// targets that are not known.
  void SetRosterUnknown() { rosterUnknown_ = true; }
  /// Adds or updates a target that the registry lists. If it now belongs to
  /// another service, unregisters it.
  void RegisterTarget(const TargetInfo& aTarget);
  /// Starts nothing more on a target that the registry no longer lists. Its
  /// runs are held as before.
  void UnregisterTarget(std::string_view aId);
  /// Sets the targets that must take no starts, as told by the pool manager
  /// with fence aManagerFence. Returns false, and changes nothing, if a manager
  /// with a higher fence has called before. Ids of unknown targets are ignored.
  bool SetVacating(Fence aManagerFence, std::span<const std::string> aTargets);
  /// Waits no longer for targets of the roster that no longer exist, so that no
  /// run on them can exist either. Does nothing for targets that have answered.
  void RetireTargets(std::span<const std::string> aTargets);

  /// Sets the weights and caps of accounts.
  void SetAccounts(std::span<const AccountConfig> aAccounts);
  /// What accounts have running here, and how much of their caps this service
  /// has.
  CapUsage& Caps() { return caps_; }

  // Answers to orders. OnProbe() takes the answer to a hold order with isProbe_
  // set.
  void OnHold(const std::string& aTarget, const HoldAnswer& aAnswer);
  void OnProbe(const std::string& aTarget, const HoldAnswer& aAnswer);
  void OnStart(const std::string& aTarget,
               const RunKey& aRun,
               const OrderAnswer& aAnswer);
  void OnStop(const std::string& aTarget,
              const RunKey& aRun,
              const OrderAnswer& aAnswer);
  void OnPace(const std::string& aTarget,
              const RunKey& aRun,
              const OrderAnswer& aAnswer);
  /// aWasLate: OnAdviceLate() was called before.
  void OnAdvice(const TaskName& aStep,
                std::span<const std::string> aAsked,
                const Advice& aAdvice,
                bool aWasLate);
  /// Notes that advice takes long. It may be asked for again.
  void OnAdviceLate(const TaskName& aStep);
  /// Returns false if the answer to a request for advice is no longer needed.
  bool WantsAdvice(const TaskName& aStep);
  /// aRevision is that of the saved progress; 0 if the transaction failed.
  void OnSaved(const SaveProgress& aSave, Revision aRevision);
  /// Sets the revision of a job's saved progress after it differed from the
  /// expected one.
  void OnProgressRevision(std::string_view aJob, Revision aRevision);
  /// aSaved is false if the transaction failed.
  void OnRosterSaved(bool aSaved);

  /// Returns the orders that follow from the current state. The caller carries
  /// out each of them and passes the outcome to the matching function above.
  std::vector<SchedulerOrder> Decide();
  /// When Decide() has to be called if no event occurs before.
  Millis NextDue() const { return nextDue_; }

  /// Returns the state to show to clients, or nothing if the job is not known.
  std::optional<JobState> StateOf(std::string_view aJob) const;
  /// Returns how many jobs of a queue have not started, without periodic
  /// jobs.
  int Waiting(std::string_view aQueue) const;
  /// Returns how busy the service is, and what runs on each of its targets.
  PoolReport Report() const;
  /// Returns true when no target can have runs that this scheduler does not
  /// know.
  bool IsReady() const { return ready_; }
  std::size_t JobCount() const { return jobs_.size(); }
  /// Returns the ids of the jobs whose end is saved.
  std::vector<std::string> EndedJobs() const;
  /// Returns the ids of the jobs that were cancelled aAge ago or earlier and
  /// are not known.
  std::vector<std::string> UnmatchedCancels(Millis aAge) const;
  /// Returns the known targets by id, also those that are not registered.
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
    std::set<std::string> asked_; ///< targets not to ask about for now
    bool inFlight_ = false;       ///< and not late
    bool isRepeat_ = false;       ///< advice on this step was asked for before
    Millis askAgainAt_{ 0 };
    Millis endedAt_{ 0 }; ///< of the last request; 0: none
  };
  /// A step that needs advice in the current decision.
  struct AdviceWanted
  {
    TaskName step_;
    const StepSpec* spec_ = nullptr;
    int tasks_ = 0; ///< that have no run
  };
  /// A step with tasks that could start now.
  struct ReadyStep
  {
    Job* job_ = nullptr;
    Occurrence* occurrence_ = nullptr;
    int step_ = 0;
    StepRank rank_;
    /// An earlier scheduler may have started runs of its tasks that are not
    /// known. Only tasks that were running at the take-over may start.
    bool mayHaveUnknownRuns_ = false;

    bool MayStart(const TaskProgress& aTask) const
    {
      return !mayHaveUnknownRuns_ || aTask.wasRunningAtTakeOver_;
    }
  };

  /// What a task needs of its target.
  struct Fit
  {
    Resources needs_;
    std::string label_;
  };

  /// Returns null if the job is not known.
  Job* FindJob(std::string_view aId);
  /// Returns how long a lease may last that is granted now; may be negative.
  Millis LeaseToGrant() const;
  bool MayStart() const;
  /// Returns true if the answer is of an incarnation that has not answered
  /// while this scheduler certainly led, so that a successor's fence may be
  /// unknown to it.
  bool MayLackSuccessorsFence(const TargetState& aTarget,
                              const HoldAnswer& aAnswer) const;
  double WorkOf(const JobSpec& aSpec) const;
  using ByAccount = std::map<std::string, Resources, std::less<>>;

  void AddWaiting(const Job& aJob,
                  PoolReport& aReport,
                  ByAccount& aByAccount) const;
  void AddRun(TargetState& aTarget, const RunKey& aRun, const RunState& aState);
  void NoteUnconfirmedRuns();
  ChangeNumber MarkChanged(Job& aJob);
  void WakeBy(Millis aAt) { nextDue_ = std::min(nextDue_, aAt); }

  // Holds and the state of targets.
  void DecideHolds(std::vector<SchedulerOrder>& aOrders);
  void DecideProbe(TargetState& aTarget, std::vector<SchedulerOrder>& aOrders);
  bool ApplyAnswer(TargetState& aTarget,
                   const HoldAnswer& aAnswer,
                   Millis aSentAt);
  HoldOrder NextHold(TargetState& aTarget);
  Millis HoldPause(const TargetState& aTarget) const;
  void OnCallFailed(TargetState& aTarget, OrderEnd aEnd);
  void BeginIncarnation(TargetState& aTarget,
                        const HoldAnswer& aAnswer,
                        Millis aSentAt);
  void ApplyEnds(TargetState& aTarget, const HoldAnswer& aAnswer);
  void ApplyEnd(TargetState& aTarget, const EndedRun& aEnd);
  void ApplyRunning(TargetState& aTarget,
                    const HoldAnswer& aAnswer,
                    Millis aSentAt);
  TaskProgress* FindOrCreateTask(Job* aJob, const TaskName& aTask);
  void Adopt(TargetState& aTarget, const ReportedRun& aRunning);
  static void NoteRunningAtTakeOver(Job& aJob, const TaskName& aTask);
  void DropMissingRuns(TargetState& aTarget,
                       const HoldAnswer& aAnswer,
                       Millis aSentAt);
  void AcknowledgeSaved(TargetState& aTarget);
  void DropRuns(TargetState& aTarget,
                std::string_view aReason,
                const std::function<bool(const RunState&)>& aIsGone);
  void DropRun(TargetState& aTarget, const RunKey& aRun);
  void DropExpiredRuns();
  void Suspect(TargetState& aTarget, Millis aSentAt);
  static void ReduceSuspicion(TargetState& aTarget, Millis aSentAt);
  void CheckReady();
  /// Returns true if a run of an earlier scheduler may exist on the target.
  bool IsAwaited(const TargetState& aTarget) const;
  void Retire(TargetState& aTarget, std::string_view aReason);
  void RetireReplacedTargets();
  void CountOutcome(TargetState& aTarget, const std::string& aJob, bool aDone);

  // Stops and pace.
  void DecideEvacuations();
  int TasksUnavailable(const Job& aJob, const TaskName& aExcept) const;
  bool HasRoomElsewhere(const StepSpec& aSpec, const TaskName& aStep) const;
  void DecideStops(std::vector<SchedulerOrder>& aOrders);
  void DecideStopsOn(TargetState& aTarget,
                     std::vector<SchedulerOrder>& aOrders);
  bool IsWanted(const TargetState& aTarget,
                const RunKey& aRun,
                const RunState& aState);
  const RunState* FindRun(const TaskName& aTask, const LiveRun& aLive) const;
  bool MayBeStopping(const TargetState& aTarget, const RunState& aRun) const;
  bool IsAtWork(const TaskName& aTask, const LiveRun& aLive) const;
  const LiveRun& RunToKeep(const TaskName& aTask,
                           const TaskProgress& aProgress) const;
  void DecidePace(std::vector<SchedulerOrder>& aOrders);

  // Placement.
  void DecideStarts(std::vector<SchedulerOrder>& aOrders);
  void PlaceInFairOrder(std::span<const ReadyStep> aSteps,
                        std::vector<SchedulerOrder>& aOrders);
  void Place(const ReadyStep& aStep, std::vector<SchedulerOrder>& aOrders);
  std::int64_t WeightOf(std::string_view aAccount) const;
  void DropEndedJobs();
  std::vector<ReadyStep> ReadySteps();
  StepRank RankOf(const Job& aJob, const Occurrence& aOccurrence) const;
  Millis RemainingChain(const Job& aJob, const Occurrence& aOccurrence) const;
  Millis EstimateOf(const StepSpec& aStep) const;
  void PlaceStep(const ReadyStep& aStep, std::vector<SchedulerOrder>& aOrders);
  void NoteCapped(const ReadyStep& aStep, int aTasks);
  int TasksThatFit(const TargetState& aTarget,
                   const StepSpec& aSpec,
                   const Resources& aNeeds,
                   const TaskName& aStep,
                   int aMost) const;
  void PlaceGang(const ReadyStep& aStep, std::vector<SchedulerOrder>& aOrders);
  bool WantsStart(const TaskProgress& aTask, const StepSpec& aSpec) const;
  bool IsUnknownToEarlierSchedulers(const Job& aJob) const;
  void AddReadySteps(Job& aJob,
                     Occurrence& aOccurrence,
                     std::vector<ReadyStep>& aReady) const;
  TargetState* ChooseTarget(const ReadyStep& aStep,
                            const TaskProgress& aTask,
                            std::span<const std::string> aSiblingTargets);
  bool MayStartOn(const TargetState& aTarget) const;
  bool IsKnownNotToFit(const Fit& aFit) const;
  int RunsOfStep(const TargetState& aTarget, const TaskName& aStep) const;
  const Ticket* ValidTicket(const TaskName& aStep,
                            const std::string& aTarget) const;
  void DropAdvice(std::string_view aJob);
  void WantAdvice(const ReadyStep& aStep);
  void DecideAdvice(std::vector<SchedulerOrder>& aOrders);
  void EndRequest(StepAdvice& aAdvice) const;
  std::vector<AdviceWanted>::iterator NextForAdvice(bool aPrefersRepeat);
  std::vector<std::string> TargetsToAskAbout(const AdviceWanted& aWanted);
  std::size_t MostToAskAbout(const AdviceWanted& aWanted) const;
  void StartTask(const ReadyStep& aStep,
                 int aIndex,
                 RunNumber aRun,
                 TargetState& aTarget,
                 std::vector<SchedulerOrder>& aOrders);

  // Saving.
  void DecideSaves(std::vector<SchedulerOrder>& aOrders);
  std::vector<std::string> NextToSave() const;
  bool BelongsInRoster(const TargetState& aTarget) const;
  void CheckRoster();
  void DecideRoster(std::vector<SchedulerOrder>& aOrders);

  const Clock& clock_;
  const Clock& wallClock_;
  SchedulerSettings settings_;
  Millis createdAt_;
  bool ready_ = false;       ///< see IsReady()
  bool steppedDown_ = false; ///< a target has seen a higher fence
  Authority authority_ = Authority::Confirmed;
  bool knownToPredecessors_ = false; ///< see SetKnownToPredecessors()
  Millis confirmedAt_{ 0 }; ///< last time at which this scheduler certainly led
  Millis nextDue_{ 0 };
  ChangeNumber change_ = 0;
  RunNumber nextRun_;
  std::map<std::string, std::unique_ptr<Job>, std::less<>> jobs_;
  /// Jobs that have not ended, by id. Ended ones are kept for queries and are
  /// many times as many; each decision looks only at these.
  std::map<std::string_view, Job*> openJobs_;
  /// What found no target in the current decision. Room only shrinks during a
  /// decision, except where a gang that did not fit is taken back.
  std::vector<Fit> unfit_;
  /// A run may have become unwanted: all are to be checked.
  bool checkAllRuns_ = true;
  Millis runCheckAt_{ 0 }; ///< time of the next check of all runs
  /// When a stop is due, or a run becomes unwanted as time passes.
  Millis stopDueAt_{ Millis::max() };
  /// A job with unsaved changes.
  struct Unsaved
  {
    /// The change that made the job unsaved. After a save that lacked some
    /// changes: the latest change when that save ended.
    ChangeNumber since_ = 0;
    bool inFlight_ = false;
  };
  std::map<std::string, Unsaved, std::less<>> unsaved_;
  std::set<std::string> neededLabels_; ///< by steps of any job so far
  /// Jobs cancelled before they became known, and when.
  std::map<std::string, Millis, std::less<>> pendingCancels_;
  std::map<std::string, TargetState, std::less<>> targets_;
  std::map<TaskName, StepAdvice> advice_; ///< by step: a task name with index 0
  std::vector<AdviceWanted> adviceWanted_; ///< in the order of starts
  /// Share of the targets asked about for which recent advice had tickets; 0:
  /// not known.
  double grantedShare_ = 0;
  ImageEstimates estimates_;
  ArrivalRate arrivals_;
  CapUsage caps_;
  std::map<std::string, std::int64_t, std::less<>> weights_; ///< by account
  OwnDelay ownDelay_;
  int startsInFlight_ = 0; ///< ordered and not answered
  AgreedRate agreedRate_;
  StrideOrder accountOrder_;   ///< work: thousandths of a core times ms
  bool runsConfirmed_ = false; ///< caps_ knows that this scheduler is ready
  int savesInFlight_ = 0;
  Millis saveRetryAt_{ 0 };
  /// Highest fence of a pool manager that called SetVacating().
  Fence poolManagerFence_ = 0;
  bool rosterUnknown_ = false; ///< see SetRosterUnknown()
  bool rosterInFlight_ = false;
  bool rosterStale_ = false; ///< has to be saved again
  Millis rosterCheckAt_{ 0 };
  Millis rosterRetryAt_{ 0 };
  std::vector<std::string> rosterSent_; ///< ids in the last order, sorted
};

} // namespace coltsfootshed

#endif
