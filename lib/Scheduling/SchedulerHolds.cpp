// Holding targets: leases, lives, what runs there and what ended there.
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <algorithm>

namespace coltsfootshed {

/// How long a hold may wait for an end. Bounds the age of leases and of the
/// belief that a target lives.
static constexpr Millis kHoldWait{ 700 };
/// Where tasks that fill run beside tasks that serve, their tails are read
/// this often.
static constexpr Millis kTailWait{ 500 };
/// A target that crashed answers under a new life after this at the earliest.
static constexpr Millis kLeastRestart{ 1000 };
/// Holds without an answer that still renew the lease.
static constexpr int kRenewals = 2;
/// Looks at a target on which nothing runs; each is priced.
static constexpr Millis kIdlePause{ 3000 };
/// Pause after a hold without an answer.
static constexpr Millis kFailedPause{ 250 };
/// Longest pause between holds of a target that does not answer.
static constexpr Millis kLongFailedPause{ 1000 };
/// A hold is not delayed longer than this by ends that are not saved yet.
static constexpr Millis kSavePause{ 200 };
/// Pause between checks for targets that can leave the roster; each change is
/// a call to the store.
static constexpr Millis kRosterSweep{ 300 };
/// The target lists at most this many ends at a time, from the protocol.
static constexpr std::size_t kMostEnds = 500;

/// Pause between looks beside a hold that waits.
static constexpr Millis kLookPause{ 30 };

static bool AnyRun(const RunState&)
{
  return true;
}

static std::string Text(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

void Scheduler::LoadRoster(std::span<const TargetInfo> aTargets)
{
  for (const TargetInfo& info : aTargets) {
    auto [entry, isNew] = targets_.try_emplace(info.id_, info);
    entry->second.inRoster_ = true;
  }
}

void Scheduler::RegisterTarget(const TargetInfo& aTarget)
{
  if (aTarget.service_ != settings_.service_) {
    UnregisterTarget(aTarget.id_);
    return;
  }
  auto [entry, isNew] = targets_.try_emplace(aTarget.id_, aTarget);
  TargetState& target = entry->second;
  bool changed = isNew || !target.registered_ ||
                 target.info_.draining_ != aTarget.draining_ ||
                 target.info_.born_ != aTarget.born_;
  if (changed) {
    LogBelief("target",
              { { "target", aTarget.id_ },
                { "service", aTarget.service_ },
                { "address", aTarget.address_.Text() },
                { "draining", aTarget.draining_ ? "1" : "0" },
                { "born", Text(aTarget.born_) } });
    target.nextHoldAt_ = std::min(target.nextHoldAt_, clock_.Now());
  }
  target.info_ = aTarget;
  target.registered_ = true;
  rosterStale_ |= !target.inRoster_;
}

void Scheduler::UnregisterTarget(std::string_view aId)
{
  auto found = targets_.find(aId);
  if (found == targets_.end() || !found->second.registered_) {
    return;
  }
  found->second.registered_ = false;
  LogBelief("target-unlisted",
            { { "target", std::string(aId) },
              { "runs", std::to_string(found->second.runs_.size()) } });
}

bool Scheduler::SetVacating(Fence aManager,
                            std::span<const std::string> aTargets)
{
  if (aManager < poolManager_) {
    return false;
  }
  poolManager_ = aManager;
  for (auto& [id, target] : targets_) {
    bool vacates =
      std::find(aTargets.begin(), aTargets.end(), id) != aTargets.end();
    if (vacates && !target.vacating_) {
      target.vacatingSince_ = clock_.Now();
    }
    // One that is not to be emptied after all needs its place in the roster.
    rosterStale_ |= target.vacating_ && !vacates && !target.inRoster_;
    target.vacating_ = vacates;
  }
  return true;
}

void Scheduler::DecideHolds(std::vector<SchedulerOrder>& aOrders)
{
  Millis now = clock_.Now();
  for (auto& [id, target] : targets_) {
    bool matters = target.registered_ || !target.runs_.empty() ||
                   (target.inRoster_ && !target.held_ && !ready_);
    if (target.holdInFlight_) {
      DecideLook(target, aOrders);
      continue;
    }
    if (!matters) {
      continue;
    }
    if (now < target.nextHoldAt_) {
      Due(target.nextHoldAt_);
      continue;
    }
    target.holdInFlight_ = true;
    target.holdSentAt_ = now;
    aOrders.emplace_back(TargetHold{ id, NextHold(target) });
  }
}

/// True if it has to be found out whether a run is there: its start has no
/// answer, or it was stopped after the hold under way had been sent.
static bool IsUncertain(const TargetState& aTarget, const RunState& aRun)
{
  return aRun.phase_ == RunPhase::Unknown ||
         (aRun.phase_ == RunPhase::Stopping &&
          aRun.nextOrderAt_ == Millis::max() &&
          aRun.answeredAt_ >= aTarget.holdSentAt_);
}

/// A hold that waits may tell of a missing run late: its task would start
/// elsewhere only then.
void Scheduler::DecideLook(TargetState& aTarget,
                           std::vector<SchedulerOrder>& aOrders)
{
  bool uncertain = std::any_of(
    aTarget.runs_.begin(), aTarget.runs_.end(), [&](const auto& aEntry) {
      return IsUncertain(aTarget, aEntry.second);
    });
  if (!uncertain || aTarget.lookInFlight_ || !aTarget.held_) {
    return;
  }
  Millis now = clock_.Now();
  if (now < aTarget.lookSentAt_ + kLookPause) {
    Due(aTarget.lookSentAt_ + kLookPause);
    return;
  }
  aTarget.lookInFlight_ = true;
  aTarget.lookSentAt_ = now;
  HoldOrder look;
  look.fence_ = settings_.fence_;
  look.isLook_ = true;
  aOrders.emplace_back(TargetHold{ aTarget.info_.id_, look });
}

static bool HasHarmRisk(const TargetState& aTarget)
{
  bool serves = false;
  bool fills = false;
  for (const auto& [key, run] : aTarget.runs_) {
    serves |= run.serves_;
    fills |= run.fills_;
  }
  return serves && fills;
}

HoldOrder Scheduler::NextHold(TargetState& aTarget)
{
  HoldOrder hold;
  hold.fence_ = settings_.fence_;
  // A new life counts its ends anew: numbers of an earlier one would make it
  // forget ends that nobody has seen.
  bool sameLife = clock_.Now() - aTarget.lastAnswerAt_ <= kLeastRestart &&
                  aTarget.failedHolds_ == 0;
  hold.acknowledged_ = sameLife ? aTarget.acknowledged_ : 0;
  hold.freshConnection_ = aTarget.failedHolds_ > 0;
  if (aTarget.runs_.empty()) {
    return hold;
  }
  // The lease of a target that stays silent is left to run out, as its tasks
  // can only start elsewhere after that.
  bool renews = aTarget.clockRead_ != 0 && aTarget.failedHolds_ < kRenewals &&
                authority_ != Authority::Doubtful;
  if (renews) {
    hold.leaseUntil_ = aTarget.LeaseEnd(clock_.Now(), LeaseToGrant());
    aTarget.leaseOffered_ = *hold.leaseUntil_;
  }
  bool mayWait =
    aTarget.unsaved_.empty() && aTarget.failedHolds_ == 0 && aTarget.held_;
  if (mayWait) {
    hold.wait_ = HasHarmRisk(aTarget) ? kTailWait : kHoldWait;
  }
  return hold;
}

Millis Scheduler::HoldPause(const TargetState& aTarget) const
{
  if (aTarget.runs_.empty()) {
    return aTarget.unsaved_.empty() ? kIdlePause : kSavePause;
  }
  return aTarget.unsaved_.empty() ? Millis(0) : kSavePause;
}

void Scheduler::OnHold(const std::string& aTarget, const HoldAnswer& aAnswer)
{
  auto found = targets_.find(aTarget);
  if (found == targets_.end()) {
    return;
  }
  TargetState& target = found->second;
  target.holdInFlight_ = false;
  TargetClock offered = std::exchange(target.leaseOffered_, 0);
  if (aAnswer.end_ != OrderEnd::NotSent) {
    target.leaseGranted_ = std::max(target.leaseGranted_, offered);
  }
  if (aAnswer.end_ != OrderEnd::Done) {
    OnHoldFailed(target, aAnswer.end_);
    return;
  }
  Millis now = clock_.Now();
  if (target.failedHolds_ > 1) {
    LogBelief("target-regained",
              { { "target", aTarget },
                { "silent_ms", Text((now - target.lastAnswerAt_).count()) } });
  }
  target.failedHolds_ = 0;
  bool first = !target.held_;
  if (!TakeAnswer(target, aAnswer, target.holdSentAt_)) {
    target.nextHoldAt_ = now;
    return;
  }
  target.nextHoldAt_ = now + HoldPause(target);
  if (!aAnswer.ended_.empty() && target.unsaved_.empty()) {
    target.nextHoldAt_ = now; // acknowledges them
  }
  if (first) {
    // The lease of what was found is renewed at once.
    target.nextHoldAt_ = target.runs_.empty() ? target.nextHoldAt_ : now;
  }
}

void Scheduler::OnLook(const std::string& aTarget, const HoldAnswer& aAnswer)
{
  auto found = targets_.find(aTarget);
  if (found == targets_.end()) {
    return;
  }
  TargetState& target = found->second;
  target.lookInFlight_ = false;
  if (aAnswer.end_ == OrderEnd::Done) {
    TakeAnswer(target, aAnswer, target.lookSentAt_);
  } else if (aAnswer.end_ == OrderEnd::FenceTooLow ||
             aAnswer.end_ == OrderEnd::WrongTarget) {
    OnHoldFailed(target, aAnswer.end_);
  }
}

/// Takes in what a target says of itself. Answers on different connections
/// overtake each other: false if a later one was taken in before.
bool Scheduler::TakeAnswer(TargetState& aTarget,
                           const HoldAnswer& aAnswer,
                           Millis aSentAt)
{
  bool overlaps = aTarget.lastAnswerAt_ > aSentAt;
  bool older =
    aAnswer.born_ < aTarget.born_ ||
    (aAnswer.born_ == aTarget.born_ && aAnswer.clock_ <= aTarget.clockRead_);
  if (overlaps && older) {
    return false;
  }
  Millis now = clock_.Now();
  aTarget.lastAnswerAt_ = now;
  if (aAnswer.born_ != aTarget.born_) {
    StartNewLife(aTarget, aAnswer, aSentAt);
  }
  // The clock was read after the question was sent and before now.
  aTarget.clockRead_ = aAnswer.clock_;
  aTarget.clockReadAt_ = now;
  if (!aTarget.held_) {
    aTarget.held_ = true;
    // What an earlier scheduler may have granted until now.
    aTarget.leaseGranted_ = std::max(aTarget.leaseGranted_,
                                     aAnswer.clock_ + settings_.lease_.count());
  }
  TakeEnds(aTarget, aAnswer);
  TakeRunning(aTarget, aAnswer);
  DropMissing(aTarget, aAnswer, aSentAt);
  AcknowledgeSaved(aTarget);
  return true;
}

void Scheduler::OnHoldFailed(TargetState& aTarget, OrderEnd aEnd)
{
  Millis now = clock_.Now();
  if (aEnd == OrderEnd::FenceTooLow) {
    abdicated_ = true;
    LogBelief("fenced-off",
              { { "target", aTarget.info_.id_ },
                { "fence", std::to_string(settings_.fence_) } });
    return;
  }
  if (aEnd == OrderEnd::WrongTarget) {
    // Another id answers at that address: this one is over.
    LogBelief("target-over",
              { { "target", aTarget.info_.id_ },
                { "address", aTarget.info_.address_.Text() } });
    DropRuns(aTarget, "other life at the address", AnyRun);
    aTarget.held_ = true;
    aTarget.registered_ = false;
    return;
  }
  ++aTarget.failedHolds_;
  if (aTarget.failedHolds_ == 2) {
    LogBelief("target-silent",
              { { "target", aTarget.info_.id_ },
                { "end", std::string(NameOf(aEnd)) },
                { "runs", std::to_string(aTarget.runs_.size()) } });
  }
  aTarget.nextHoldAt_ =
    now + std::min(kLongFailedPause, kFailedPause * (aTarget.failedHolds_ - 1));
}

void Scheduler::StartNewLife(TargetState& aTarget,
                             const HoldAnswer& aAnswer,
                             Millis aSentAt)
{
  LogBelief("target-life",
            { { "target", aTarget.info_.id_ },
              { "born", Text(aAnswer.born_) },
              { "before", Text(aTarget.born_) },
              { "runs", std::to_string(aTarget.runs_.size()) } });
  if (aTarget.born_ != 0) {
    // Starts without an answer, or answered after the question, may have
    // reached the new life.
    DropRuns(aTarget, "new life", [&](const RunState& aRun) {
      return aRun.answeredAt_ > Millis(0) && aRun.answeredAt_ < aSentAt &&
             aRun.phase_ != RunPhase::Unknown;
    });
  }
  aTarget.processed_ = 0;
  aTarget.acknowledged_ = 0;
  aTarget.unsaved_.clear();
  // Offers made on the earlier life's clock may count as long as possible.
  aTarget.leaseGranted_ =
    aTarget.born_ == 0 ? 0 : aAnswer.clock_ + settings_.longestLease_.count();
  aTarget.born_ = aAnswer.born_;
  aTarget.failures_.clear();
  aTarget.doubts_ = 0;
  aTarget.successes_.clear();
}

void Scheduler::DropRuns(TargetState& aTarget,
                         std::string_view aReason,
                         const std::function<bool(const RunState&)>& aIsGone)
{
  std::vector<RunKey> gone;
  for (const auto& [key, run] : aTarget.runs_) {
    if (aIsGone(run)) {
      gone.push_back(key);
    }
  }
  for (const RunKey& key : gone) {
    LogDecision("run-lost",
                { { "task", key.first.Text() },
                  { "run", std::to_string(key.second) },
                  { "target", aTarget.info_.id_ },
                  { "reason", std::string(aReason) } });
    RunIsGone(aTarget, key);
  }
}

void Scheduler::RunIsGone(TargetState& aTarget, const RunKey& aRun)
{
  aTarget.RemoveRun(aRun);
  Job* job = FindJob(aRun.first.job_);
  TaskProgress* task = job == nullptr ? nullptr : job->Find(aRun.first);
  if (task != nullptr) {
    std::erase_if(task->live_, [&](const LiveRun& aLive) {
      return aLive.run_ == aRun.second && aLive.target_ == aTarget.info_.id_;
    });
  }
}

void Scheduler::DropLapsed()
{
  Millis now = clock_.Now();
  for (auto& [id, target] : targets_) {
    bool lapsed = target.held_ && target.HasLapsed(now);
    if (lapsed && !target.runs_.empty()) {
      DropRuns(target, "lease lapsed without an answer", AnyRun);
    }
  }
  SweepRoster();
}

/// A successor waits for each target of the roster that does not answer, so
/// those that were left go soon.
void Scheduler::SweepRoster()
{
  Millis now = clock_.Now();
  if (now < rosterSweepAt_) {
    return;
  }
  rosterSweepAt_ = now + kRosterSweep;
  for (const auto& [id, target] : targets_) {
    rosterStale_ |= target.inRoster_ != IsRosterNeeded(target);
  }
}

/// Until then a run that an earlier scheduler started may still be at work.
void Scheduler::CheckReady()
{
  if (ready_) {
    return;
  }
  Millis now = clock_.Now();
  // 2% for the slowest clock of a target, and the hold that may have been
  // under way when the earlier scheduler ended.
  Millis limit =
    bornAt_ + settings_.lease_ + settings_.lease_ / 50 + Millis(100);
  bool allHeld =
    std::all_of(targets_.begin(), targets_.end(), [](const auto& aEntry) {
      return aEntry.second.held_ || !aEntry.second.inRoster_;
    });
  if (!allHeld && now < limit) {
    Due(limit);
    return;
  }
  ready_ = true;
  for (auto& [id, target] : targets_) {
    if (!target.held_) {
      LogBelief("target-unheld", { { "target", id } });
    }
  }
  LogBelief("scheduler-ready",
            { { "service", settings_.service_ },
              { "fence", std::to_string(settings_.fence_) },
              { "jobs", std::to_string(jobs_.size()) },
              { "after_ms", Text((now - bornAt_).count()) } });
}

void Scheduler::TakeRunning(TargetState& aTarget, const HoldAnswer& aAnswer)
{
  for (const RunningRow& row : aAnswer.running_) {
    RunKey key{ row.task_, row.run_ };
    RunState* run = aTarget.FindRun(key);
    if (run == nullptr) {
      Adopt(aTarget, row);
      run = aTarget.FindRun(key);
    }
    run->percent_ = row.percent_;
    run->recent_ = row.recent_;
    if (run->phase_ == RunPhase::Starting || run->phase_ == RunPhase::Unknown) {
      run->phase_ = RunPhase::Running;
      run->answeredAt_ = clock_.Now();
    }
    Job* job = FindJob(row.task_.job_);
    TaskProgress* task = job == nullptr ? nullptr : job->Find(row.task_);
    if (task != nullptr && !row.checkpoint_.empty()) {
      task->checkpoint_ = row.checkpoint_;
    }
  }
}

/// The progress of a task that a target lists, or null if it has none.
TaskProgress* Scheduler::TaskOnTarget(Job* aJob, const TaskName& aTask)
{
  if (aJob == nullptr) {
    return nullptr;
  }
  if (aJob->CreateThrough(aTask.occurrence_)) {
    Touch(*aJob);
  }
  return aJob->Find(aTask);
}

/// A run that was not expected: started by an earlier scheduler, or late. It
/// goes on if its task needs a run, else DecideStops() ends it.
void Scheduler::Adopt(TargetState& aTarget, const RunningRow& aRow)
{
  Job* job = FindJob(aRow.task_.job_);
  TaskProgress* task = TaskOnTarget(job, aRow.task_);
  RunState run;
  run.phase_ = RunPhase::Running;
  run.sentAt_ = clock_.Now();
  run.answeredAt_ = clock_.Now();
  run.leaseUntil_ = aTarget.leaseGranted_;
  const StepSpec* known = job == nullptr ? nullptr : job->SpecOf(aRow.task_);
  // What is not known may need the whole target; nothing starts beside it
  // until it has been stopped.
  run.takes_ = known == nullptr ? aTarget.info_.capacity_ : known->each_;
  if (task != nullptr) {
    const StepSpec& spec = *known;
    run.takes_ = spec.each_;
    run.fills_ = spec.fills_;
    run.lasting_ = spec.lasting_;
    run.serves_ = spec.lasting_ && spec.latencyTarget_ > Millis(0);
    run.latencyTarget_ = spec.latencyTarget_;
    run.label_ = spec.label_;
    run.estimate_ = EstimateOf(spec);
    task->live_.push_back({ aTarget.info_.id_, aRow.run_ });
    job->Begin();
  }
  LogDecision("run-adopted",
              { { "task", aRow.task_.Text() },
                { "run", std::to_string(aRow.run_) },
                { "target", aTarget.info_.id_ },
                { "known", task != nullptr ? "1" : "0" } });
  aTarget.AddRun({ aRow.task_, aRow.run_ }, run);
}

/// Drops runs that the target neither runs nor lists as ended, although their
/// start was answered before it was asked.
void Scheduler::DropMissing(TargetState& aTarget,
                            const HoldAnswer& aAnswer,
                            Millis aSentAt)
{
  if (aAnswer.ended_.size() >= kMostEnds) {
    return;
  }
  std::set<RunKey> listed;
  for (const RunningRow& row : aAnswer.running_) {
    listed.insert({ row.task_, row.run_ });
  }
  std::vector<RunKey> missing;
  for (const auto& [key, run] : aTarget.runs_) {
    bool answered =
      run.phase_ == RunPhase::Running ||
      (run.phase_ == RunPhase::Stopping && run.answeredAt_ > Millis(0));
    if (answered && run.answeredAt_ < aSentAt && listed.count(key) == 0) {
      missing.push_back(key);
    }
  }
  for (const RunKey& key : missing) {
    LogDecision("run-lost",
                { { "task", key.first.Text() },
                  { "run", std::to_string(key.second) },
                  { "target", aTarget.info_.id_ },
                  { "reason", "not listed by its target" } });
    RunIsGone(aTarget, key);
  }
}

} // namespace coltsfootshed
