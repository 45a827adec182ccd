// Holds targets. A hold is a request that renews the lease of a target's runs,
// acknowledges ended runs, and returns what runs and what has ended there; it
// may wait on the target for a run to end. A probe is a hold request that
// neither waits nor renews the lease, sent while a hold waits. An incarnation
// of a target lasts from its start to its crash or exit and is identified by
// its start time, startedAt_.
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <algorithm>
#include <set>

namespace coltsfootshed {

/// How long a hold may wait for a run to end. Bounds the age of leases and of
/// the knowledge that a target is alive.
static constexpr Millis kHoldWait{ 700 };
/// How long a hold may wait where best-effort tasks run beside serving tasks,
/// so that the tail latencies are read this often.
static constexpr Millis kTailLatencyWait{ 500 };
/// After this many consecutive holds without an answer the lease is no longer
/// renewed.
static constexpr int kMaxFailedHoldsToRenew = 2;
/// Pause between holds of a target on which nothing runs, as each call has a
/// cost.
static constexpr Millis kIdlePause{ 3000 };
/// Each further consecutive hold without an answer lengthens the pause before
/// the next one by this.
static constexpr Millis kFailedPause{ 250 };
/// Upper bound of the pause between holds of a target that does not answer.
static constexpr Millis kMaxFailedPause{ 1000 };
/// Longest pause between holds while ends are not saved yet.
static constexpr Millis kSavePause{ 200 };
/// Pause between checks for targets that have to enter or leave the roster;
/// each change costs a call to the store. The pool manager, which plans as
/// often, moves a VM only when its target has left the roster.
static constexpr Millis kRosterCheckPause{ 100 };
/// The protocol limits the ended runs in one answer of a target to this number.
static constexpr std::size_t kMaxEndsPerAnswer = 500;

/// Pause between probes beside a hold that waits.
static constexpr Millis kProbePause{ 30 };

static bool AllRuns(const RunState&)
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
    entry->second.mayBeInRoster_ = true;
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
                 target.info_.startedAt_ != aTarget.startedAt_;
  if (changed) {
    LogStateChange("target",
                   { { "target", aTarget.id_ },
                     { "service", aTarget.service_ },
                     { "address", aTarget.address_.Text() },
                     { "draining", aTarget.draining_ ? "1" : "0" },
                     { "born", Text(aTarget.startedAt_) } });
    target.nextHoldAt_ = std::min(target.nextHoldAt_, clock_.Now());
  }
  if (changed) {
    target.gone_ = false;
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
  LogStateChange("target-unlisted",
                 { { "target", std::string(aId) },
                   { "runs", std::to_string(found->second.runs_.size()) } });
}

bool Scheduler::SetVacating(Fence aManagerFence,
                            std::span<const std::string> aTargets)
{
  if (aManagerFence < poolManagerFence_) {
    return false;
  }
  poolManagerFence_ = aManagerFence;
  for (auto& [id, target] : targets_) {
    bool isVacating =
      std::find(aTargets.begin(), aTargets.end(), id) != aTargets.end();
    if (isVacating && !target.vacating_) {
      target.vacatingSince_ = clock_.Now();
    }
    // A target that is no longer vacating has to be in the roster again.
    rosterStale_ |= target.vacating_ && !isVacating && !target.inRoster_;
    target.vacating_ = isVacating;
  }
  return true;
}

bool Scheduler::IsAwaited(const TargetState& aTarget) const
{
  return !ready_ && aTarget.inRoster_ && !aTarget.held_ && !aTarget.gone_;
}

void Scheduler::RetireTargets(std::span<const std::string> aTargets)
{
  for (const std::string& id : aTargets) {
    auto found = targets_.find(id);
    if (found != targets_.end() && IsAwaited(found->second)) {
      Retire(found->second, "its VM is in another pool");
    }
  }
}

void Scheduler::Retire(TargetState& aTarget, std::string_view aReason)
{
  LogStateChange("target-gone",
                 { { "target", aTarget.info_.id_ },
                   { "vm", aTarget.info_.vm_ },
                   { "reason", std::string(aReason) } });
  aTarget.gone_ = true;
  aTarget.registered_ = false;
}

/// Retires targets on whose VM another target has answered. The roster was read
/// before that answer, so they existed before it, and a VM runs one target at a
/// time.
void Scheduler::RetireReplacedTargets()
{
  std::set<std::string_view> answeredVms;
  for (const auto& [id, target] : targets_) {
    if (target.held_ && target.lastAnswerAt_ > Millis(0)) {
      answeredVms.insert(target.info_.vm_);
    }
  }
  answeredVms.erase("");
  for (auto& [id, target] : targets_) {
    if (IsAwaited(target) && answeredVms.count(target.info_.vm_) > 0) {
      Retire(target, "its VM runs another target");
    }
  }
}

void Scheduler::DecideHolds(std::vector<SchedulerOrder>& aOrders)
{
  Millis now = clock_.Now();
  for (auto& [id, target] : targets_) {
    bool needsHold =
      target.registered_ || !target.runs_.empty() || IsAwaited(target);
    if (target.holdInFlight_) {
      DecideProbe(target, aOrders);
      continue;
    }
    if (!needsHold) {
      continue;
    }
    if (now < target.nextHoldAt_) {
      WakeBy(target.nextHoldAt_);
      continue;
    }
    target.holdInFlight_ = true;
    target.holdSentAt_ = now;
    aOrders.emplace_back(TargetHold{ id, NextHold(target) });
  }
}

/// Returns true if it is unknown whether a run exists on the target: its start
/// got no answer, or it was stopped after the hold in flight was sent.
static bool IsUncertain(const TargetState& aTarget, const RunState& aRun)
{
  return aRun.phase_ == RunPhase::Unknown ||
         (aRun.phase_ == RunPhase::Stopping &&
          aRun.nextStopAt_ == Millis::max() &&
          aRun.answeredAt_ >= aTarget.holdSentAt_);
}

/// Sends a probe if it is uncertain whether a run exists. A hold that waits may
/// report a missing run late, which would delay the start of its task
/// elsewhere.
void Scheduler::DecideProbe(TargetState& aTarget,
                            std::vector<SchedulerOrder>& aOrders)
{
  if (!aTarget.mayHaveUncertainRuns_) {
    return;
  }
  bool uncertain = std::any_of(
    aTarget.runs_.begin(), aTarget.runs_.end(), [&](const auto& aEntry) {
      return IsUncertain(aTarget, aEntry.second);
    });
  // A run that is being stopped may become uncertain later.
  aTarget.mayHaveUncertainRuns_ =
    uncertain ||
    std::any_of(
      aTarget.runs_.begin(), aTarget.runs_.end(), [](const auto& aEntry) {
        return aEntry.second.phase_ == RunPhase::Stopping;
      });
  if (!uncertain || aTarget.probeInFlight_ || !aTarget.held_) {
    return;
  }
  Millis now = clock_.Now();
  if (now < aTarget.probeSentAt_ + kProbePause) {
    WakeBy(aTarget.probeSentAt_ + kProbePause);
    return;
  }
  aTarget.probeInFlight_ = true;
  aTarget.probeSentAt_ = now;
  HoldOrder probe;
  probe.fence_ = settings_.fence_;
  probe.isProbe_ = true;
  aOrders.emplace_back(TargetHold{ aTarget.info_.id_, probe });
}

static bool RunsBestEffortBesideServing(const TargetState& aTarget)
{
  bool serves = false;
  bool bestEffort = false;
  for (const auto& [key, run] : aTarget.runs_) {
    serves |= run.serves_;
    bestEffort |= run.bestEffort_;
  }
  return serves && bestEffort;
}

HoldOrder Scheduler::NextHold(TargetState& aTarget)
{
  HoldOrder hold;
  hold.fence_ = settings_.fence_;
  // A new incarnation numbers its ends, and starts its clock, anew: it would
  // forget ends that no scheduler has read, and take a lease for far longer
  // than it is.
  hold.startedAt_ = aTarget.startedAt_;
  hold.acknowledged_ = aTarget.acknowledged_;
  hold.freshConnection_ = aTarget.failedHolds_ > 0;
  if (aTarget.runs_.empty()) {
    return hold;
  }
  // The lease of a target that stays silent is left to expire, as its tasks can
  // start elsewhere only after that.
  Millis lease = LeaseToGrant();
  bool renews = aTarget.clockRead_ != 0 &&
                aTarget.failedHolds_ < kMaxFailedHoldsToRenew &&
                authority_ != Authority::Doubtful && lease > Millis(0);
  if (renews) {
    hold.leaseUntil_ = aTarget.LeaseEnd(clock_.Now(), lease);
    aTarget.leaseOffered_ = *hold.leaseUntil_;
  }
  bool mayWait =
    aTarget.unsaved_.empty() && aTarget.failedHolds_ == 0 && aTarget.held_;
  if (mayWait) {
    hold.wait_ =
      RunsBestEffortBesideServing(aTarget) ? kTailLatencyWait : kHoldWait;
  }
  return hold;
}

/// Returns the pause between an answered hold and the next one. It is 0 if
/// there are runs and all ends are saved, as the next hold then waits on the
/// target.
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
  TargetTime offered = std::exchange(target.leaseOffered_, 0);
  if (aAnswer.end_ != OrderEnd::NotSent) {
    target.leaseGranted_ = std::max(target.leaseGranted_, offered);
  }
  if (aAnswer.end_ != OrderEnd::Done) {
    OnCallFailed(target, aAnswer.end_);
    return;
  }
  if (MayLackSuccessorsFence(target, aAnswer)) {
    OnCallFailed(target, OrderEnd::NoAnswer);
    return;
  }
  Millis now = clock_.Now();
  if (target.failedHolds_ > 1) {
    LogStateChange(
      "target-regained",
      { { "target", aTarget },
        { "silent_ms", Text((now - target.lastAnswerAt_).count()) } });
  }
  target.failedHolds_ = 0;
  bool first = !target.held_;
  if (!ApplyAnswer(target, aAnswer, target.holdSentAt_)) {
    target.nextHoldAt_ = now;
    return;
  }
  target.nextHoldAt_ = now + HoldPause(target);
  if (!aAnswer.ended_.empty() && target.unsaved_.empty()) {
    target.nextHoldAt_ = now; // acknowledges the ends
  }
  if (first) {
    // The lease of the runs found there is renewed without delay.
    target.nextHoldAt_ = target.runs_.empty() ? target.nextHoldAt_ : now;
  }
}

