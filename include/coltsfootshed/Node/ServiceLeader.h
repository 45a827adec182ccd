/// \file
/// Leads one service: loads its state from the store, sends the scheduler's
/// orders to targets and store, and passes their answers to the scheduler.
#ifndef COLTSFOOTSHED_NODE_SERVICELEADER_H
#define COLTSFOOTSHED_NODE_SERVICELEADER_H

#include "coltsfootshed/Node/DecisionPacing.h"
#include "coltsfootshed/Scheduling/Scheduler.h"
#include "coltsfootshed/Store/PrefixFollower.h"
#include "coltsfootshed/Support/AliveGuard.h"
#include "coltsfootshed/Targets/AdviceQueue.h"

namespace coltsfootshed {

struct JobsConfig;
struct PoolRequest;

class ServiceLeader final : private PrefixListener
{
public:
  struct Dependencies
  {
    event_base* base_ = nullptr;
    const Clock& clock_;
    const Clock& wallClock_;
    KeyValueStore& store_;
    TargetCalls& targets_;
    AdviceQueue* advice_ = nullptr; ///< null: not configured
    /// Returns how certain it is, now, that this leader has not been replaced.
    std::function<Authority()> authority_;
    /// Returns whether all leaders before one that began at the given time knew
    /// this VM as one that reaches the store; none: they did not.
    std::function<bool(Millis)> wasKnownToPredecessorsOf_{};
  };
  struct Options
  {
    std::string service_;
    Fence fence_ = 0;              ///< revision of the leader's key
    Millis lease_{ 5000 };         ///< granted to runs
    Millis longestLease_{ 10000 }; ///< longest lease that a target grants
    Millis takeOverWait_{ 5000 };  ///< see SchedulerSettings
    Millis longestStop_{ 900 };    ///< from a stop order to the end of the run
    /// How long an ended job can be queried.
    Millis endedJobRetention_{ 120000 };
    Millis deletionInterval_{ 5000 }; ///< between deletions of old items
    Millis longestWatch_{ 1000 };     ///< wait of a watch for events
    double remoteDataSlowdown_ = 1;   ///< slowdown of a task away from its data
    /// Whether a pool manager divides the caps of accounts among services.
    bool hasPoolManager_ = true;
  };

  /// aOnStepDown runs once, from a callback, when a leader with a higher fence
  /// was found.
  ServiceLeader(Dependencies aDependencies,
                Options aOptions,
                std::function<void()> aOnStepDown);
  ~ServiceLeader() override;
  ServiceLeader(const ServiceLeader&) = delete;
  ServiceLeader& operator=(const ServiceLeader&) = delete;

  /// Adds a job that is in the store; aCreated is the revision at which the
  /// store accepted it. This and CancelJob do nothing before the saved state is
  /// loaded, as loading finds all jobs and cancel marks.
  void AddJob(JobRecord aRecord, Revision aCreated);
  void CancelJob(std::string_view aJob);
  void RegisterTarget(const TargetInfo& aTarget);
  void UnregisterTarget(const std::string& aId);
  /// Decides again soon, as its authority may have changed.
  void OnAuthorityChecked() { ScheduleDecision(); }
  /// Sets the queues and accounts that are in force.
  void SetConfig(std::shared_ptr<const JobsConfig> aConfig);
  /// Carries out what the pool manager orders. Returns false, and changes
  /// nothing, if a manager with a higher fence has called before.
  bool ApplyPoolRequest(const PoolRequest& aRequest);

