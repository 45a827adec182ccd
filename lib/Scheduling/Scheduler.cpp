#include "coltsfootshed/Scheduling/Scheduler.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>

namespace coltsfootshed {

/// A run number is the fence times this plus a count, so that run numbers rise
/// from one scheduler to the next without being saved. They stay below 2^53.
static constexpr RunNumber kRunsPerFence = 1 << 20;
/// Longest time between two calls of Decide() when no event occurs.
static constexpr Millis kMaxDecidePause{ 1000 };
/// Shortest lease under which a task is started.
static constexpr Millis kMinLeaseToStart{ 1000 };
/// Jobs older than this when they become known do not count as arriving work:
/// an earlier scheduler has counted them.
static constexpr Millis kMaxArrivalAge{ 500 };
/// Shares of the waiting work of late jobs, and of jobs that no longer have any
/// value or are beyond an agreed rate, that count towards the VMs a pool needs.
/// Such jobs mostly run on capacity that exists anyway; the shares add some, so
/// that none waits for long.
static constexpr double kLateCapacityShare = 0.5;
static constexpr double kNoValueCapacityShare = 0.25;
/// Delay before a failed save is tried again; changes accumulate into one
/// transaction meanwhile.
static constexpr Millis kSaveRetry{ 100 };
/// Progress entries per transaction. Each needs a put and a condition, and one
/// further condition is on the leader's key; all count towards
/// Transaction::kMaxEntries.
static constexpr std::size_t kMaxEntriesPerSave = 15;
/// Concurrent transactions when more changes are pending than fit into one. The
/// store takes about 10 ms for each, so that this many save the ends of 5,000
/// tasks a second.
static constexpr int kMaxSavesInFlight = 4;

Scheduler::Scheduler(const Clock& aClock,
                     const Clock& aWallClock,
                     SchedulerSettings aSettings)
  : clock_(aClock)
  , wallClock_(aWallClock)
  , settings_(std::move(aSettings))
  , createdAt_(aClock.Now())
  , nextRun_(settings_.fence_ * kRunsPerFence)
  , caps_(aClock)
  , ownDelay_(aClock)
  , agreedRate_(aClock)
{
}

void Scheduler::SetAuthority(Authority aAuthority, Millis aAsOf)
{
  if (aAuthority == Authority::Confirmed) {
    confirmedAt_ = std::max(confirmedAt_, aAsOf);
  }
  if (authority_ == aAuthority) {
    return;
  }
  LogStateChange(
    "authority",
    { { "service", settings_.service_ },
      { "fence", std::to_string(settings_.fence_) },
      { "authority", std::to_string(static_cast<int>(aAuthority)) },
      { "confirmed_ms_ago",
        std::to_string((clock_.Now() - confirmedAt_).count()) } });
  authority_ = aAuthority;
  checkAllRuns_ = true;
}

Millis Scheduler::LeaseToGrant() const
{
  if (authority_ == Authority::Confirmed) {
    return settings_.lease_;
  }
  return std::min(settings_.lease_,
                  confirmedAt_ + settings_.takeOverWait_ - clock_.Now());
}

/// Without confirmed authority, little can be done under a lease that is about
/// to end for good.
bool Scheduler::MayStart() const
{
  return authority_ == Authority::Confirmed ||
         (authority_ == Authority::StoreUnreachable &&
          LeaseToGrant() >= kMinLeaseToStart);
}

void Scheduler::SetAccounts(std::span<const AccountConfig> aAccounts)
{
  caps_.SetAccounts(aAccounts);
  weights_.clear();
  for (const AccountConfig& account : aAccounts) {
    weights_[account.name_] = account.weight_;
  }
}

Job* Scheduler::FindJob(std::string_view aId)
{
  auto found = jobs_.find(aId);
  return found == jobs_.end() ? nullptr : found->second.get();
}

ChangeNumber Scheduler::MarkChanged(Job& aJob)
{
  aJob.lastChange_ = ++change_;
  unsaved_.try_emplace(aJob.Record().id_, Unsaved{ change_ });
  return aJob.lastChange_;
}

void Scheduler::AddJob(JobRecord aRecord, Revision aCreated)
{
  if (aRecord.service_ != settings_.service_ ||
      FindJob(aRecord.id_) != nullptr) {
    return;
  }
  Millis age = wallClock_.Now() - aRecord.acceptedAt_;
  std::string id = aRecord.id_;
  LogDecision("job-taken",
              { { "job", id },
                { "service", aRecord.service_ },
                { "age_ms", std::to_string(age.count()) },
                { "steps", std::to_string(aRecord.spec_.steps_.size()) } });
  auto job = std::make_unique<Job>(std::move(aRecord), clock_.Now(), age);
  job->created_ = aCreated;
  job->mayBeSuccessors_ = authority_ != Authority::Confirmed;
  for (const StepSpec& step : job->Record().spec_.steps_) {
    if (!step.label_.empty()) {
      neededLabels_.insert(step.label_);
    }
  }
  if (age < kMaxArrivalAge) {
    // Counts the work from its arrival, as jobs that arrived over time may
    // become known together.
    // What is beyond an agreed rate is no reason to take VMs from other pools.
    auto weight = weights_.find(job->Record().account_);
    job->isBeyondRate_ = weight != weights_.end() && !job->IsLongRunning() &&
                         !agreedRate_.Take(weight->first, weight->second);
    if (job->isBeyondRate_) {
      Count("jobs_beyond_rate");
    } else {
      arrivals_.Add(clock_.Now() - std::max(age, Millis(0)),
                    WorkOf(job->Record().spec_));
    }
  }
  auto added = jobs_.emplace(id, std::move(job)).first;
  openJobs_.emplace(added->first, added->second.get());
  if (pendingCancels_.erase(id) > 0) {
    CancelJob(id);
  }
}

void Scheduler::LoadProgress(std::string_view aJob,
                             std::string_view aProgress,
                             Revision aRevision)
{
  Job* job = FindJob(aJob);
  if (job == nullptr) {
    return;
  }
  job->progressRevision_ = aRevision;
  job->isProgressUnreadable_ = !job->LoadProgress(aProgress);
  if (job->isProgressUnreadable_) {
    LogStateChange("progress-unreadable",
                   { { "job", std::string(aJob) },
                     { "revision", std::to_string(aRevision) } });
  }
}

void Scheduler::CancelJob(std::string_view aJob)
{
  Job* job = FindJob(aJob);
  if (job == nullptr) {
    pendingCancels_.try_emplace(std::string(aJob), clock_.Now());
    return;
  }
  if (job->IsEnded()) {
    return;
  }
  job->Cancel();
  checkAllRuns_ = true;
  DropAdvice(aJob);
  MarkChanged(*job);
  LogDecision("job-cancelled", { { "job", std::string(aJob) } });
}

void Scheduler::DropAdvice(std::string_view aJob)
{
  auto first = advice_.lower_bound(TaskName{ std::string(aJob), 0, 0, 0 });
  auto last = first;
  while (last != advice_.end() && last->first.job_ == aJob) {
    ++last;
  }
  advice_.erase(first, last);
}

void Scheduler::ForgetJob(std::string_view aJob)
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end() || !found->second->IsEnded()) {
    return;
  }
  unsaved_.erase(found->first);
  openJobs_.erase(found->first);
  jobs_.erase(found);
}

