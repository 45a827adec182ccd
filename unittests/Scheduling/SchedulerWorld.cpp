#include "Scheduling/SchedulerWorld.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr int kTargets = 4;
static constexpr std::int64_t kTargetCpu = 8000;
static constexpr Millis kStopDuration{ 200 };
/// Shortest time from a crash to the new incarnation.
static constexpr Millis kMinRestartTime{ 100 };
static constexpr Millis kMaxCallDelay{ 12000 };
static const char* const kService = "stitch";

SchedulerWorld::SchedulerWorld(SchedulerMutant aMutant)
  : mutant_(aMutant)
{
  for (int i = 0; i < kTargets; ++i) {
    FakeTarget target;
    target.info_.id_ = "t" + std::to_string(i);
    target.info_.service_ = kService;
    target.info_.address_ = { "10.0.0.1", static_cast<std::uint16_t>(i + 1) };
    target.info_.capacity_ = { kTargetCpu, 32768, 0 };
    target.info_.labels_ = { "a", i % 2 == 0 ? "r1" : "r2" };
    target.info_.startedAt_ = 1000 + i;
    target.info_.vm_ = "v" + std::to_string(i);
    target.clockRate_ = i % 2 == 0 ? 1.0 : 0.98;
    targets_.emplace(target.info_.id_, target);
  }
  targetsCreated_ = kTargets;
  AddLeader(Authority::Doubtful);
}

void SchedulerWorld::ReportViolation(const std::string& aWhat)
{
  if (violation_.empty()) {
    violation_ = aWhat;
  }
}

TargetTime SchedulerWorld::ClockOf(const FakeTarget& aTarget) const
{
  auto age = static_cast<double>((clock_.Now() - aTarget.restartedAt_).count());
  return 5000 + static_cast<TargetTime>(age * aTarget.clockRate_);
}

/// Returns the entry of a target in the registry.
static std::vector<TargetInfo> Listed(const TargetInfo& aInfo,
                                      SchedulerMutant aMutant)
{
  TargetInfo info = aInfo;
  if (aMutant == SchedulerMutant::CapacityDoubled) {
    info.capacity_.cpu_ *= 2;
    info.capacity_.memory_ *= 2;
  }
  return { info };
}

void SchedulerWorld::AddLeader(Authority aPredecessors)
{
  if (!leaders_.empty()) {
    Scheduler& predecessor = *leaders_.back().scheduler_;
    predecessor.SetAuthority(Authority::Confirmed, clock_.Now());
    predecessor.SetAuthority(aPredecessors, clock_.Now());
  }
  SchedulerSettings settings;
  settings.service_ = kService;
  settings.fence_ = ++revision_;
  settings.lease_ = Millis(5000);
  auto scheduler = std::make_unique<Scheduler>(clock_, clock_, settings);
  scheduler->LoadRoster(roster_);
  for (auto& [id, job] : jobs_) {
    scheduler->AddJob(job.record_, job.created_);
    auto saved = progress_.find(id);
    if (saved != progress_.end()) {
      std::string text = saved->second.first;
      if (mutant_ == SchedulerMutant::FailuresForgotten) {
        auto at = text.find("\"failed\":[[");
        while (at != std::string::npos) {
          text.replace(at, text.find("]]]", at) + 3 - at, "\"failed\":[]");
          at = text.find("\"failed\":[[");
        }
      }
      scheduler->LoadProgress(id, text, saved->second.second);
    }
    if (job.cancelled_) {
      scheduler->CancelJob(id);
    }
  }
  for (auto& [id, target] : targets_) {
    scheduler->RegisterTarget(Listed(target.info_, mutant_).front());
  }
  leaders_.push_back({ settings.fence_, std::move(scheduler) });
  constexpr std::size_t kMaxLeaders = 3;
  if (leaders_.size() > kMaxLeaders) {
    leaders_.erase(leaders_.begin());
  }
}

Scheduler* SchedulerWorld::Find(std::uint64_t aId)
{
  for (Leader& leader : leaders_) {
    if (leader.id_ == aId) {
      return leader.scheduler_.get();
    }
  }
  return nullptr;
}