  /// Returns true if it knows all jobs that were accepted longer than aMaxAge
  /// ago, and no other leader can have started some of them.
  bool KnowsJobs(Millis aMaxAge) const;
  /// Returns how late this leader's decisions have been of late, as its VM was
  /// short of processor time.
  Millis Lateness() const { return lateness_; }
  /// Returns true if the known configuration assigns a queue to this service.
  bool KnowsQueue(std::string_view aQueue) const
  {
    return queues_.count(aQueue) > 0;
  }
  /// Returns the other services that may have jobs of a queue of this service,
  /// as they were accepted when the queue was assigned to them.
  std::set<std::string> EarlierServicesOf(std::string_view aQueue) const;
  /// Returns true once the saved state is loaded.
  bool IsLoaded() const { return loaded_; }
  const Scheduler& State() const { return scheduler_; }

private:
  void OnSnapshot(std::vector<StoreItem> aItems) override;
  void OnEvent(const StoreEvent& aEvent) override;
  void Apply(const StoreItem& aItem);
  void LoadRoster();
  void LoadCapShares();
  void LoadProgress();
  void ReadProgressPage(const std::string& aAfter);
  /// Reads all jobs and cancel marks, then follows their changes.
  void FollowWork();
  /// Returns true if another service may have jobs of a queue that the new
  /// configuration assigns to this one.
  bool GainsMovedQueue(const JobsConfig& aConfig) const;
  void NoteJobOfOtherService(const JobRecord& aRecord);
  void OnLoaded();
  /// Runs a step of loading again after a delay.
  void Retry(std::function<void()> aStep);

  /// Makes the scheduler decide soon.
  void ScheduleDecision();
  void StartDecisionTimer(Millis aDelay);
  void NoteLateness();
  /// Tells the scheduler how certain it is that it leads.
  void ReadAuthority();
  /// As ReadAuthority(), if the scheduler is certain.
  void CheckStillConfirmed();
  /// Sends the scheduler's current orders.
  void Decide();
  void Execute(SchedulerOrder& aOrder);
  void SendHold(const TargetHold& aHold);
  using AnswerHandler = void (Scheduler::*)(const std::string&,
                                            const RunKey&,
                                            const OrderAnswer&);
  auto ToScheduler(const std::string& aTarget,
                   const RunKey& aRun,
                   AnswerHandler aHandler);
  void SendStart(const TargetStart& aStart);
  void SendStop(const TargetStop& aStop);
  void SendPace(const TargetPace& aPace);
  void RequestAdvice(const AskAdvice& aAsk);
  void CommitProgress(const SaveProgress& aSave);
  void CommitRoster(const SaveRoster& aRoster);
  bool IsFencedOff(const CommitResult& aResult);
  void StepDown();
  void DeleteOldItems();
  void DeleteEndedJobs();
  void DeleteUnmatchedCancels();
  Millis RetentionTime() const;

  Dependencies dependencies_;
  Options options_;
  std::function<void()> onStepDown_;
  Scheduler scheduler_;
  Timer decisionTimer_;
  Timer retryTimer_;
  Timer deletionTimer_;
  std::function<void()> retryStep_;
  Millis createdAt_;
  bool loaded_ = false;
  bool decisionScheduled_ = false;
  Millis decisionDueAt_{ 0 };
  Millis lateness_{ 0 }; ///< smoothed
  Millis decisionDelay_ = DecisionDelayAfter(Millis(0));
  bool deciding_ = false;
  bool steppedDown_ = false;
  Revision rosterRevision_ = 0;
  /// Saved progress and its revision, by job; only while loading.
  std::map<std::string, std::pair<std::string, Revision>> progress_;
  /// When a job was first seen as ended, by job.
  std::map<std::string, Millis> endedSince_;
  std::shared_ptr<const JobsConfig> config_;
  std::set<std::string, std::less<>> queues_; ///< of this service
  /// A stored job of another service, whose queue is not assigned to that
  /// service by the configuration known when the job became known.
  struct MovedJob
  {
    std::string queue_;
    std::string service_;
  };
  std::map<std::string, MovedJob, std::less<>> movedJobs_; ///< by id
  /// Queues that were taken from other services.
  std::set<std::string, std::less<>> queuesTakenElsewhere_;
  std::unique_ptr<PrefixFollower> work_; ///< jobs and cancel marks
  AliveGuard guard_;
};

} // namespace coltsfootshed

#endif
