// Stopping and pacing of runs, and the answers to orders.
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <algorithm>
#include <array>

namespace coltsfootshed {

/// Percent of a lasting task that has finished its startup.
static constexpr int kAtWork = 100;
/// Pause before an order without an answer is sent again.
static constexpr Millis kOrderRetry{ 100 };
/// A start without an answer is looked for this long before it is stopped.
static constexpr Millis kLookFirst{ 100 };
/// Runs of jobs that are not known yet are spared this long: news of a job may
/// come later than its runs.
static constexpr Millis kUnknownJobGrace{ 3000 };
/// Pause of starts on a target that refused one.
static constexpr Millis kFullPause{ 200 };
static constexpr Millis kUnhealthyPause{ 1000 };
/// A target that leaves starts unanswered, again and again, rests this long,
/// twice as long each time. One start without an answer says little: the next
/// ones are only sent one by one.
static constexpr Millis kDoubtPause{ 500 };
static constexpr int kMostDoubts = 5;
static constexpr int kTrustAfter = 3;
/// A task with no room elsewhere is stopped all the same, as far as its step
/// may miss it, when its target has waited this long to be emptied.
static constexpr Millis kPatience{ 3000 };
/// Delay of a start that no target can read.
static constexpr Millis kMalformedPause{ 5000 };
/// Filling tasks give way above this share of a serving task's target.
static constexpr double kGiveWayAbove = 0.85;
/// They come back while all tails are below this share.
static constexpr double kComeBackBelow = 0.6;
/// Two orders to one task are at least this far apart, so that the tail shows
/// the first one's effect: the target averages over half a second.
static constexpr Millis kPacePause{ 700 };
static constexpr int kPaceStepUp = 10; ///< percent
static constexpr int kLeastPace = 15;  ///< percent; below it, 0

std::string_view NameOf(OrderEnd aEnd)
{
  static constexpr std::array<std::string_view, 11> kNames = {
    "done",         "fence-too-low",  "run-too-low", "too-late",
    "no-room",      "ticket-invalid", "unhealthy",   "malformed",
    "wrong-target", "not-sent",       "no-answer"
  };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

bool Scheduler::IsWanted(const TargetState& aTarget,
                         const RunKey& aRun,
                         const RunState& aState)
{
  Millis now = clock_.Now();
  if (aState.phase_ == RunPhase::Unknown &&
      now - aState.answeredAt_ >= kLookFirst) {
    return false;
  }
  Job* job = FindJob(aRun.first.job_);
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
          aMember.live_.begin(),
          aMember.live_.end(),
          [&](const LiveRun& aLive) { return aLive.run_ == aRun.second; });
      });
  }
  if (spec.copies_ || task->live_.empty()) {
    return true;
  }
  const LiveRun& kept = task->live_.front();
  return kept.target_ == aTarget.info_.id_ && kept.run_ == aRun.second;
}

/// Tasks of a step, but for aExcept, that are not at work.
int Scheduler::TasksAway(const Job& aJob, const TaskName& aExcept) const
{
  const StepProgress& step =
    aJob.Occurrences()
      .at(aExcept.occurrence_)
      .steps_.at(static_cast<std::size_t>(aExcept.step_));
  int away = 0;
  for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
    if (static_cast<int>(i) == aExcept.index_) {
      continue;
    }
    TaskName name = aExcept;
    name.index_ = static_cast<int>(i);
    bool atWork = false;
    for (const LiveRun& live : step.tasks_[i].live_) {
      auto target = targets_.find(live.target_);
      if (target == targets_.end() || target->second.failedHolds_ > 0) {
        continue;
      }
      auto run = target->second.runs_.find({ name, live.run_ });
      atWork |= run != target->second.runs_.end() &&
                run->second.phase_ == RunPhase::Running &&
                run->second.percent_ >= kAtWork;
    }
    away += atWork ? 0 : 1;
  }
  return away;
}

/// Stops lasting tasks on targets that are to be emptied, as far as the
/// availability of their steps allows; they start again elsewhere.
void Scheduler::DecideEvacuations()
{
  for (auto& [id, target] : targets_) {
    if (!target.vacating_ || target.failedHolds_ > 0) {
      continue;
    }
    for (auto& [key, run] : target.runs_) {
      Job* job = FindJob(key.first.job_);
      bool candidate = run.lasting_ && run.phase_ == RunPhase::Running &&
                       !run.orderInFlight_ && job != nullptr &&
                       job->Find(key.first) != nullptr;
      if (!candidate) {
        continue;
      }
      const StepSpec& spec = *job->SpecOf(key.first);
      TaskName step = key.first;
      step.index_ = 0;
      int away = TasksAway(*job, key.first);
      bool patient = clock_.Now() - target.vacatingSince_ < kPatience;
      if (away >= spec.mayMiss_ || (patient && !HasRoomElsewhere(spec, step))) {
        continue;
      }
      LogDecision(
        "run-evacuate",
        { { "task", key.first.Text() },
          { "target", id },
          { "away", std::to_string(away) },
          { "may_miss", std::to_string(spec.mayMiss_) },
          { "age_ms",
            std::to_string((clock_.Now() - target.lastAnswerAt_).count()) } });
      run.phase_ = RunPhase::Stopping;
      run.nextOrderAt_ = clock_.Now();
    }
  }
}