void SchedulerWorld::AddJob(JobRecord aRecord)
{
  std::string number = std::to_string(++submitted_);
  aRecord.id_ = std::string(16 - number.size(), '0') + number;
  aRecord.queue_ = "q";
  aRecord.service_ = kService;
  aRecord.spec_.payload_ = "payload";
  aRecord.acceptedAt_ = clock_.Now();
  aRecord.maxAttempts_ = 2;
  aRecord.stretch_ = 1.6;
  aRecord.objectiveBase_ = Millis(600);
  KnownJob& job = jobs_[aRecord.id_];
  job.record_ = aRecord;
  job.created_ = ++revision_;
  // Leaders that were replaced may see it in the store, too.
  for (Leader& leader : leaders_) {
    leader.scheduler_->AddJob(aRecord, job.created_);
  }
}

void SchedulerWorld::Submit(unsigned aPick)
{
  JobRecord record;
  StepSpec step;
  step.tasks_ = 1 + static_cast<int>(aPick % 4);
  step.taskResources_ = { 1500 + 500 * static_cast<std::int64_t>(aPick % 5),
                          1024,
                          0 };
  step.estimate_ = Millis(300 + 100 * (aPick % 8));
  step.checkpoints_ = aPick % 2 == 0;
  step.maxPerTarget_ = aPick % 3 == 0 ? 1 : 0;
  record.spec_.steps_.push_back(step);
  if (aPick % 2 == 1) {
    step.after_ = { 0 };
    record.spec_.steps_.push_back(step);
  }
  AddJob(std::move(record));
}

void SchedulerWorld::SubmitGang(unsigned aPick)
{
  JobRecord record;
  StepSpec step;
  step.gang_ = true;
  step.tasks_ = 2 + static_cast<int>(aPick % 3);
  step.taskResources_ = { 2000, 1024, 0 };
  step.estimate_ = Millis(500);
  record.spec_.steps_.push_back(step);
  AddJob(std::move(record));
}

void SchedulerWorld::Cancel(unsigned aPick)
{
  if (jobs_.empty()) {
    return;
  }
  auto job =
    std::next(jobs_.begin(), static_cast<std::ptrdiff_t>(aPick % jobs_.size()));
  job->second.cancelled_ = true;
  leaders_.back().scheduler_->CancelJob(job->first);
}

void SchedulerWorld::Decide(unsigned aPick)
{
  Leader& leader =
    leaders_[aPick % 4 == 0 ? aPick % leaders_.size() : leaders_.size() - 1];
  Run(*leader.scheduler_, leader.id_);
}

void SchedulerWorld::Run(Scheduler& aScheduler, std::uint64_t aId)
{
  for (SchedulerOrder& order : aScheduler.Decide()) {
    auto call = [&](const std::string& aTarget, Order aOrder) {
      calls_.push_back({ aId, aTarget, std::move(aOrder), clock_.Now() });
    };
    if (auto* hold = std::get_if<TargetHold>(&order)) {
      call(hold->target_, hold->order_);
    } else if (auto* start = std::get_if<TargetStart>(&order)) {
      if (aId == leaders_.back().id_ &&
          jobs_.at(start->order_.task_.job_).cancelled_) {
        ReportViolation("a task of a cancelled job is started");
      }
      call(start->target_, start->order_);
    } else if (auto* stop = std::get_if<TargetStop>(&order)) {
      call(stop->target_, stop->order_);
    } else if (auto* pace = std::get_if<TargetPace>(&order)) {
      call(pace->target_, pace->order_);
    } else if (auto* save = std::get_if<SaveProgress>(&order)) {
      Save(aScheduler, *save);
    } else if (auto* roster = std::get_if<SaveRoster>(&order)) {
      bool saved = aId == leaders_.back().id_ && savesToFail_ == 0;
      if (saved) {
        roster_ = roster->targets_;
      }
      aScheduler.OnRosterSaved(saved);
    }
  }
  CheckShownStates();
}