void Scheduler::OnProbe(const std::string& aTarget, const HoldAnswer& aAnswer)
{
  auto found = targets_.find(aTarget);
  if (found == targets_.end()) {
    return;
  }
  TargetState& target = found->second;
  target.probeInFlight_ = false;
  if (aAnswer.end_ == OrderEnd::Done) {
    if (MayLackSuccessorsFence(target, aAnswer)) {
      return;
    }
    ApplyAnswer(target, aAnswer, target.probeSentAt_);
  } else if (aAnswer.end_ == OrderEnd::FenceTooLow ||
             aAnswer.end_ == OrderEnd::WrongTarget) {
    OnCallFailed(target, aAnswer.end_);
  }
}

bool Scheduler::MayLackSuccessorsFence(const TargetState& aTarget,
                                       const HoldAnswer& aAnswer) const
{
  return authority_ != Authority::Confirmed &&
         aAnswer.startedAt_ != aTarget.startedAt_;
}

/// Applies an answer of a target. Answers on different connections may arrive
/// out of order: returns false, and changes nothing, if a later one was applied
/// before.
bool Scheduler::ApplyAnswer(TargetState& aTarget,
                            const HoldAnswer& aAnswer,
                            Millis aSentAt)
{
  // Whether another answer arrived while this one was pending.
  bool overlaps = aTarget.lastAnswerAt_ > aSentAt;
  bool older = aAnswer.startedAt_ < aTarget.startedAt_ ||
               (aAnswer.startedAt_ == aTarget.startedAt_ &&
                aAnswer.clock_ <= aTarget.clockRead_);
  if (overlaps && older) {
    return false;
  }
  Millis now = clock_.Now();
  aTarget.lastAnswerAt_ = now;
  if (aAnswer.startedAt_ != aTarget.startedAt_) {
    BeginIncarnation(aTarget, aAnswer, aSentAt);
  }
  // The target read its clock after the request was sent and before now.
  aTarget.clockRead_ = aAnswer.clock_;
  aTarget.clockReadAt_ = now;
  if (!aTarget.held_) {
    aTarget.held_ = true;
    aTarget.heldSince_ = now;
    // An earlier scheduler may have granted a lease until now.
    aTarget.leaseGranted_ = std::max(
      aTarget.leaseGranted_, aAnswer.clock_ + settings_.takeOverWait_.count());
  }
  ApplyEnds(aTarget, aAnswer);
  ApplyRunning(aTarget, aAnswer, aSentAt);
  DropMissingRuns(aTarget, aAnswer, aSentAt);
  AcknowledgeSaved(aTarget);
  return true;
}