void Scheduler::DecideStops(std::vector<SchedulerOrder>& aOrders)
{
  Millis now = clock_.Now();
  for (auto& [id, target] : targets_) {
    for (auto& [key, run] : target.runs_) {
      bool unsent = run.phase_ == RunPhase::Starting || run.orderInFlight_;
      if (unsent) {
        continue;
      }
      if (run.phase_ != RunPhase::Stopping) {
        if (IsWanted(target, key, run)) {
          if (run.phase_ == RunPhase::Unknown) {
            Due(run.answeredAt_ + kLookFirst);
          }
          continue;
        }
        // A run whose start was never answered may not be there at all.
        run.answeredAt_ =
          run.phase_ == RunPhase::Unknown ? Millis(0) : run.answeredAt_;
        run.phase_ = RunPhase::Stopping;
        run.nextOrderAt_ = now;
        LogDecision("run-stop",
                    { { "task", key.first.Text() },
                      { "run", std::to_string(key.second) },
                      { "target", id } });
      } else if (run.nextOrderAt_ == Millis::max()) {
        continue; // answered
      }
      if (now < run.nextOrderAt_) {
        Due(run.nextOrderAt_);
        continue;
      }
      run.orderInFlight_ = true;
      aOrders.emplace_back(
        TargetStop{ id, { key.first, key.second, settings_.fence_ } });
    }
  }
}

/// A start that was sent at aSentAt got no answer. What was sent together is
/// judged once.
void Scheduler::Doubt(TargetState& aTarget, Millis aSentAt)
{
  if (aSentAt < aTarget.judgedAt_) {
    return;
  }
  Millis now = clock_.Now();
  aTarget.judgedAt_ = now;
  aTarget.doubts_ = std::min(aTarget.doubts_ + 1, kMostDoubts);
  aTarget.answeredStarts_ = 0;
  if (aTarget.doubts_ > 1) {
    aTarget.avoidUntil_ = std::max(
      aTarget.avoidUntil_, now + kDoubtPause * (1 << (aTarget.doubts_ - 2)));
  }
  LogBelief("target-doubted",
            { { "target", aTarget.info_.id_ },
              { "doubts", std::to_string(aTarget.doubts_) },
              { "avoid_ms",
                std::to_string(
                  std::max(Millis(0), aTarget.avoidUntil_ - now).count()) } });
}

/// Some starts in a row that were answered take one doubt away: a target may
/// leave only a share of them unanswered.
void Scheduler::Trust(TargetState& aTarget, Millis aSentAt)
{
  if (aTarget.doubts_ > 0 && aSentAt >= aTarget.judgedAt_ &&
      ++aTarget.answeredStarts_ >= kTrustAfter) {
    --aTarget.doubts_;
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
  if (aAnswer.end_ != OrderEnd::Done) {
    LogDecision("run-not-started",
                { { "task", aRun.first.Text() },
                  { "run", std::to_string(aRun.second) },
                  { "target", aTarget },
                  { "end", std::string(NameOf(aAnswer.end_)) } });
  }
  Count("starts_" + std::string(NameOf(aAnswer.end_)));
  if (run == nullptr || run->phase_ != RunPhase::Starting) {
    return; // already listed, or its life is over
  }
  if (aAnswer.end_ == OrderEnd::Done) {
    run->phase_ = RunPhase::Running;
    run->answeredAt_ = now;
    Trust(target, run->sentAt_);
    if (Job* job = FindJob(aRun.first.job_)) {
      job->Begin();
    }
    // A look that waits renews the lease and tells of the end.
    target.nextHoldAt_ = std::min(target.nextHoldAt_, now);
    Due(now);
    return;
  }
  if (aAnswer.end_ == OrderEnd::NoAnswer) {
    run->phase_ = RunPhase::Unknown;
    run->answeredAt_ = now;
    Doubt(target, run->sentAt_);
    target.nextHoldAt_ = now;
    Due(now);
    return;
  }
  Job* job = FindJob(aRun.first.job_);
  TaskProgress* task = job == nullptr ? nullptr : job->Find(aRun.first);
  RunIsGone(target, aRun);
  switch (aAnswer.end_) {
    case OrderEnd::FenceTooLow:
      OnHoldFailed(target, OrderEnd::FenceTooLow);
      break;
    case OrderEnd::WrongTarget:
      OnHoldFailed(target, OrderEnd::WrongTarget);
      break;
    case OrderEnd::NoRoom:
      target.avoidUntil_ = now + kFullPause;
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
        task->notBefore_ = now + kMalformedPause;
      }
      break;
    case OrderEnd::Unhealthy:
    case OrderEnd::NotSent:
      target.avoidUntil_ = now + kUnhealthyPause;
      target.nextHoldAt_ = now;
      break;
    default:
      target.nextHoldAt_ = now; // reads the clock anew
      break;
  }
  Due(std::max(target.avoidUntil_, now));
}