void SchedulerWorld::Save(Scheduler& aScheduler, const SaveProgress& aSave)
{
  if (&aScheduler != leaders_.back().scheduler_.get() || savesToFail_ > 0) {
    savesToFail_ = std::max(0, savesToFail_ - 1);
    aScheduler.OnSaved(aSave, 0);
    return;
  }
  ++revision_;
  for (const SaveProgress::Entry& entry : aSave.entries_) {
    if (mutant_ != SchedulerMutant::SavesAreLost) {
      progress_[entry.job_] = { entry.progress_, revision_ };
    }
  }
  aScheduler.OnSaved(aSave, revision_);
}

void SchedulerWorld::FailSave(unsigned aPick)
{
  savesToFail_ = static_cast<int>(aPick % 4);
}

/// Ends runs that are due to stop or end, or whose lease has expired.
void SchedulerWorld::EndDueRuns()
{
  for (auto& [id, target] : targets_) {
    std::vector<std::pair<RunKey, RunEnd>> ends;
    for (auto& [key, run] : target.runs_) {
      if (run.stopsAt_ && *run.stopsAt_ <= clock_.Now()) {
        ends.emplace_back(key, RunEnd::Stopped);
      } else if (ClockOf(target) > target.leaseEnd_) {
        ends.emplace_back(key, RunEnd::LeaseExpired);
      } else if (run.endsAt_ <= clock_.Now()) {
        ends.emplace_back(key, run.fails_ ? RunEnd::Failed : RunEnd::Done);
      }
    }
    for (const auto& [key, runEnd] : ends) {
      if (target.runs_.count(key) > 0) {
        End(target, key, runEnd);
      }
    }
  }
}

void SchedulerWorld::End(FakeTarget& aTarget,
                         const RunKey& aKey,
                         RunEnd aRunEnd)
{
  KnownJob& job = jobs_.at(aKey.first.job_);
  const StepSpec& spec =
    job.record_.spec_.steps_.at(static_cast<std::size_t>(aKey.first.step_));
  std::string checkpoint;
  if (spec.checkpoints_ && aRunEnd != RunEnd::Done) {
    checkpoint = "c" + std::to_string(aKey.second);
    job.checkpoints_.insert(checkpoint);
  }
  aTarget.runs_.erase(aKey);
  aTarget.refused_[aKey.first] =
    std::max(aTarget.refused_[aKey.first], aKey.second);
  aTarget.ended_.push_back(
    { ++aTarget.lastEnd_, aKey.first, aKey.second, aRunEnd, checkpoint });
  if (aRunEnd != RunEnd::Done) {
    return;
  }
  job.done_.insert(aKey.first);
  if (!spec.gang_) {
    return;
  }
  // The members of a gang end together.
  for (int i = 0; i < spec.tasks_; ++i) {
    TaskName member = aKey.first;
    member.index_ = i;
    job.done_.insert(member);
    for (auto& [id, target] : targets_) {
      if (target.runs_.count({ member, aKey.second }) > 0) {
        End(target, { member, aKey.second }, RunEnd::Done);
      }
    }
  }
}

void SchedulerWorld::PassTime(unsigned aPick)
{
  clock_.Advance(Millis(1 + aPick % 400));
  EndDueRuns();
  std::erase_if(lostCalls_, [this](const Call& aCall) {
    return clock_.Now() - aCall.sentAt_ > kMaxCallDelay;
  });
}

/// Removes and returns the element that aPick selects.
template<typename T>
static T Take(std::vector<T>& aFrom, unsigned aPick)
{
  auto at = aFrom.begin() + static_cast<std::ptrdiff_t>(aPick % aFrom.size());
  T taken = std::move(*at);
  aFrom.erase(at);
  return taken;
}

void SchedulerWorld::Deliver(unsigned aPick)
{
  if (!calls_.empty()) {
    replies_.push_back(Execute(Take(calls_, aPick)));
  }
}

void SchedulerWorld::Answer(unsigned aPick)
{
  if (!replies_.empty()) {
    Return(Take(replies_, aPick));
  }
}

void SchedulerWorld::LoseCall(unsigned aPick)
{
  if (!calls_.empty()) {
    Call call = Take(calls_, aPick);
    ReturnFailure(call, OrderEnd::NoAnswer);
    lostCalls_.push_back(std::move(call));
  }
}