void Scheduler::ForgetCancel(std::string_view aJob)
{
  auto found = pendingCancels_.find(aJob);
  if (found != pendingCancels_.end()) {
    pendingCancels_.erase(found);
  }
}

std::vector<std::string> Scheduler::UnmatchedCancels(Millis aAge) const
{
  std::vector<std::string> jobs;
  Millis now = clock_.Now();
  for (const auto& [job, cancelledAt] : pendingCancels_) {
    if (now - cancelledAt >= aAge) {
      jobs.push_back(job);
    }
  }
  return jobs;
}

std::optional<JobState> Scheduler::StateOf(std::string_view aJob) const
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  const Job& job = *found->second;
  bool durable = job.lastSavedChange_ >= job.lastChange_;
  // A final state that a crash could still undo is not shown.
  if ((job.State() == JobState::Complete || job.State() == JobState::Failed) &&
      !durable) {
    return JobState::Running;
  }
  return job.State();
}

int Scheduler::Waiting(std::string_view aQueue) const
{
  int waiting = 0;
  for (const auto& [id, job] : openJobs_) {
    bool counts = job->Record().queue_ == aQueue && !job->IsPeriodic() &&
                  job->State() == JobState::Queued;
    waiting += counts ? 1 : 0;
  }
  return waiting;
}