/// Handles a hold that failed, or an answer to any call by which the target
/// rejects this scheduler's fence or is not the one that was called.
void Scheduler::OnCallFailed(TargetState& aTarget, OrderEnd aEnd)
{
  Millis now = clock_.Now();
  if (aEnd == OrderEnd::FenceTooLow) {
    steppedDown_ = true;
    LogStateChange("fenced-off",
                   { { "target", aTarget.info_.id_ },
                     { "fence", std::to_string(settings_.fence_) } });
    return;
  }
  // A successor may know already that the target's runs are gone, and have
  // started their tasks elsewhere.
  bool mayDropRuns = authority_ == Authority::Confirmed;
  if (aEnd == OrderEnd::WrongTarget && mayDropRuns) {
    // Another target answers at that address: this one no longer exists.
    LogStateChange("target-replaced",
                   { { "target", aTarget.info_.id_ },
                     { "address", aTarget.info_.address_.Text() } });
    DropRuns(aTarget, "another target answers at its address", AllRuns);
    aTarget.held_ = true;
    aTarget.registered_ = false;
    return;
  }
  ++aTarget.failedHolds_;
  if (aTarget.failedHolds_ == 2) {
    LogStateChange("target-silent",
                   { { "target", aTarget.info_.id_ },
                     { "end", std::string(NameOf(aEnd)) },
                     { "runs", std::to_string(aTarget.runs_.size()) } });
  }
  aTarget.nextHoldAt_ =
    now + std::min(kMaxFailedPause, kFailedPause * (aTarget.failedHolds_ - 1));
}