void SchedulerWorld::LoseAnswer(unsigned aPick)
{
  if (!replies_.empty()) {
    ReturnFailure(Take(replies_, aPick).call_, OrderEnd::NoAnswer);
  }
}

void SchedulerWorld::RefuseConnect(unsigned aPick)
{
  if (!calls_.empty()) {
    ReturnFailure(Take(calls_, aPick), OrderEnd::NotSent);
  }
}

void SchedulerWorld::ExecuteLate(unsigned aPick)
{
  if (!lostCalls_.empty()) {
    Execute(Take(lostCalls_, aPick));
  }
}

void SchedulerWorld::FailRun(unsigned aPick)
{
  FakeTarget& target =
    std::next(targets_.begin(),
              static_cast<std::ptrdiff_t>(aPick % targets_.size()))
      ->second;
  if (!target.runs_.empty()) {
    target.runs_.begin()->second.fails_ = true;
    target.runs_.begin()->second.endsAt_ = clock_.Now();
    EndDueRuns();
  }
}

/// The target crashes and starts again under its id, without its state.
void SchedulerWorld::RestartTarget(unsigned aPick)
{
  FakeTarget& target =
    std::next(targets_.begin(),
              static_cast<std::ptrdiff_t>(aPick % targets_.size()))
      ->second;
  FakeTarget restarted;
  restarted.info_ = target.info_;
  restarted.info_.startedAt_ += 100;
  restarted.clockRate_ = target.clockRate_;
  BreakConnections(target.info_.id_);
  clock_.Advance(kMinRestartTime + Millis(aPick));
  EndDueRuns();
  restarted.restartedAt_ = clock_.Now();
  target = restarted;
  if (aPick % 2 == 0) {
    leaders_.back().scheduler_->RegisterTarget(
      Listed(target.info_, mutant_).front());
  }
}

void SchedulerWorld::BreakConnections(const std::string& aTarget)
{
  std::vector<Reply> kept;
  for (Reply& reply : std::exchange(replies_, {})) {
    if (reply.call_.target_ == aTarget) {
      ReturnFailure(reply.call_, OrderEnd::NoAnswer);
    } else {
      kept.push_back(std::move(reply));
    }
  }
  replies_ = std::move(kept);
  std::vector<Call> others;
  for (Call& call : std::exchange(calls_, {})) {
    if (call.target_ == aTarget) {
      ReturnFailure(call, OrderEnd::NoAnswer);
      lostCalls_.push_back(std::move(call));
    } else {
      others.push_back(std::move(call));
    }
  }
  calls_ = std::move(others);
}

void SchedulerWorld::ReplaceTarget(unsigned aPick)
{
  auto old = std::next(targets_.begin(),
                       static_cast<std::ptrdiff_t>(aPick % targets_.size()));
  std::string id = old->first;
  FakeTarget replacement;
  replacement.info_ = old->second.info_;
  replacement.clockRate_ = old->second.clockRate_;
  std::string number = std::to_string(targetsCreated_++);
  replacement.info_.id_ = "t" + number;
  replacement.info_.startedAt_ += 100;
  bool isOnSameVm = aPick % 2 == 0;
  if (!isOnSameVm) {
    replacement.info_.vm_ = "v" + number;
  }
  BreakConnections(id);
  targets_.erase(old);
  Scheduler& scheduler = *leaders_.back().scheduler_;
  bool isDelisted = aPick % 3 == 0;
  if (isDelisted) {
    scheduler.UnregisterTarget(id);
  }
  clock_.Advance(kMinRestartTime + Millis(aPick));
  EndDueRuns();
  replacement.restartedAt_ = clock_.Now();
  scheduler.RegisterTarget(Listed(replacement.info_, mutant_).front());
  targets_.emplace(replacement.info_.id_, std::move(replacement));
}

void SchedulerWorld::RetireTargets(unsigned)
{
  Scheduler& scheduler = *leaders_.back().scheduler_;
  std::vector<std::string> gone;
  for (const RosterTarget& target : scheduler.Report().unanswered_) {
    if (targets_.count(target.target_) == 0 ||
        mutant_ == SchedulerMutant::LivingTargetsRetired) {
      gone.push_back(target.target_);
    }
  }
  scheduler.RetireTargets(gone);
}

