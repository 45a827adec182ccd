// Stops runs, sets their pace, and handles the answers to start, stop and pace
// orders.
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <algorithm>
#include <array>

namespace coltsfootshed {

/// Percentage that a target reports for a long-running task whose startup is
/// complete.
static constexpr int kStartupDonePercent = 100;
/// Pause before a stop that was not confirmed is sent again.
static constexpr Millis kStopRetry{ 100 };
/// After a start without an answer, probes have this long to find the run
/// before it is stopped.
static constexpr Millis kUnansweredStartGrace{ 100 };
/// Longest time between two checks of all runs.
static constexpr Millis kRunCheckInterval{ 100 };
/// Allowance for the delay of a target's answers.
static constexpr Millis kStopMargin{ 200 };
/// Runs of unknown jobs are not stopped for this long: a job may become known
/// later than its runs.
static constexpr Millis kUnknownJobGrace{ 3000 };
/// Pauses of starts on a target that refused one: for lack of room, or as
/// unhealthy (also when the start could not be sent).
static constexpr Millis kNoRoomPause{ 200 };
static constexpr Millis kUnhealthyPause{ 1000 };
/// A target that repeatedly leaves starts unanswered gets no starts for this
/// long, doubled each time. A single start without an answer is weak evidence:
/// after it, starts are only sent one at a time.
static constexpr Millis kSuspectedPause{ 500 };
static constexpr int kMaxSuspicion = 5; ///< bounds the doubling
static constexpr int kAnswersToReduceSuspicion = 3;
/// Once a target has been vacating for this long, its tasks are stopped even if
/// no other target has room for them, as far as the availability of their steps
/// allows.
static constexpr Millis kEvacuationTimeout{ 3000 };
/// Delay before a task is started again whose start order the target found
/// malformed.
static constexpr Millis kMalformedStartPause{ 5000 };
/// Best-effort tasks are slowed down while a serving task's tail latency is
/// above this share of its latency objective.
static constexpr double kSlowDownAbove = 0.85;
/// Best-effort tasks are sped up while all tail latencies are below this share.
static constexpr double kSpeedUpBelow = 0.6;
/// Minimum time between two pace orders to one task, so that the tail latency
/// shows the effect of the first: the target measures it over half a second.
static constexpr Millis kPacePause{ 700 };
static constexpr int kPaceStepUp = 10; ///< percentage points
static constexpr int kMinPace = 15;    ///< percent; a lower pace becomes 0

std::string_view NameOf(OrderEnd aEnd)
{
  static constexpr std::array<std::string_view, 11> kNames = {
    "done",         "fence-too-low",  "run-too-low", "too-late",
    "no-room",      "ticket-invalid", "unhealthy",   "malformed",
    "wrong-target", "not-sent",       "no-answer"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

/// Returns true if a run should continue. A start without an answer is given up
/// after kUnansweredStartGrace. A gang's run is wanted while every member has
/// it, and of several runs of a task only the first, unless they may overlap.
bool Scheduler::IsWanted(const TargetState& aTarget,
                         const RunKey& aRun,
                         const RunState& aState)
{
  Millis now = clock_.Now();
  Job* job = FindJob(aRun.first.job_);
  // A scheduler that may have been replaced does not know what its successor
  // starts and stops, so it decides nothing that depends on other runs.
  if (authority_ == Authority::Doubtful) {
    return job == nullptr || !job->IsEnded();
  }
  if (aState.phase_ == RunPhase::Unknown &&
      now - aState.answeredAt_ >= kUnansweredStartGrace) {
    return false;
  }
  if (job == nullptr) {
    return now - aState.sentAt_ < kUnknownJobGrace;
  }
  TaskProgress* task = job->Find(aRun.first);
  if (job->IsEnded() || task == nullptr || task->done_) {
    return false;
  }
  const StepSpec& spec = *job->SpecOf(aRun.first);
  if (spec.gang_) {
    const auto& tasks = job->Occurrences()
                          .at(aRun.first.occurrence_)
                          .steps_.at(static_cast<std::size_t>(aRun.first.step_))
                          .tasks_;
    return std::all_of(
      tasks.begin(), tasks.end(), [&](const TaskProgress& aMember) {
        return std::any_of(
          aMember.liveRuns_.begin(),
          aMember.liveRuns_.end(),
          [&](const LiveRun& aLive) { return aLive.run_ == aRun.second; });
      });
  }
  if (spec.speculative_ || task->liveRuns_.empty()) {
    return true;
  }
  const LiveRun& kept =
    spec.longRunning_ ? RunToKeep(aRun.first, *task) : task->liveRuns_.front();
  return kept.target_ == aTarget.info_.id_ && kept.run_ == aRun.second;
}

/// Returns the state of a run, or null if its target is not known, or does not
/// answer, or has no such run.
const RunState* Scheduler::FindRun(const TaskName& aTask,
                                   const LiveRun& aLive) const
{
  auto target = targets_.find(aLive.target_);
  if (target == targets_.end() || target->second.failedHolds_ > 0) {
    return nullptr;
  }
  auto run = target->second.runs_.find({ aTask, aLive.run_ });
  return run == target->second.runs_.end() ? nullptr : &run->second;
}

/// Returns true if an earlier scheduler may have stopped the run, which its
/// target lists until it has ended. The target has taken no stop of an earlier
/// scheduler since it first answered this one, so a stop has ended
/// longestStop_ later. Only an answer to a request sent after that shows
/// whether the run is still there: one that is on its way, or waits in this
/// process, may tell of its end.
bool Scheduler::MayBeStopping(const TargetState& aTarget,
                              const RunState& aRun) const
{
  Millis stopsEnded = aTarget.heldSince_ + settings_.longestStop_;
  return aRun.adopted_ && (clock_.Now() < stopsEnded + kStopMargin ||
                           aRun.listedAsOf_ < stopsEnded);
}

/// Returns true if a run is known to be up, and to stay so unless this
/// scheduler stops it.
bool Scheduler::IsAtWork(const TaskName& aTask, const LiveRun& aLive) const
{
  const RunState* run = FindRun(aTask, aLive);
  return run != nullptr && run->phase_ == RunPhase::Running &&
         run->percent_ >= kStartupDonePercent &&
         !MayBeStopping(targets_.find(aLive.target_)->second, *run);
}

/// Returns which of several runs of a task continues: the first that is at
/// work, or the first of all.
const LiveRun& Scheduler::RunToKeep(const TaskName& aTask,
                                    const TaskProgress& aProgress) const
{
  const std::vector<LiveRun>& live = aProgress.liveRuns_;
  auto atWork =
    std::find_if(live.begin(), live.end(), [&](const LiveRun& aRun) {
      const RunState* run = FindRun(aTask, aRun);
      return run != nullptr && run->phase_ == RunPhase::Running &&
             run->percent_ >= kStartupDonePercent;
    });
  return atWork == live.end() ? live.front() : *atWork;
}

/// Returns how many tasks of aExcept's step, not counting aExcept, have no run
/// that is known to be up.
int Scheduler::TasksUnavailable(const Job& aJob, const TaskName& aExcept) const
{
  const StepProgress& step =
    aJob.Occurrences()
      .at(aExcept.occurrence_)
      .steps_.at(static_cast<std::size_t>(aExcept.step_));
  int unavailable = 0;
  for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
    if (static_cast<int>(i) == aExcept.index_) {
      continue;
    }
    TaskName name = aExcept;
    name.index_ = static_cast<int>(i);
    const std::vector<LiveRun>& live = step.tasks_[i].liveRuns_;
    bool available =
      std::any_of(live.begin(), live.end(), [&](const LiveRun& aRun) {
        return IsAtWork(name, aRun);
      });
    unavailable += available ? 0 : 1;
  }
  return unavailable;
}

/// Stops long-running tasks on vacating targets as far as the availability of
/// their steps allows; they start again elsewhere.
void Scheduler::DecideEvacuations()
{
  for (auto& [id, target] : targets_) {
    if (!target.vacating_ || target.failedHolds_ > 0) {
      continue;
    }
    for (auto& [key, run] : target.runs_) {
      Job* job = FindJob(key.first.job_);
      bool candidate = run.longRunning_ && run.phase_ == RunPhase::Running &&
                       !run.orderInFlight_ && job != nullptr &&
                       job->Find(key.first) != nullptr;
      if (!candidate || MayBeStopping(target, run)) {
        continue;
      }
      const StepSpec& spec = *job->SpecOf(key.first);
      TaskName step = key.first;
      step.index_ = 0;
      int unavailable = TasksUnavailable(*job, key.first);
      bool mayStillWait =
        clock_.Now() - target.vacatingSince_ < kEvacuationTimeout;
      if (unavailable >= spec.maxUnavailableTasks_ ||
          (mayStillWait && !HasRoomElsewhere(spec, step))) {
        continue;
      }
      LogDecision(
        "run-evacuate",
        { { "task", key.first.Text() },
          { "target", id },
          { "unavailable", std::to_string(unavailable) },
          { "max_unavailable", std::to_string(spec.maxUnavailableTasks_) },
          { "answer_age_ms",
            std::to_string((clock_.Now() - target.lastAnswerAt_).count()) } });
      run.phase_ = RunPhase::Stopping;
      run.nextStopAt_ = clock_.Now();
      target.mayHaveUncertainRuns_ = true;
      checkAllRuns_ = true;
    }
  }
}

/// Stops runs that are not wanted. All runs are checked only when one may have
/// become unwanted, and regularly: a service has thousands of runs, and decides
/// hundreds of times a second.
void Scheduler::DecideStops(std::vector<SchedulerOrder>& aOrders)
{
  Millis now = clock_.Now();
  bool isDue = checkAllRuns_ || now >= runCheckAt_ || now >= stopDueAt_;
  if (!isDue) {
    WakeBy(stopDueAt_);
    return;
  }
  checkAllRuns_ = false;
  runCheckAt_ = now + kRunCheckInterval;
  stopDueAt_ = Millis::max();
  for (auto& [id, target] : targets_) {
    DecideStopsOn(target, aOrders);
  }
  WakeBy(stopDueAt_);
}

void Scheduler::DecideStopsOn(TargetState& aTarget,
                              std::vector<SchedulerOrder>& aOrders)
{
  Millis now = clock_.Now();
  const std::string& id = aTarget.info_.id_;
  for (auto& [key, run] : aTarget.runs_) {
    bool callInFlight = run.phase_ == RunPhase::Starting || run.orderInFlight_;
    if (callInFlight) {
      continue;
    }
    if (run.phase_ != RunPhase::Stopping) {
      if (IsWanted(aTarget, key, run)) {
        if (run.phase_ == RunPhase::Unknown) {
          stopDueAt_ =
            std::min(stopDueAt_, run.answeredAt_ + kUnansweredStartGrace);
        }
        continue;
      }
      // A run whose start was never answered may not exist on the target.
      run.answeredAt_ =
        run.phase_ == RunPhase::Unknown ? Millis(0) : run.answeredAt_;
      run.phase_ = RunPhase::Stopping;
      run.nextStopAt_ = now;
      aTarget.mayHaveUncertainRuns_ = true;
      LogDecision("run-stop",
                  { { "task", key.first.Text() },
                    { "run", std::to_string(key.second) },
                    { "target", id } });
    } else if (run.nextStopAt_ == Millis::max()) {
      continue; // the target has confirmed the stop
    }
    if (now < run.nextStopAt_) {
      stopDueAt_ = std::min(stopDueAt_, run.nextStopAt_);
      continue;
    }
    run.orderInFlight_ = true;
    aOrders.emplace_back(
      TargetStop{ id, { key.first, key.second, settings_.fence_ } });
  }
}

/// Raises the suspicion of a target that left a start sent at aSentAt
/// unanswered. Starts that were sent before the last rise don't count again, so
/// that a batch raises it once.
void Scheduler::Suspect(TargetState& aTarget, Millis aSentAt)
{
  if (aSentAt < aTarget.suspectedAt_) {
    return;
  }
  Millis now = clock_.Now();
  aTarget.suspectedAt_ = now;
  aTarget.suspicion_ = std::min(aTarget.suspicion_ + 1, kMaxSuspicion);
  aTarget.answeredStarts_ = 0;
  if (aTarget.suspicion_ > 1) {
    aTarget.avoidUntil_ =
      std::max(aTarget.avoidUntil_,
               now + kSuspectedPause * (1 << (aTarget.suspicion_ - 2)));
  }
  LogStateChange(
    "target-suspected",
    { { "target", aTarget.info_.id_ },
      { "suspicion", std::to_string(aTarget.suspicion_) },
      { "avoid_ms",
        std::to_string(
          std::max(Millis(0), aTarget.avoidUntil_ - now).count()) } });
}

/// Lowers the suspicion of a target by one after some consecutive answered
/// starts. One answer is not enough, as a target may leave only a share of its
/// starts unanswered.
void Scheduler::ReduceSuspicion(TargetState& aTarget, Millis aSentAt)
{
  if (aTarget.suspicion_ > 0 && aSentAt >= aTarget.suspectedAt_ &&
      ++aTarget.answeredStarts_ >= kAnswersToReduceSuspicion) {
    --aTarget.suspicion_;
    aTarget.answeredStarts_ = 0;
  }
}

void Scheduler::OnStart(const std::string& aTarget,
                        const RunKey& aRun,
                        const OrderAnswer& aAnswer)
{
  TargetState& target = targets_.at(aTarget);
  RunState* run = target.FindRun(aRun);
  Millis now = clock_.Now();
  --startsInFlight_;
  bool wasLate = run != nullptr && ownDelay_.WasLateSince(run->sentAt_);
  if (aAnswer.end_ != OrderEnd::Done) {
    LogDecision("run-not-started",
                { { "task", aRun.first.Text() },
                  { "run", std::to_string(aRun.second) },
                  { "target", aTarget },
                  { "end", std::string(NameOf(aAnswer.end_)) },
                  { "own_delay", wasLate ? "1" : "0" } });
  }
  Count("starts_" + std::string(NameOf(aAnswer.end_)));
  if (run == nullptr || run->phase_ != RunPhase::Starting) {
    return; // already listed, or its incarnation has ended
  }
  if (aAnswer.end_ == OrderEnd::Done) {
    run->phase_ = RunPhase::Running;
    run->answeredAt_ = now;
    ReduceSuspicion(target, run->sentAt_);
    if (Job* job = FindJob(aRun.first.job_)) {
      job->Begin();
      checkAllRuns_ |= job->IsEnded();
    }
    // Send a hold that waits: it renews the lease and reports the end.
    target.nextHoldAt_ = std::min(target.nextHoldAt_, now);
    WakeBy(now);
    return;
  }
  if (aAnswer.end_ == OrderEnd::NoAnswer) {
    run->phase_ = RunPhase::Unknown;
    run->answeredAt_ = now;
    target.mayHaveUncertainRuns_ = true;
    checkAllRuns_ = true;
    if (!wasLate) {
      Suspect(target, run->sentAt_);
    }
    target.nextHoldAt_ = now;
    WakeBy(now);
    return;
  }
  Job* job = FindJob(aRun.first.job_);
  TaskProgress* task = job == nullptr ? nullptr : job->Find(aRun.first);
  DropRun(target, aRun);
  switch (aAnswer.end_) {
    case OrderEnd::FenceTooLow:
      OnCallFailed(target, OrderEnd::FenceTooLow);
      break;
    case OrderEnd::WrongTarget:
      OnCallFailed(target, OrderEnd::WrongTarget);
      break;
    case OrderEnd::NoRoom:
      target.avoidUntil_ = now + kNoRoomPause;
      target.nextHoldAt_ = now;
      break;
    case OrderEnd::TicketInvalid: {
      TaskName step = aRun.first;
      step.index_ = 0;
      if (auto advice = advice_.find(step); advice != advice_.end()) {
        advice->second.tickets_.erase(aTarget);
        advice->second.asked_.erase(aTarget);
      }
      break;
    }
    case OrderEnd::Malformed:
      if (task != nullptr) {
        task->notBefore_ = now + kMalformedStartPause;
      }
      break;
    case OrderEnd::Unhealthy:
    case OrderEnd::NotSent:
      if (!wasLate || aAnswer.end_ == OrderEnd::Unhealthy) {
        target.avoidUntil_ = now + kUnhealthyPause;
      }
      target.nextHoldAt_ = now;
      break;
    default:
      target.nextHoldAt_ = now; // reads the target's clock again
      break;
  }
  WakeBy(std::max(target.avoidUntil_, now));
}

void Scheduler::OnStop(const std::string& aTarget,
                       const RunKey& aRun,
                       const OrderAnswer& aAnswer)
{
  TargetState& target = targets_.at(aTarget);
  Millis now = clock_.Now();
  if (aAnswer.end_ == OrderEnd::FenceTooLow ||
      aAnswer.end_ == OrderEnd::WrongTarget) {
    OnCallFailed(target, aAnswer.end_);
    return;
  }
  RunState* run = target.FindRun(aRun);
  if (run == nullptr) {
    return;
  }
  run->orderInFlight_ = false;
  if (aAnswer.end_ != OrderEnd::Done) {
    run->nextStopAt_ = now + kStopRetry;
    stopDueAt_ = std::min(stopDueAt_, run->nextStopAt_);
    WakeBy(run->nextStopAt_);
    return;
  }
  // From now on either the target lists the run until it has ended, or the run
  // does not exist and can no longer start.
  run->nextStopAt_ = Millis::max();
  run->answeredAt_ = now;
  if (!target.holdInFlight_) {
    target.nextHoldAt_ = std::min(target.nextHoldAt_, now);
    WakeBy(now);
  }
}

void Scheduler::OnPace(const std::string& aTarget,
                       const RunKey& aRun,
                       const OrderAnswer& aAnswer)
{
  TargetState& target = targets_.at(aTarget);
  if (aAnswer.end_ == OrderEnd::FenceTooLow ||
      aAnswer.end_ == OrderEnd::WrongTarget) {
    OnCallFailed(target, aAnswer.end_);
    return;
  }
  if (RunState* run = target.FindRun(aRun)) {
    run->orderInFlight_ = false;
    if (aAnswer.end_ == OrderEnd::NotSent) {
      // The target still works at the former pace.
      run->pace_ = run->paceBefore_;
      run->pacedAt_ = Millis(0);
    } else if (aAnswer.end_ != OrderEnd::Done) {
      // The actual pace is unknown; the next tail latency decides anew.
      run->pace_ = 100;
      run->pacedAt_ = Millis(0);
    }
  }
}

/// Returns the highest ratio of tail latency to latency objective among the
/// serving tasks on a target; 0 if there are none.
static double WorstTailRatio(const TargetState& aTarget)
{
  double worstRatio = 0;
  for (const auto& [key, run] : aTarget.runs_) {
    if (run.serves_ && run.phase_ == RunPhase::Running) {
      double objective = static_cast<double>(run.latencyObjective_.count());
      worstRatio = std::max(worstRatio,
                            static_cast<double>(run.recentMetric_) / objective);
    }
  }
  return worstRatio;
}

/// Returns the pace that follows aPace, in percent, at the given ratio of tail
/// latency to latency objective.
static int NextPace(int aPace, double aWorstRatio)
{
  if (aWorstRatio > kSlowDownAbove) {
    int halved = aPace / 2;
    return halved < kMinPace ? 0 : halved;
  }
  if (aWorstRatio < kSpeedUpBelow) {
    return std::min(100, aPace + kPaceStepUp);
  }
  return aPace;
}

void Scheduler::DecidePace(std::vector<SchedulerOrder>& aOrders)
{
  Millis now = clock_.Now();
  for (auto& [id, target] : targets_) {
    if (!target.HasBestEffortRuns()) {
      continue;
    }
    double worstRatio = WorstTailRatio(target);
    for (auto& [key, run] : target.runs_) {
      bool mayPace = run.bestEffort_ && run.phase_ == RunPhase::Running &&
                     !run.orderInFlight_ && now - run.pacedAt_ >= kPacePause;
      int pace = mayPace ? NextPace(run.pace_, worstRatio) : run.pace_;
      if (pace == run.pace_) {
        continue;
      }
      LogDecision("run-pace",
                  { { "task", key.first.Text() },
                    { "target", id },
                    { "percent", std::to_string(pace) },
                    { "worst_tail_ratio", std::to_string(worstRatio) },
                    { "answer_age_ms",
                      std::to_string((now - target.lastAnswerAt_).count()) } });
      run.paceBefore_ = run.pace_;
      run.pace_ = pace;
      run.pacedAt_ = now;
      run.orderInFlight_ = true;
      aOrders.emplace_back(
        TargetPace{ id, { key.first, key.second, pace, settings_.fence_ } });
    }
  }
}

} // namespace coltsfootshed
