#include "coltsfootshed/Scheduling/Scheduler.h"

#include "coltsfootshed/Observe/DecisionLog.h"

#include <algorithm>

namespace coltsfootshed {

/// Run numbers are the fence times this plus a count, so that they rise from
/// one scheduler to the next without being saved. Stays below 2^53.
static constexpr RunNumber kRunsPerFence = 1 << 20;
/// Longest that Decide() waits for nothing.
static constexpr Millis kLongestPause{ 1000 };
/// Span over which arriving work is averaged: short against the seconds for
/// which one queue asks for several times its mean.
static constexpr Millis kArrivalWindow{ 500 };
/// Lets changes gather into one transaction.
static constexpr Millis kSaveRetry{ 100 };
/// Progress entries a transaction; each has a put and a condition, and one
/// condition is the leader's key.
static constexpr std::size_t kMostSaves = 15;

Scheduler::Scheduler(const Clock& aClock,
                     const Clock& aTimeOfDay,
                     SchedulerSettings aSettings)
  : clock_(aClock)
  , timeOfDay_(aTimeOfDay)
  , settings_(std::move(aSettings))
  , bornAt_(aClock.Now())
  , nextRun_(settings_.fence_ * kRunsPerFence)
{
}

void Scheduler::SetAuthority(Authority aAuthority)
{
  if (authority_ == aAuthority) {
    return;
  }
  LogBelief("authority",
            { { "service", settings_.service_ },
              { "fence", std::to_string(settings_.fence_) },
              { "authority", std::to_string(static_cast<int>(aAuthority)) } });
  authority_ = aAuthority;
}

Millis Scheduler::LeaseToGrant() const
{
  return authority_ == Authority::Confirmed
           ? settings_.lease_
           : std::min(settings_.lease_, settings_.unconfirmedLease_);
}

Job* Scheduler::FindJob(std::string_view aId)
{
  auto found = jobs_.find(aId);
  return found == jobs_.end() ? nullptr : found->second.get();
}

ChangeNumber Scheduler::Touch(Job& aJob)
{
  aJob.changed_ = ++change_;
  unsavedJobs_.insert(aJob.Record().id_);
  return aJob.changed_;
}

void Scheduler::AddJob(JobRecord aRecord, Revision aCreated)
{
  if (aRecord.service_ != settings_.service_ ||
      FindJob(aRecord.id_) != nullptr) {
    return;
  }
  Millis age = timeOfDay_.Now() - aRecord.acceptedAt_;
  std::string id = aRecord.id_;
  LogDecision("job-taken",
              { { "job", id },
                { "service", aRecord.service_ },
                { "age_ms", std::to_string(age.count()) },
                { "steps", std::to_string(aRecord.spec_.steps_.size()) } });
  auto job = std::make_unique<Job>(std::move(aRecord), clock_.Now(), age);
  job->created_ = aCreated;
  CountArrival(*job, age);
  jobs_.emplace(id, std::move(job));
  if (lateCancels_.erase(id) > 0) {
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
  if (!job->LoadProgress(aProgress)) {
    LogBelief("progress-unreadable",
              { { "job", std::string(aJob) },
                { "revision", std::to_string(aRevision) } });
  }
}

void Scheduler::CancelJob(std::string_view aJob)
{
  Job* job = FindJob(aJob);
  if (job == nullptr) {
    lateCancels_.emplace(aJob);
    return;
  }
  if (job->IsEnded()) {
    return;
  }
  job->Cancel();
  Touch(*job);
  LogDecision("job-cancelled", { { "job", std::string(aJob) } });
}

void Scheduler::ForgetJob(std::string_view aJob)
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end() || !found->second->IsEnded()) {
    return;
  }
  unsavedJobs_.erase(found->first);
  jobs_.erase(found);
}

std::optional<JobState> Scheduler::StateOf(std::string_view aJob) const
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  const Job& job = *found->second;
  bool durable = job.saved_ >= job.changed_;
  // An end that a crash could take back is not shown.
  if ((job.State() == JobState::Complete || job.State() == JobState::Failed) &&
      !durable) {
    return JobState::Running;
  }
  return job.State();
}

int Scheduler::Waiting(std::string_view aQueue) const
{
  int waiting = 0;
  for (const auto& [id, job] : jobs_) {
    bool counts = job->Record().queue_ == aQueue && !job->IsTimed() &&
                  job->State() == JobState::Queued;
    waiting += counts ? 1 : 0;
  }
  return waiting;
}

std::vector<std::string> Scheduler::EndedJobs() const
{
  std::vector<std::string> ended;
  for (const auto& [id, job] : jobs_) {
    if (job->IsEnded() && job->saved_ >= job->changed_) {
      ended.push_back(id);
    }
  }
  return ended;
}

/// Core-milliseconds of one run of all steps, as thousandths of a core times
/// milliseconds over a thousand.
static double WorkOf(const JobSpec& aSpec)
{
  double work = 0;
  for (const StepSpec& step : aSpec.steps_) {
    if (!step.lasting_ && !step.fills_) {
      work += static_cast<double>(step.tasks_) *
              static_cast<double>(step.each_.cpu_) / 1000.0 *
              static_cast<double>(step.estimate_.count());
    }
  }
  return work;
}