std::vector<std::string> Scheduler::EndedJobs() const
{
  std::vector<std::string> ended;
  for (const auto& [id, job] : jobs_) {
    if (job->IsEnded() && job->lastSavedChange_ >= job->lastChange_) {
      ended.push_back(id);
    }
  }
  return ended;
}

/// Returns the work of one run of all steps, in thousandths of a core times
/// milliseconds.
double Scheduler::WorkOf(const JobSpec& aSpec) const
{
  double work = 0;
  for (const StepSpec& step : aSpec.steps_) {
    if (!step.longRunning_ && !step.bestEffort_) {
      work += static_cast<double>(step.tasks_) *
              static_cast<double>(step.taskResources_.cpu_) *
              static_cast<double>(EstimateOf(step).count());
    }
  }
  return work;
}

/// Returns how much longer a run is expected to take. One that has exceeded its
/// estimate is expected to take as long again.
static Millis TimeLeft(const RunState& aRun, Millis aNow)
{
  Millis elapsed = aNow - aRun.sentAt_;
  return elapsed < aRun.estimate_ ? aRun.estimate_ - elapsed : elapsed;
}

PoolReport Scheduler::Report() const
{
  Millis now = clock_.Now();
  PoolReport report;
  report.service_ = settings_.service_;
  for (const auto& [id, target] : targets_) {
    // What runs on a target is unknown until it has answered.
    if (!target.registered_ || !target.held_) {
      continue;
    }
    TargetUse use{ id,
                   static_cast<int>(target.runs_.size()),
                   0,
                   target.vacating_,
                   target.mayBeInRoster_ };
    Resources used = target.info_.capacity_;
    used -= target.Free();
    report.used_ += used;
    for (const auto& [key, run] : target.runs_) {
      use.longRunning_ += run.longRunning_ ? 1 : 0;
      if (!run.longRunning_) {
        use.emptyIn_ = std::max(use.emptyIn_, TimeLeft(run, now));
      }
      if (run.longRunning_) {
        report.longRunning_.cpu_ += run.bestEffort_ ? 0 : run.takes_.cpu_;
        report.longRunning_.memory_ += run.takes_.memory_;
      }
      if (!run.label_.empty()) {
        report.byLabel_[run.label_] += run.takes_;
      }
    }
    report.targets_.push_back(std::move(use));
  }
  for (const auto& [id, target] : targets_) {
    if (IsAwaited(target) && !target.info_.vm_.empty()) {
      report.unanswered_.push_back({ id, target.info_.vm_ });
    }
  }
  report.arrivingCpu_ = arrivals_.ExpectedRate(now);
  ByAccount waiting;
  for (const auto& [id, job] : openJobs_) {
    if (!job->IsEnded()) {
      AddWaiting(*job, report, waiting);
    }
  }
  if (caps_.IsOn()) {
    report.caps_ = caps_.Report(waiting);
    report.caps_->leader_ = settings_.fence_;
  }
  return report;
}

static double CapacityShareOf(DeadlineClass aClass)
{
  switch (aClass) {
    case DeadlineClass::Late:
      return kLateCapacityShare;
    case DeadlineClass::BeyondRate:
    case DeadlineClass::NoValue:
      return kNoValueCapacityShare;
    default:
      return 1;
  }
}

static Resources Scaled(const Resources& aWhole, double aShare)
{
  auto scaled = [aShare](std::int64_t aAmount) {
    return static_cast<std::int64_t>(aShare * static_cast<double>(aAmount));
  };
  return { scaled(aWhole.cpu_), scaled(aWhole.memory_), scaled(aWhole.gpu_) };
}

