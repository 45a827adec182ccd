// Handles ended runs: their effect on the task and the target, and when they
// are acknowledged.
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <algorithm>
#include <array>

namespace coltsfootshed {

/// Window in which run outcomes count towards finding that a target fails its
/// runs.
static constexpr Millis kOutcomeWindow{ 6000 };
/// Number of distinct jobs that must fail on a target within the window.
static constexpr std::size_t kMinFailedJobs = 2;
/// How long a target that fails its runs gets no starts.
static constexpr Millis kFailingTargetPause{ 6000 };
/// Delay before a long-running task that failed is started again.
static constexpr Millis kRestartDelay{ 100 };

void Scheduler::ApplyEnds(TargetState& aTarget, const HoldAnswer& aAnswer)
{
  for (const EndedRun& end : aAnswer.ended_) {
    if (end.number_ <= aTarget.processed_) {
      continue;
    }
    aTarget.processed_ = end.number_;
    ApplyEnd(aTarget, end);
    Job* job = FindJob(end.task_.job_);
    bool unsaved = job != nullptr && job->lastSavedChange_ < job->lastChange_;
    aTarget.unsaved_.push_back(
      { end.number_,
        end.task_.job_,
        unsaved ? job->lastChange_ : ChangeNumber(0) });
  }
}

/// Returns the name by which targets report an end.
static std::string_view NameOf(RunEnd aEnd)
{
  static constexpr std::array<std::string_view, 6> kNames = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

void Scheduler::ApplyEnd(TargetState& aTarget, const EndedRun& aEnd)
{
  RunKey key{ aEnd.task_, aEnd.run_ };
  RunState* run = aTarget.FindRun(key);
  Millis took = run == nullptr ? Millis(0) : clock_.Now() - run->sentAt_;
  LogDecision("run-ended",
              { { "task", aEnd.task_.Text() },
                { "run", std::to_string(aEnd.run_) },
                { "target", aTarget.info_.id_ },
                { "how", std::string(NameOf(aEnd.runEnd_)) },
                { "took_ms", std::to_string(took.count()) } });
  Job* job = FindJob(aEnd.task_.job_);
  TaskProgress* task = FindOrCreateTask(job, aEnd.task_);
  DropRun(aTarget, key);
  if (task == nullptr) {
    return;
  }
  // Marking the task as done may drop its occurrence, and task with it.
  bool hasOtherRuns = !task->liveRuns_.empty();
  const StepSpec& spec = *job->SpecOf(aEnd.task_);
  if (!aEnd.checkpoint_.empty()) {
    task->checkpoint_ = aEnd.checkpoint_;
  }
  if (spec.longRunning_) {
    task->notBefore_ = clock_.Now() + kRestartDelay;
    WakeBy(task->notBefore_);
    return;
  }
  bool measuresFullRun = took > Millis(0) && task->checkpoint_.empty();
  if (aEnd.runEnd_ == RunEnd::Done) {
    CountOutcome(aTarget, job->Record().id_, true);
    if (measuresFullRun) {
      estimates_.Learn(spec.image_, spec.estimate_, took);
    }
    if (!job->IsEnded()) {
      job->MarkDone(aEnd.task_);
      MarkChanged(*job);
    }
  } else if (aEnd.runEnd_ == RunEnd::Failed) {
    CountOutcome(aTarget, job->Record().id_, false);
    task->failedOn_.insert(aTarget.info_.id_);
    if (!job->IsEnded()) {
      job->MarkFailed(aEnd.task_, aEnd.run_);
      MarkChanged(*job);
    }
  }
  // Copies of the task, and what runs of a failed job, are of no use now.
  checkAllRuns_ |=
    hasOtherRuns || (job->IsEnded() && job->State() != JobState::Complete);
  if (job->IsEnded()) {
    DropAdvice(job->Record().id_);
    LogDecision(
      "job-ended",
      { { "job", job->Record().id_ },
        { "state", std::string(NameOf(job->State())) },
        { "after_ms",
          std::to_string((clock_.Now() - job->AcceptedAt()).count()) } });
  }
}

/// Records the outcome of a run. A target is avoided when tasks of different
/// jobs fail there; a single job that fails everywhere is no evidence against
/// its targets.
void Scheduler::CountOutcome(TargetState& aTarget,
                             const std::string& aJob,
                             bool aDone)
{
  Millis now = clock_.Now();
  if (aDone) {
    aTarget.successes_.push_back(now);
  } else {
    aTarget.failures_.emplace_back(now, aJob);
  }
  while (!aTarget.successes_.empty() &&
         aTarget.successes_.front() < now - kOutcomeWindow) {
    aTarget.successes_.pop_front();
  }
  while (!aTarget.failures_.empty() &&
         aTarget.failures_.front().first < now - kOutcomeWindow) {
    aTarget.failures_.pop_front();
  }
  std::set<std::string_view> jobs;
  for (const auto& [at, job] : aTarget.failures_) {
    jobs.insert(job);
  }
  if (aDone || jobs.size() < kMinFailedJobs ||
      aTarget.failures_.size() <= aTarget.successes_.size()) {
    return;
  }
  aTarget.avoidUntil_ = now + kFailingTargetPause;
  LogStateChange("target-failing",
                 { { "target", aTarget.info_.id_ },
                   { "failed", std::to_string(aTarget.failures_.size()) },
                   { "done", std::to_string(aTarget.successes_.size()) },
                   { "jobs", std::to_string(jobs.size()) } });
}

void Scheduler::AcknowledgeSaved(TargetState& aTarget)
{
  bool had = !aTarget.unsaved_.empty();
  while (!aTarget.unsaved_.empty()) {
    const TargetState::UnsavedEnd& end = aTarget.unsaved_.front();
    const Job* job = FindJob(end.job_);
    if (end.change_ != 0 && job != nullptr &&
        job->lastSavedChange_ < end.change_) {
      return;
    }
    aTarget.acknowledged_ = end.number_;
    aTarget.unsaved_.pop_front();
  }
  if (had && !aTarget.holdInFlight_) {
    // The next hold acknowledges the ends; send it now.
    aTarget.nextHoldAt_ = std::min(aTarget.nextHoldAt_, clock_.Now());
    WakeBy(aTarget.nextHoldAt_);
  }
}

} // namespace coltsfootshed