void Scheduler::BeginIncarnation(TargetState& aTarget,
                                 const HoldAnswer& aAnswer,
                                 Millis aSentAt)
{
  LogStateChange("target-incarnation",
                 { { "target", aTarget.info_.id_ },
                   { "born", Text(aAnswer.startedAt_) },
                   { "previous_born", Text(aTarget.startedAt_) },
                   { "runs", std::to_string(aTarget.runs_.size()) } });
  if (aTarget.startedAt_ != 0) {
    // Runs whose start got no answer, or was answered after the request was
    // sent, are kept until an answer shows that they are missing.
    DropRuns(
      aTarget, "target has a new incarnation", [&](const RunState& aRun) {
        return aRun.answeredAt_ > Millis(0) && aRun.answeredAt_ < aSentAt &&
               aRun.phase_ != RunPhase::Unknown;
      });
  }
  aTarget.leaseOffered_ = 0; // by the earlier incarnation's clock
  aTarget.processed_ = 0;
  aTarget.acknowledged_ = 0;
  aTarget.unsaved_.clear();
  // A leader of an earlier version may have sent a lease by the previous
  // incarnation's clock, which lasts as long as a target allows.
  aTarget.leaseGranted_ = aTarget.startedAt_ == 0
                            ? 0
                            : aAnswer.clock_ + settings_.longestLease_.count();
  aTarget.startedAt_ = aAnswer.startedAt_;
  aTarget.failures_.clear();
  aTarget.suspicion_ = 0;
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
    DropRun(aTarget, key);
  }
}

void Scheduler::AddRun(TargetState& aTarget,
                       const RunKey& aRun,
                       const RunState& aState)
{
  aTarget.AddRun(aRun, aState);
  caps_.AddRun(aState.account_, aState.takes_, aState.longRunning_);
}

void Scheduler::DropRun(TargetState& aTarget, const RunKey& aRun)
{
  if (const RunState* run = aTarget.FindRun(aRun)) {
    caps_.RemoveRun(run->account_, run->takes_, run->longRunning_);
  }
  aTarget.RemoveRun(aRun);
  Job* job = FindJob(aRun.first.job_);
  const StepSpec* spec = job == nullptr ? nullptr : job->SpecOf(aRun.first);
  // The other members of a gang are of no use alone.
  checkAllRuns_ |= spec != nullptr && spec->gang_;
  TaskProgress* task = job == nullptr ? nullptr : job->Find(aRun.first);
  if (task != nullptr) {
    std::erase_if(task->liveRuns_, [&](const LiveRun& aLive) {
      return aLive.run_ == aRun.second && aLive.target_ == aTarget.info_.id_;
    });
  }
}

/// Drops the runs of targets whose leases have expired, then checks the roster.
void Scheduler::DropExpiredRuns()
{
  Millis now = clock_.Now();
  for (auto& [id, target] : targets_) {
    bool expired = target.held_ && target.HaveLeasesExpired(now);
    if (expired && !target.runs_.empty()) {
      DropRuns(target, "lease lapsed without an answer", AllRuns);
    }
  }
  CheckRoster();
}