/// Adds to aReport and aByAccount what the tasks of a job need that could start
/// now and have no run, and to the report also what its runs use if it can be
/// in time.
void Scheduler::AddWaiting(const Job& aJob,
                           PoolReport& aReport,
                           ByAccount& aByAccount) const
{
  const std::string& account = aJob.Record().account_;
  for (const auto& [number, occurrence] : aJob.Occurrences()) {
    DeadlineClass deadlineClass = RankOf(aJob, occurrence).deadlineClass_;
    double share = CapacityShareOf(deadlineClass);
    bool isInTime = deadlineClass < DeadlineClass::Late;
    for (std::size_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepSpec& spec = aJob.Record().spec_.steps_[i];
      const StepProgress& step = occurrence.steps_[i];
      if (step.IsDone() || !occurrence.IsReady(spec)) {
        continue;
      }
      if (spec.maxPerTarget_ > 0) {
        int spread =
          (spec.tasks_ + spec.maxPerTarget_ - 1) / spec.maxPerTarget_;
        aReport.minVms_ = std::max(aReport.minVms_, spread);
      }
      Resources needs = Scaled(spec.taskResources_, share);
      needs.cpu_ = spec.bestEffort_ ? 0 : needs.cpu_;
      for (const TaskProgress& task : step.tasks_) {
        if (isInTime && !spec.longRunning_) {
          for (std::size_t run = 0; run < task.liveRuns_.size(); ++run) {
            aReport.inTime_ += needs;
          }
        }
        if (task.done_ || !task.liveRuns_.empty()) {
          continue;
        }
        aReport.waiting_ += needs;
        if (isInTime) {
          aReport.inTime_ += needs;
        }
        if (!account.empty()) {
          aByAccount[account] += spec.taskResources_;
        }
        if (!spec.label_.empty()) {
          aReport.byLabel_[spec.label_] += needs;
        }
        if (!spec.dataRack_.empty()) {
          aReport.byRack_[spec.dataRack_] += needs;
        }
      }
    }
  }
}

std::vector<SchedulerOrder> Scheduler::Decide()
{
  std::vector<SchedulerOrder> orders;
  if (steppedDown_) {
    return orders;
  }
  // Without confirmed authority, another scheduler may have renewed a lease
  // that looks expired here.
  bool confirmed = authority_ == Authority::Confirmed;
  nextDue_ = clock_.Now() + kMaxDecidePause;
  DropEndedJobs();
  if (confirmed) {
    DropExpiredRuns();
    CheckReady();
  }
  NoteUnconfirmedRuns();
  if (confirmed) {
    DecideEvacuations();
  }
  DecideStops(orders);
  DecidePace(orders);
  caps_.ForgetNext();
  if (MayStart()) {
    DecideStarts(orders);
  }
  DecideRoster(orders);
  DecideSaves(orders);
  DecideHolds(orders);
  return orders;
}

/// Leaves the jobs that have ended out of all further decisions.
void Scheduler::DropEndedJobs()
{
  std::erase_if(openJobs_,
                [](const auto& aEntry) { return aEntry.second->IsEnded(); });
}

/// Returns the jobs to save in one transaction: ended jobs first, as their
/// clients wait for that, then those whose changes have waited longest.
std::vector<std::string> Scheduler::NextToSave() const
{
  std::vector<std::tuple<bool, ChangeNumber, std::string_view>> waiting;
  for (const auto& [id, unsaved] : unsaved_) {
    if (!unsaved.inFlight_) {
      waiting.emplace_back(!jobs_.at(id)->IsEnded(), unsaved.since_, id);
    }
  }
  auto count = std::min(waiting.size(), kMaxEntriesPerSave);
  std::partial_sort(waiting.begin(),
                    waiting.begin() + static_cast<std::ptrdiff_t>(count),
                    waiting.end());
  std::vector<std::string> next;
  for (std::size_t i = 0; i < count; ++i) {
    next.emplace_back(std::get<std::string_view>(waiting[i]));
  }
  return next;
}