void Scheduler::CountArrival(const Job& aJob, Millis aAge)
{
  Millis now = clock_.Now();
  if (aAge < kArrivalWindow) {
    arrivals_.emplace_back(now, WorkOf(aJob.Record().spec_));
  }
  while (!arrivals_.empty() && arrivals_.front().first < now - kArrivalWindow) {
    arrivals_.pop_front();
  }
}

PoolReport Scheduler::Report() const
{
  PoolReport report;
  report.service_ = settings_.service_;
  for (const auto& [id, target] : targets_) {
    // Before it has answered, what runs on a target is not known.
    if (!target.registered_ || !target.held_) {
      continue;
    }
    TargetUse use{
      id, static_cast<int>(target.runs_.size()), 0, target.vacating_
    };
    Resources used = target.info_.capacity_;
    used -= target.Free();
    report.used_ += used;
    for (const auto& [key, run] : target.runs_) {
      use.lasting_ += run.lasting_ ? 1 : 0;
    }
    report.targets_.push_back(std::move(use));
  }
  Millis now = clock_.Now();
  double arrived = 0;
  for (const auto& [at, work] : arrivals_) {
    arrived += at >= now - kArrivalWindow ? work : 0;
  }
  report.arrivingCpu_ =
    1000.0 * arrived / static_cast<double>(kArrivalWindow.count());
  for (const auto& [id, job] : jobs_) {
    if (!job->IsEnded()) {
      AddWaiting(*job, report);
    }
  }
  return report;
}

void Scheduler::AddWaiting(const Job& aJob, PoolReport& aReport)
{
  for (const auto& [number, occurrence] : aJob.Occurrences()) {
    for (std::size_t i = 0; i < occurrence.steps_.size(); ++i) {
      const StepSpec& spec = aJob.Record().spec_.steps_[i];
      const StepProgress& step = occurrence.steps_[i];
      if (step.IsDone() || !occurrence.IsReady(spec)) {
        continue;
      }
      if (spec.maxPerTarget_ > 0) {
        int spread =
          (spec.tasks_ + spec.maxPerTarget_ - 1) / spec.maxPerTarget_;
        aReport.leastVms_ = std::max(aReport.leastVms_, spread);
      }
      for (const TaskProgress& task : step.tasks_) {
        if (!task.done_ && task.live_.empty()) {
          aReport.waiting_.cpu_ += spec.fills_ ? 0 : spec.each_.cpu_;
          aReport.waiting_.memory_ += spec.each_.memory_;
        }
      }
    }
  }
}

std::vector<SchedulerOrder> Scheduler::Decide()
{
  std::vector<SchedulerOrder> orders;
  if (abdicated_) {
    return orders;
  }
  // Without certainty another scheduler may have renewed what looks lapsed.
  bool certain = authority_ == Authority::Confirmed;
  nextDue_ = clock_.Now() + kLongestPause;
  if (certain) {
    DropLapsed();
    CheckReady();
  }
  DecideEvacuations();
  DecideStops(orders);
  DecidePace(orders);
  if (authority_ != Authority::Doubtful) {
    DecideStarts(orders);
  }
  DecideRoster(orders);
  DecideSaves(orders);
  DecideHolds(orders);
  return orders;
}

void Scheduler::DecideSaves(std::vector<SchedulerOrder>& aOrders)
{
  if (saveInFlight_ || unsavedJobs_.empty()) {
    return;
  }
  if (clock_.Now() < saveAgainAt_) {
    Due(saveAgainAt_);
    return;
  }
  SaveProgress save;
  for (const std::string& id : unsavedJobs_) {
    const Job& job = *jobs_.at(id);
    save.entries_.push_back(
      { id, job.EncodeProgress(), job.progressRevision_, job.changed_ });
    if (save.entries_.size() == kMostSaves) {
      break;
    }
  }
  saveInFlight_ = true;
  aOrders.emplace_back(std::move(save));
}

void Scheduler::OnSaved(const SaveProgress& aSave, Revision aRevision)
{
  saveInFlight_ = false;
  if (aRevision == 0) {
    saveAgainAt_ = clock_.Now() + kSaveRetry;
    Due(saveAgainAt_);
    return;
  }
  for (const SaveProgress::Entry& entry : aSave.entries_) {
    Job* job = FindJob(entry.job_);
    if (job == nullptr) {
      continue;
    }
    job->saved_ = entry.change_;
    job->progressRevision_ = aRevision;
    if (job->saved_ >= job->changed_) {
      unsavedJobs_.erase(entry.job_);
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

void Scheduler::DecideRoster(std::vector<SchedulerOrder>& aOrders)
{
  if (!rosterStale_ || rosterInFlight_) {
    return;
  }
  if (clock_.Now() < rosterAgainAt_) {
    Due(rosterAgainAt_);
    return;
  }
  SaveRoster roster;
  rosterSent_.clear();
  for (const auto& [id, target] : targets_) {
    bool needed = target.registered_ || !target.runs_.empty() ||
                  (target.held_ ? !target.HasLapsed(clock_.Now()) : !ready_);
    if (needed) {
      roster.targets_.push_back(target.info_);
      rosterSent_.push_back(id);
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
    rosterAgainAt_ = clock_.Now() + kSaveRetry;
    Due(rosterAgainAt_);
    return;
  }
  for (auto& [id, target] : targets_) {
    target.inRoster_ = std::binary_search(
      rosterSent_.begin(), rosterSent_.end(), id, std::less<>());
  }
}

} // namespace coltsfootshed