void SchedulerWorld::TakeOver(unsigned aPick)
{
  AddLeader(aPick % 2 == 0 ? Authority::Doubtful : Authority::StoreUnreachable);
}

void SchedulerWorld::Vacate(unsigned aPick)
{
  std::vector<std::string> targets;
  if (aPick % 2 == 0) {
    targets.push_back("t" + std::to_string(aPick % kTargets));
  }
  leaders_.back().scheduler_->SetVacating(1, targets);
}

SchedulerWorld::Reply SchedulerWorld::Execute(const Call& aCall)
{
  EndDueRuns();
  auto found = targets_.find(aCall.target_);
  if (found == targets_.end()) {
    if (std::holds_alternative<HoldOrder>(aCall.order_)) {
      HoldAnswer answer;
      answer.end_ = OrderEnd::NotSent;
      return { aCall, answer };
    }
    return { aCall, OrderAnswer{ OrderEnd::NotSent, {} } };
  }
  FakeTarget& target = found->second;
  // A connection leads to one incarnation.
  auto isForOther = [&](std::int64_t aStartedAt) {
    return aStartedAt != target.info_.startedAt_ &&
           mutant_ != SchedulerMutant::IncarnationsIgnored;
  };
  if (const auto* hold = std::get_if<HoldOrder>(&aCall.order_)) {
    HoldOrder order = *hold;
    if (isForOther(order.startedAt_)) {
      order.acknowledged_ = 0;
      order.leaseUntil_.reset();
    }
    return { aCall, ExecuteHold(target, order) };
  }
  if (const auto* start = std::get_if<StartOrder>(&aCall.order_)) {
    if (isForOther(start->startedAt_)) {
      return { aCall, OrderAnswer{ OrderEnd::NotSent, {} } };
    }
    return { aCall, ExecuteStart(target, *start) };
  }
  if (const auto* stop = std::get_if<StopOrder>(&aCall.order_)) {
    return { aCall, ExecuteStop(target, *stop) };
  }
  return { aCall, OrderAnswer{ OrderEnd::Done, ClockOf(target) } };
}

HoldAnswer SchedulerWorld::ExecuteHold(FakeTarget& aTarget,
                                       const HoldOrder& aOrder)
{
  HoldAnswer answer;
  answer.clock_ = ClockOf(aTarget);
  answer.startedAt_ = aTarget.info_.startedAt_;
  if (aOrder.fence_ < aTarget.fence_ &&
      mutant_ != SchedulerMutant::FencesIgnored) {
    answer.end_ = OrderEnd::FenceTooLow;
    return answer;
  }
  answer.end_ = OrderEnd::Done;
  aTarget.fence_ = std::max(aTarget.fence_, aOrder.fence_);
  if (aOrder.leaseUntil_) {
    aTarget.leaseEnd_ = std::max(aTarget.leaseEnd_, *aOrder.leaseUntil_);
  }
  while (!aTarget.ended_.empty() &&
         aTarget.ended_.front().number_ <= aOrder.acknowledged_) {
    const EndedRun& ended = aTarget.ended_.front();
    KnownJob& job = jobs_.at(ended.task_.job_);
    if (ended.runEnd_ == RunEnd::Done) {
      job.acknowledgedDone_.insert(ended.task_);
    } else if (ended.runEnd_ == RunEnd::Failed) {
      job.failed_[ended.task_].insert(ended.run_);
    }
    aTarget.ended_.pop_front();
  }
  answer.ended_.assign(aTarget.ended_.begin(), aTarget.ended_.end());
  for (const auto& [key, run] : aTarget.runs_) {
    if (mutant_ == SchedulerMutant::EndsInvented) {
      answer.ended_.push_back(
        { aTarget.lastEnd_ + 1, key.first, key.second, RunEnd::Done, "" });
    } else if (mutant_ != SchedulerMutant::RunsHidden) {
      answer.running_.push_back({ key.first, key.second, "", 100, 0 });
    }
  }
  return answer;
}