void Scheduler::OnStop(const std::string& aTarget,
                       const RunKey& aRun,
                       const OrderAnswer& aAnswer)
{
  TargetState& target = targets_.at(aTarget);
  Millis now = clock_.Now();
  if (aAnswer.end_ == OrderEnd::FenceTooLow ||
      aAnswer.end_ == OrderEnd::WrongTarget) {
    OnHoldFailed(target, aAnswer.end_);
    return;
  }
  RunState* run = target.FindRun(aRun);
  if (run == nullptr) {
    return;
  }
  run->orderInFlight_ = false;
  if (aAnswer.end_ != OrderEnd::Done) {
    run->nextOrderAt_ = now + kOrderRetry;
    Due(run->nextOrderAt_);
    return;
  }
  // From now on the run is listed until it has ended, or is not there and
  // can no longer start.
  run->nextOrderAt_ = Millis::max();
  run->answeredAt_ = now;
  if (!target.holdInFlight_) {
    target.nextHoldAt_ = std::min(target.nextHoldAt_, now);
    Due(now);
  }
}

void Scheduler::OnPace(const std::string& aTarget,
                       const RunKey& aRun,
                       const OrderAnswer& aAnswer)
{
  TargetState& target = targets_.at(aTarget);
  if (aAnswer.end_ == OrderEnd::FenceTooLow ||
      aAnswer.end_ == OrderEnd::WrongTarget) {
    OnHoldFailed(target, aAnswer.end_);
    return;
  }
  if (RunState* run = target.FindRun(aRun)) {
    run->orderInFlight_ = false;
    if (aAnswer.end_ != OrderEnd::Done) {
      run->pace_ = 100; // unknown; decided anew from the next tail
      run->pacedAt_ = Millis(0);
    }
  }
}

/// The worst tail on a target against its task's latency target; 0 if none.
static double WorstTail(const TargetState& aTarget)
{
  double worst = 0;
  for (const auto& [key, run] : aTarget.runs_) {
    if (run.serves_ && run.phase_ == RunPhase::Running) {
      double target = static_cast<double>(run.latencyTarget_.count());
      worst = std::max(worst, static_cast<double>(run.recent_) / target);
    }
  }
  return worst;
}

static int NextPace(int aPace, double aWorstTail)
{
  if (aWorstTail > kGiveWayAbove) {
    int halved = aPace / 2;
    return halved < kLeastPace ? 0 : halved;
  }
  if (aWorstTail < kComeBackBelow) {
    return std::min(100, aPace + kPaceStepUp);
  }
  return aPace;
}

void Scheduler::DecidePace(std::vector<SchedulerOrder>& aOrders)
{
  Millis now = clock_.Now();
  for (auto& [id, target] : targets_) {
    double worst = WorstTail(target);
    for (auto& [key, run] : target.runs_) {
      bool mayPace = run.fills_ && run.phase_ == RunPhase::Running &&
                     !run.orderInFlight_ && now - run.pacedAt_ >= kPacePause;
      int pace = mayPace ? NextPace(run.pace_, worst) : run.pace_;
      if (pace == run.pace_) {
        continue;
      }
      LogDecision(
        "run-pace",
        { { "task", key.first.Text() },
          { "target", id },
          { "percent", std::to_string(pace) },
          { "worst_tail", std::to_string(worst) },
          { "age_ms", std::to_string((now - target.lastAnswerAt_).count()) } });
      run.pace_ = pace;
      run.pacedAt_ = now;
      run.orderInFlight_ = true;
      aOrders.emplace_back(
        TargetPace{ id, { key.first, key.second, pace, settings_.fence_ } });
    }
  }
}

} // namespace coltsfootshed