/// Marks the roster for saving if a target has to enter or leave it. A
/// successor waits for each target of the roster that does not answer, so
/// unneeded targets are removed soon.
void Scheduler::CheckRoster()
{
  Millis now = clock_.Now();
  if (now < rosterCheckAt_) {
    return;
  }
  rosterCheckAt_ = now + kRosterCheckPause;
  for (const auto& [id, target] : targets_) {
    rosterStale_ |= target.inRoster_ != BelongsInRoster(target);
  }
}

/// Sets ready_ once no run that an earlier scheduler started can still be
/// running unknown to this one.
void Scheduler::CheckReady()
{
  if (ready_) {
    return;
  }
  Millis now = clock_.Now();
  // Allows 2% for the slowest clock of a target, and 100 ms for a hold that may
  // have been in flight when the earlier scheduler ended.
  Millis wait =
    knownToPredecessors_ ? settings_.lease_ : settings_.takeOverWait_;
  Millis limit = createdAt_ + wait + wait / 50 + Millis(100);
  RetireReplacedTargets();
  bool awaitsTargets =
    std::any_of(targets_.begin(), targets_.end(), [this](const auto& aEntry) {
      return IsAwaited(aEntry.second);
    });
  if ((rosterUnknown_ || awaitsTargets) && now < limit) {
    WakeBy(limit);
    return;
  }
  for (auto& [id, target] : targets_) {
    if (IsAwaited(target)) {
      LogStateChange("target-never-answered",
                     { { "target", id }, { "vm", target.info_.vm_ } });
    }
  }
  ready_ = true;
  LogStateChange("scheduler-ready",
                 { { "service", settings_.service_ },
                   { "fence", std::to_string(settings_.fence_) },
                   { "jobs", std::to_string(jobs_.size()) },
                   { "after_ms", Text((now - createdAt_).count()) } });
}

/// Notes what accounts may have running on targets that have not answered yet:
/// tasks without a known run that an earlier scheduler may have started, as far
/// as they fit there.
void Scheduler::NoteUnconfirmedRuns()
{
  if (!caps_.IsOn() || runsConfirmed_) {
    return;
  }
  runsConfirmed_ = ready_;
  Resources silent;
  Resources largest;
  for (const auto& [id, target] : targets_) {
    for (auto amount :
         { &Resources::cpu_, &Resources::memory_, &Resources::gpu_ }) {
      largest.*amount =
        std::max(largest.*amount, target.info_.capacity_.*amount);
    }
  }
  for (const auto& [id, target] : targets_) {
    if (IsAwaited(target)) {
      // The roster names the target, but not its size.
      bool hasSize = target.info_.capacity_ != Resources();
      silent += hasSize ? target.info_.capacity_ : largest;
    }
  }
  ByAccount unconfirmed;
  for (const auto& [id, job] : openJobs_) {
    if (silent == Resources() || job->Record().account_.empty() ||
        IsUnknownToEarlierSchedulers(*job)) {
      continue;
    }
    for (const auto& [number, occurrence] : job->Occurrences()) {
      for (std::size_t i = 0; i < occurrence.steps_.size(); ++i) {
        const StepSpec& spec = job->Record().spec_.steps_[i];
        if (!occurrence.IsReady(spec)) {
          continue;
        }
        for (const TaskProgress& task : occurrence.steps_[i].tasks_) {
          if (!task.done_ && task.liveRuns_.empty() &&
              !task.wasRunningAtTakeOver_) {
            unconfirmed[job->Record().account_] += spec.taskResources_;
          }
        }
      }
    }
  }
  for (auto& [account, amount] : unconfirmed) {
    amount.cpu_ = std::min(amount.cpu_, silent.cpu_);
    amount.memory_ = std::min(amount.memory_, silent.memory_);
    amount.gpu_ = std::min(amount.gpu_, silent.gpu_);
  }
  caps_.SetUnconfirmed(std::move(unconfirmed));
}

void Scheduler::ApplyRunning(TargetState& aTarget,
                             const HoldAnswer& aAnswer,
                             Millis aSentAt)
{
  for (const ReportedRun& running : aAnswer.running_) {
    RunKey key{ running.task_, running.run_ };
    RunState* run = aTarget.FindRun(key);
    if (run == nullptr) {
      Adopt(aTarget, running);
      run = aTarget.FindRun(key);
    }
    run->percent_ = running.percent_;
    run->recentMetric_ = running.recentMetric_;
    run->listedAsOf_ = std::max(run->listedAsOf_, aSentAt);
    if (run->phase_ == RunPhase::Starting || run->phase_ == RunPhase::Unknown) {
      run->phase_ = RunPhase::Running;
      run->answeredAt_ = clock_.Now();
    }
    Job* job = FindJob(running.task_.job_);
    TaskProgress* task = job == nullptr ? nullptr : job->Find(running.task_);
    if (task != nullptr && !running.checkpoint_.empty()) {
      task->checkpoint_ = running.checkpoint_;
    }
  }
}