OrderAnswer SchedulerWorld::ExecuteStart(FakeTarget& aTarget,
                                         const StartOrder& aOrder)
{
  OrderAnswer answer{ OrderEnd::Done, ClockOf(aTarget) };
  if (aOrder.fence_ < aTarget.fence_ &&
      mutant_ != SchedulerMutant::FencesIgnored) {
    answer.end_ = OrderEnd::FenceTooLow;
    return answer;
  }
  aTarget.fence_ = std::max(aTarget.fence_, aOrder.fence_);
  RunKey key{ aOrder.task_, aOrder.run_ };
  if (aTarget.runs_.count(key) > 0) {
    return answer;
  }
  auto refused = aTarget.refused_.find(aOrder.task_);
  if (refused != aTarget.refused_.end() && aOrder.run_ <= refused->second) {
    answer.end_ = OrderEnd::RunTooLow;
    return answer;
  }
  if (aOrder.leaseUntil_ <= ClockOf(aTarget)) {
    answer.end_ = OrderEnd::TooLate;
    return answer;
  }
  aTarget.leaseEnd_ = std::max(aTarget.leaseEnd_, aOrder.leaseUntil_);
  CheckStart(aTarget, aOrder);
  const StepSpec& spec =
    jobs_.at(aOrder.task_.job_)
      .record_.spec_.steps_.at(static_cast<std::size_t>(aOrder.task_.step_));
  aTarget.runs_[key] = { clock_.Now() + spec.estimate_, {}, false };
  return answer;
}

OrderAnswer SchedulerWorld::ExecuteStop(FakeTarget& aTarget,
                                        const StopOrder& aOrder)
{
  OrderAnswer answer{ OrderEnd::Done, ClockOf(aTarget) };
  if (aOrder.fence_ < aTarget.fence_ &&
      mutant_ != SchedulerMutant::FencesIgnored) {
    answer.end_ = OrderEnd::FenceTooLow;
    return answer;
  }
  aTarget.fence_ = std::max(aTarget.fence_, aOrder.fence_);
  auto run = aTarget.runs_.find({ aOrder.task_, aOrder.run_ });
  if (run != aTarget.runs_.end()) {
    run->second.stopsAt_ = clock_.Now() + kStopDuration;
  } else {
    aTarget.refused_[aOrder.task_] =
      std::max(aTarget.refused_[aOrder.task_], aOrder.run_);
  }
  return answer;
}

/// Checks a start that the target is about to carry out.
void SchedulerWorld::CheckStart(FakeTarget& aTarget, const StartOrder& aOrder)
{
  KnownJob& job = jobs_.at(aOrder.task_.job_);
  const JobSpec& jobSpec = job.record_.spec_;
  const StepSpec& spec =
    jobSpec.steps_.at(static_cast<std::size_t>(aOrder.task_.step_));
  std::string name = aOrder.task_.Text();
  if (job.acknowledgedDone_.count(aOrder.task_) > 0) {
    ReportViolation(name + " starts after an acknowledged end");
  }
  if (static_cast<int>(job.failed_[aOrder.task_].size()) >=
      job.record_.maxAttempts_) {
    ReportViolation(name + " starts after its last attempt");
  }
  for (int earlier : spec.after_) {
    for (int i = 0;
         i < jobSpec.steps_[static_cast<std::size_t>(earlier)].tasks_;
         ++i) {
      if (job.done_.count({ aOrder.task_.job_, 0, earlier, i }) == 0) {
        ReportViolation(name + " starts before an earlier step is done");
      }
    }
  }
  if (!aOrder.checkpoint_.empty() &&
      job.checkpoints_.count(aOrder.checkpoint_) == 0) {
    ReportViolation(name + " starts from a checkpoint that is not its own");
  }
  std::int64_t used = spec.taskResources_.cpu_;
  int tasksOfStep = 1;
  for (auto& [id, target] : targets_) {
    for (auto& [key, run] : target.runs_) {
      if (key.first == aOrder.task_) {
        ReportViolation(name + " runs twice");
      }
      if (&target != &aTarget) {
        continue;
      }
      used += jobs_.at(key.first.job_)
                .record_.spec_.steps_[static_cast<std::size_t>(key.first.step_)]
                .taskResources_.cpu_;
      tasksOfStep += key.first.job_ == aOrder.task_.job_ &&
                         key.first.step_ == aOrder.task_.step_
                       ? 1
                       : 0;
    }
  }
  if (used > aTarget.info_.capacity_.cpu_) {
    ReportViolation(name + " exceeds the capacity of its target");
  }
  if (spec.maxPerTarget_ > 0 && tasksOfStep > spec.maxPerTarget_) {
    ReportViolation(name + " exceeds the tasks of its step on one target");
  }
}