void Scheduler::DecideSaves(std::vector<SchedulerOrder>& aOrders)
{
  if (unsaved_.empty()) {
    return;
  }
  if (clock_.Now() < saveRetryAt_) {
    WakeBy(saveRetryAt_);
    return;
  }
  while (savesInFlight_ < kMaxSavesInFlight) {
    std::vector<std::string> next = NextToSave();
    // Each store call has a cost, so a batch that is not full waits for the
    // transaction in flight.
    if (next.empty() ||
        (savesInFlight_ > 0 && next.size() < kMaxEntriesPerSave)) {
      return;
    }
    SaveProgress save;
    for (const std::string& id : next) {
      const Job& job = *jobs_.at(id);
      save.entries_.push_back(
        { id, job.EncodeProgress(), job.progressRevision_, job.lastChange_ });
      unsaved_.at(id).inFlight_ = true;
    }
    ++savesInFlight_;
    aOrders.emplace_back(std::move(save));
  }
}

void Scheduler::OnSaved(const SaveProgress& aSave, Revision aRevision)
{
  --savesInFlight_;
  for (const SaveProgress::Entry& entry : aSave.entries_) {
    auto unsaved = unsaved_.find(entry.job_);
    if (unsaved != unsaved_.end()) {
      unsaved->second.inFlight_ = false;
    }
  }
  if (aRevision == 0) {
    saveRetryAt_ = clock_.Now() + kSaveRetry;
    WakeBy(saveRetryAt_);
    return;
  }
  for (const SaveProgress::Entry& entry : aSave.entries_) {
    Job* job = FindJob(entry.job_);
    if (job == nullptr) {
      continue;
    }
    job->lastSavedChange_ = entry.change_;
    job->progressRevision_ = aRevision;
    if (job->lastSavedChange_ >= job->lastChange_) {
      unsaved_.erase(entry.job_);
    } else {
      unsaved_.at(entry.job_).since_ = job->lastChange_;
    }
  }
  for (auto& [id, target] : targets_) {
    AcknowledgeSaved(target);
  }
}

void Scheduler::OnProgressRevision(std::string_view aJob, Revision aRevision)
{
  if (Job* job = FindJob(aJob)) {
    job->progressRevision_ = aRevision;
  }
}

/// Returns true if a successor would have to ask the target what runs there. A
/// target that has answered this scheduler and has no runs can only get runs
/// from this scheduler, and a vacating target gets none.
bool Scheduler::BelongsInRoster(const TargetState& aTarget) const
{
  if (!aTarget.runs_.empty()) {
    return true;
  }
  if (!aTarget.held_) {
    return aTarget.registered_ || IsAwaited(aTarget);
  }
  return aTarget.registered_ && !aTarget.vacating_;
}

void Scheduler::DecideRoster(std::vector<SchedulerOrder>& aOrders)
{
  if (!rosterStale_ || rosterInFlight_) {
    return;
  }
  if (clock_.Now() < rosterRetryAt_) {
    WakeBy(rosterRetryAt_);
    return;
  }
  SaveRoster roster;
  rosterSent_.clear();
  for (auto& [id, target] : targets_) {
    if (BelongsInRoster(target)) {
      roster.targets_.push_back(target.info_);
      rosterSent_.push_back(id);
      target.mayBeInRoster_ = true;
    } else {
      // The save may take effect from now on, so the saved roster may lack it.
      target.inRoster_ = false;
    }
  }
  rosterStale_ = false;
  rosterInFlight_ = true;
  aOrders.emplace_back(std::move(roster));
}

void Scheduler::OnRosterSaved(bool aSaved)
{
  rosterInFlight_ = false;
  if (!aSaved) {
    rosterStale_ = true;
    rosterRetryAt_ = clock_.Now() + kSaveRetry;
    WakeBy(rosterRetryAt_);
    return;
  }
  for (auto& [id, target] : targets_) {
    target.inRoster_ = std::binary_search(
      rosterSent_.begin(), rosterSent_.end(), id, std::less<>());
    target.mayBeInRoster_ = target.inRoster_;
  }
}

} // namespace coltsfootshed