/// Returns the progress of a task that a target lists, or null if the job is
/// not known or has no such task. Creates occurrences that an earlier scheduler
/// began.
TaskProgress* Scheduler::FindOrCreateTask(Job* aJob, const TaskName& aTask)
{
  if (aJob == nullptr) {
    return nullptr;
  }
  if (aJob->CreateOccurrencesThrough(aTask.occurrence_)) {
    MarkChanged(*aJob);
  }
  return aJob->Find(aTask);
}

/// Adds a run that this scheduler does not know: an earlier scheduler started
/// it, or its start was carried out late. It continues if its task needs a run;
/// otherwise DecideStops() stops it.
void Scheduler::Adopt(TargetState& aTarget, const ReportedRun& aRunning)
{
  Job* job = FindJob(aRunning.task_.job_);
  TaskProgress* task = FindOrCreateTask(job, aRunning.task_);
  RunState run;
  run.adopted_ = true;
  run.phase_ = RunPhase::Running;
  run.sentAt_ = clock_.Now();
  run.answeredAt_ = clock_.Now();
  run.leaseUntil_ = aTarget.leaseGranted_;
  const StepSpec* known =
    job == nullptr ? nullptr : job->SpecOf(aRunning.task_);
  // A run of an unknown task may need the whole target; nothing starts beside
  // it until it has been stopped.
  run.takes_ =
    known == nullptr ? aTarget.info_.capacity_ : known->taskResources_;
  if (task != nullptr) {
    const StepSpec& spec = *known;
    run.takes_ = spec.taskResources_;
    run.bestEffort_ = spec.bestEffort_;
    run.longRunning_ = spec.longRunning_;
    run.serves_ = spec.longRunning_ && spec.latencyObjective_ > Millis(0);
    run.latencyObjective_ = spec.latencyObjective_;
    run.label_ = spec.label_;
    run.account_ = job->Record().account_;
    run.estimate_ = EstimateOf(spec);
    task->liveRuns_.push_back({ aTarget.info_.id_, aRunning.run_ });
    job->Begin();
    if (!task->done_) {
      NoteRunningAtTakeOver(*job, aRunning.task_);
    }
  }
  LogDecision("run-adopted",
              { { "task", aRunning.task_.Text() },
                { "run", std::to_string(aRunning.run_) },
                { "target", aTarget.info_.id_ },
                { "known", task != nullptr ? "1" : "0" } });
  AddRun(aTarget, { aRunning.task_, aRunning.run_ }, run);
  checkAllRuns_ = true;
}

/// Notes that a task was still running when this scheduler had taken over. All
/// decisions of earlier schedulers were made before, so none of them has
/// started a step that depends on the task, or, as runs of a task overlap only
/// if it is speculative, another run of it.
void Scheduler::NoteRunningAtTakeOver(Job& aJob, const TaskName& aTask)
{
  const StepSpec& spec = *aJob.SpecOf(aTask);
  if (spec.speculative_) {
    return; // another run of it may have been seen to end
  }
  StepProgress& step = aJob.Occurrences()
                         .at(aTask.occurrence_)
                         .steps_.at(static_cast<std::size_t>(aTask.step_));
  step.wasRunningAtTakeOver_ = true;
  TaskProgress& task = step.tasks_.at(static_cast<std::size_t>(aTask.index_));
  // Other members of a gang may still wait on targets that do not answer.
  task.wasRunningAtTakeOver_ = !spec.gang_;
}

/// Drops runs that the target lists neither as running nor as ended, although
/// their start was answered before the request was sent. An answer with the
/// maximum number of ends may be incomplete and is skipped.
void Scheduler::DropMissingRuns(TargetState& aTarget,
                                const HoldAnswer& aAnswer,
                                Millis aSentAt)
{
  if (aAnswer.ended_.size() >= kMaxEndsPerAnswer) {
    return;
  }
  std::set<RunKey> listed;
  for (const ReportedRun& running : aAnswer.running_) {
    listed.insert({ running.task_, running.run_ });
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
    DropRun(aTarget, key);
  }
}

} // namespace coltsfootshed