void SchedulerWorld::CheckShownStates()
{
  const Scheduler& scheduler = *leaders_.back().scheduler_;
  for (auto& [id, job] : jobs_) {
    auto state = scheduler.StateOf(id);
    if (!state) {
      ReportViolation(id + " is not known");
      continue;
    }
    std::size_t expectedTasks = 0;
    for (const StepSpec& step : job.record_.spec_.steps_) {
      expectedTasks += static_cast<std::size_t>(step.tasks_);
    }
    if (*state == JobState::Complete && job.done_.size() < expectedTasks) {
      ReportViolation(id + " is shown as complete too early");
    }
    if (*state == JobState::Cancelled && !job.cancelled_) {
      ReportViolation(id + " is shown as cancelled without cause");
    }
  }
}

void SchedulerWorld::Return(const Reply& aReply)
{
  Scheduler* scheduler = Find(aReply.call_.scheduler_);
  if (scheduler == nullptr) {
    return;
  }
  const std::string& target = aReply.call_.target_;
  if (const auto* hold = std::get_if<HoldAnswer>(&aReply.answer_)) {
    const auto& order = std::get<HoldOrder>(aReply.call_.order_);
    if (order.isProbe_) {
      scheduler->OnProbe(target, *hold);
    } else {
      scheduler->OnHold(target, *hold);
    }
    return;
  }
  const auto& answer = std::get<OrderAnswer>(aReply.answer_);
  const Order& order = aReply.call_.order_;
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    scheduler->OnStart(target, { start->task_, start->run_ }, answer);
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    scheduler->OnStop(target, { stop->task_, stop->run_ }, answer);
  } else if (const auto* pace = std::get_if<PaceOrder>(&order)) {
    scheduler->OnPace(target, { pace->task_, pace->run_ }, answer);
  }
}

void SchedulerWorld::ReturnFailure(const Call& aCall, OrderEnd aEnd)
{
  if (std::holds_alternative<HoldOrder>(aCall.order_)) {
    HoldAnswer answer;
    answer.end_ = aEnd;
    Return({ aCall, answer });
    return;
  }
  Return({ aCall, OrderAnswer{ aEnd, {} } });
}

bool SchedulerWorld::AllEnded()
{
  const Scheduler& scheduler = *leaders_.back().scheduler_;
  return std::all_of(jobs_.begin(), jobs_.end(), [&](const auto& aEntry) {
    auto state = scheduler.StateOf(aEntry.first);
    return state && *state != JobState::Queued && *state != JobState::Running;
  });
}

void SchedulerWorld::Drain()
{
  constexpr int kMaxSteps = 3000;
  constexpr Millis kStep{ 20 };
  savesToFail_ = 0;
  lostCalls_.clear();
  Leader& leader = leaders_.back();
  for (auto& [id, target] : targets_) {
    leader.scheduler_->RegisterTarget(Listed(target.info_, mutant_).front());
  }
  leader.scheduler_->SetVacating(1, {});
  for (int i = 0; i < kMaxSteps && !AllEnded(); ++i) {
    clock_.Advance(kStep);
    EndDueRuns();
    Run(*leader.scheduler_, leader.id_);
    while (!calls_.empty()) {
      Deliver(0);
    }
    while (!replies_.empty()) {
      Answer(0);
    }
  }
  CheckShownStates();
  if (!AllEnded()) {
    ReportViolation("a job never ends");
  }
}

} // namespace coltsfootshed
