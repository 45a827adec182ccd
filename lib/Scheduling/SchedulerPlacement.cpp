// Decides which task starts next, and on which target.
#include "coltsfootshed/Observe/DecisionLog.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace coltsfootshed {

/// Beyond this many times its completion objective, a job has no value.
static constexpr int kNoValueFactor = 3;
/// Margin for a chain that takes longer than estimated, as a share of the
/// estimate.
static constexpr double kEstimateMargin = 0.2;
/// A run is overdue, and its task may get a second run, after this many times
/// its estimate, but not before kMinOverdue.
static constexpr double kOverdueFactor = 2.5;
static constexpr Millis kMinOverdue{ 1500 };
/// Maximum number of targets in one request for advice. A job's completion
/// objective allows for one advice call per this many targets in each step.
static constexpr std::size_t kMaxTargetsPerAdvice = 30;
/// Minimum number of targets in one request for advice, if there are as many.
static constexpr std::size_t kMinTargetsPerAdvice = 4;
/// Tickets that a request should bring for each task while other steps wait for
/// advice: a target with a ticket may have no room.
static constexpr double kTicketsPerTask = 2;
/// Weight of an answer in the share of targets for which tickets are given.
static constexpr double kNewAdviceWeight = 0.2;
static constexpr double kMinGrantedShare = 0.05;
/// Requests for advice that may be in flight.
static constexpr int kMaxAdviceInFlight = 2;
/// Pause before advice on a step is requested again, for instance after a
/// request without a usable answer or when a ticket has expired.
static constexpr Millis kAdvicePause{ 250 };
/// A ticket with less validity left than this is not used, as the start takes
/// time.
static constexpr Millis kTicketMargin{ 200 };

Millis Scheduler::EstimateOf(const StepSpec& aStep) const
{
  return estimates_.Estimate(aStep.image_, aStep.estimate_);
}

/// Returns the estimated length of the longest chain of dependent steps,
/// without the steps that are done.
template<typename Estimate, typename IsDone>
static Millis LongestChain(const std::vector<StepSpec>& aSteps,
                           const Estimate& aEstimate,
                           const IsDone& aIsDone)
{
  std::vector<Millis> ends(aSteps.size(), Millis(0));
  Millis longest{ 0 };
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    Millis begin{ 0 };
    for (int earlier : aSteps[i].after_) {
      // Steps depend only on earlier ones; the reader of job documents checks
      // this.
      begin = std::max(begin, ends.at(static_cast<std::size_t>(earlier)));
    }
    ends[i] = begin + (aIsDone(i) ? Millis(0) : aEstimate(aSteps[i]));
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

Millis Scheduler::RemainingChain(const Job& aJob,
                                 const Occurrence& aOccurrence) const
{
  return LongestChain(
    aJob.Record().spec_.steps_,
    [this](const StepSpec& aStep) { return EstimateOf(aStep); },
    [&](std::size_t aStep) { return aOccurrence.steps_[aStep].IsDone(); });
}

static bool HasStarted(const Occurrence& aOccurrence)
{
  return std::any_of(aOccurrence.steps_.begin(),
                     aOccurrence.steps_.end(),
                     [](const StepProgress& aStep) {
                       return aStep.done_ > 0 ||
                              std::any_of(aStep.tasks_.begin(),
                                          aStep.tasks_.end(),
                                          [](const TaskProgress& aTask) {
                                            return !aTask.liveRuns_.empty();
                                          });
                     });
}

/// Ranks the steps of an occurrence. The completion objective, see JobRecord,
/// counts from the job's acceptance, or from the due time if it is periodic.
StepRank Scheduler::RankOf(const Job& aJob, const Occurrence& aOccurrence) const
{
  const JobRecord& record = aJob.Record();
  if (aJob.IsLongRunning()) {
    return { DeadlineClass::LongRunning, record.priority_, 0.0 };
  }
  Millis begin = aJob.AcceptedAt();
  Millis now = clock_.Now();
  if (aJob.IsPeriodic()) {
    Millis due =
      record.spec_.firstDue_ + aOccurrence.number_ * record.spec_.interval_;
    // Converts the due time to the scheduler's clock.
    begin = now - (wallClock_.Now() - due);
  }
  Millis whole = LongestChain(
    record.spec_.steps_,
    [this](const StepSpec& aStep) { return EstimateOf(aStep); },
    [](std::size_t) { return false; });
  Millis objective = Millis(static_cast<std::int64_t>(
                       record.stretch_ * static_cast<double>(whole.count()))) +
                     record.objectiveBase_;
  Millis left = RemainingChain(aJob, aOccurrence);
  Millis end = now + left;
  Millis slack = begin + objective - end;
  bool started = HasStarted(aOccurrence);
  if (aJob.isBeyondRate_ && !started && end <= begin + objective) {
    return { DeadlineClass::BeyondRate,
             record.priority_,
             static_cast<double>(slack.count()) };
  }
  Millis margin(static_cast<std::int64_t>(kEstimateMargin *
                                          static_cast<double>(left.count())));
  if (slack >= (started ? Millis(0) : margin)) {
    return { started ? DeadlineClass::Started : DeadlineClass::InTime,
             record.priority_,
             static_cast<double>(slack.count()) };
  }
  bool hasValue = end <= begin + kNoValueFactor * objective &&
                  (started || !aJob.isBeyondRate_);
  return { hasValue ? DeadlineClass::Late : DeadlineClass::NoValue,
           record.priority_,
           static_cast<double>(left.count()) };
}

/// Returns true if a run of the task should start now: it has none, or it is
/// speculative and its only run is overdue or on a target that does not answer.
bool Scheduler::WantsStart(const TaskProgress& aTask,
                           const StepSpec& aSpec) const
{
  Millis now = clock_.Now();
  if (aTask.done_ || aTask.notBefore_ > now) {
    return false;
  }
  if (aTask.liveRuns_.empty()) {
    return true;
  }
  if (!aSpec.speculative_ || aTask.liveRuns_.size() > 1) {
    return false;
  }
  const LiveRun& live = aTask.liveRuns_.front();
  auto target = targets_.find(live.target_);
  if (target == targets_.end() || target->second.failedHolds_ > 1) {
    return true;
  }
  for (const auto& [key, run] : target->second.runs_) {
    if (key.second == live.run_) {
      Millis overdue = std::max(
        kMinOverdue,
        Millis(static_cast<std::int64_t>(
          kOverdueFactor * static_cast<double>(run.estimate_.count()))));
      return now - run.sentAt_ > overdue;
    }
  }
  return false;
}

/// Returns true if no earlier scheduler can have started the job: it was
/// accepted under this leadership, whose fence is the store revision at which
/// it began.
bool Scheduler::IsUnknownToEarlierSchedulers(const Job& aJob) const
{
  return aJob.created_ > settings_.fence_;
}

/// Returns for each step whether it became ready after this scheduler had taken
/// over, so that no earlier one has started it.
static std::vector<bool> StepsReadySinceTakeOver(
  const std::vector<StepSpec>& aSteps,
  const Occurrence& aOccurrence)
{
  std::vector<bool> since(aSteps.size(), false);
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    since[i] = std::any_of(
      aSteps[i].after_.begin(), aSteps[i].after_.end(), [&](int aEarlier) {
        // Steps depend only on earlier ones.
        auto earlier = static_cast<std::size_t>(aEarlier);
        return aOccurrence.steps_.at(earlier).wasRunningAtTakeOver_ ||
               since.at(earlier);
      });
  }
  return since;
}

/// Adds the steps of an occurrence with tasks that could start now. Designed
/// for take-overs while some targets of the roster do not answer: only tasks
/// that may run there wait for the leases of these targets to run out.
void Scheduler::AddReadySteps(Job& aJob,
                              Occurrence& aOccurrence,
                              std::vector<ReadyStep>& aReady) const
{
  const std::vector<StepSpec>& specs = aJob.Record().spec_.steps_;
  bool allRunsKnown = ready_ || IsUnknownToEarlierSchedulers(aJob);
  std::vector<bool> sinceTakeOver;
  if (!allRunsKnown) {
    sinceTakeOver = StepsReadySinceTakeOver(specs, aOccurrence);
  }
  for (std::size_t i = 0; i < aOccurrence.steps_.size(); ++i) {
    const StepSpec& spec = specs[i];
    const StepProgress& step = aOccurrence.steps_[i];
    if (step.IsDone() || !aOccurrence.IsReady(spec)) {
      continue;
    }
    ReadyStep ready{ &aJob, &aOccurrence, static_cast<int>(i), {} };
    ready.mayHaveUnknownRuns_ = !allRunsKnown && !sinceTakeOver[i];
    bool wants = std::any_of(
      step.tasks_.begin(), step.tasks_.end(), [&](const TaskProgress& aTask) {
        return ready.MayStart(aTask) && WantsStart(aTask, spec);
      });
    if (wants) {
      ready.rank_ = RankOf(aJob, aOccurrence);
      aReady.push_back(ready);
    }
  }
}

std::vector<Scheduler::ReadyStep> Scheduler::ReadySteps()
{
  std::vector<ReadyStep> ready;
  Millis unixTime = wallClock_.Now();
  for (auto& [id, job] : openJobs_) {
    bool mayBeSuccessors =
      job->mayBeSuccessors_ && authority_ != Authority::Confirmed;
    if (job->IsEnded() || job->isProgressUnreadable_ || mayBeSuccessors) {
      continue;
    }
    // An earlier scheduler may have created and started the occurrences that
    // are due.
    bool mayCreate = ready_ || IsUnknownToEarlierSchedulers(*job);
    if (mayCreate && job->CreateDueOccurrences(unixTime)) {
      MarkChanged(*job);
    }
    for (auto& [number, occurrence] : job->Occurrences()) {
      AddReadySteps(*job, occurrence, ready);
    }
  }
  std::stable_sort(
    ready.begin(), ready.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.rank_ < aRight.rank_;
    });
  return ready;
}

void Scheduler::DecideStarts(std::vector<SchedulerOrder>& aOrders)
{
  // Due times, overdue runs and expired pauses cause no event.
  WakeBy(clock_.Now() + Millis(200));
  unfit_.clear();
  adviceWanted_.clear();
  std::vector<ReadyStep> ready = ReadySteps();
  auto isSameUrgency = [](const ReadyStep& aLeft, const ReadyStep& aRight) {
    return aLeft.rank_.deadlineClass_ == aRight.rank_.deadlineClass_ &&
           aLeft.rank_.priority_ == aRight.rank_.priority_;
  };
  for (auto first = ready.begin(); first != ready.end();) {
    auto last = std::find_if_not(first, ready.end(), [&](const auto& aStep) {
      return isSameUrgency(*first, aStep);
    });
    if (weights_.empty()) {
      std::for_each(
        first, last, [&](const ReadyStep& aStep) { Place(aStep, aOrders); });
    } else {
      PlaceInFairOrder({ first, last }, aOrders);
    }
    first = last;
  }
  DecideAdvice(aOrders);
}

void Scheduler::Place(const ReadyStep& aStep,
                      std::vector<SchedulerOrder>& aOrders)
{
  if (startsInFlight_ >= ownDelay_.StartWindow()) {
    return; // as many as this process can carry
  }
  if (aStep.job_->Record()
        .spec_.steps_[static_cast<std::size_t>(aStep.step_)]
        .gang_) {
    PlaceGang(aStep, aOrders);
  } else {
    PlaceStep(aStep, aOrders);
  }
}

std::int64_t Scheduler::WeightOf(std::string_view aAccount) const
{
  auto found = weights_.find(aAccount);
  return found == weights_.end() ? 1 : found->second;
}

/// Places steps of equal urgency, which are sorted by rank, in weighted fair
/// order of their accounts. Answers an account that sends many times its usual
/// in a peak: its jobs wait for each other rather than those of others for
/// them.
void Scheduler::PlaceInFairOrder(std::span<const ReadyStep> aSteps,
                                 std::vector<SchedulerOrder>& aOrders)
{
  std::map<std::string_view, std::vector<const ReadyStep*>> byAccount;
  for (const ReadyStep& step : aSteps) {
    byAccount[step.job_->Record().account_].push_back(&step);
  }
  std::set<std::pair<double, std::string_view>> turns;
  std::map<std::string_view, std::size_t> placed;
  for (const auto& [account, steps] : byAccount) {
    turns.emplace(accountOrder_.PassOf(account), account);
  }
  while (!turns.empty()) {
    std::string_view account = turns.begin()->second;
    turns.erase(turns.begin());
    const std::vector<const ReadyStep*>& steps = byAccount.at(account);
    const ReadyStep& step = *steps[placed[account]++];
    std::size_t before = aOrders.size();
    Place(step, aOrders);
    auto starts =
      std::count_if(aOrders.begin() + static_cast<std::ptrdiff_t>(before),
                    aOrders.end(),
                    [](const SchedulerOrder& aOrder) {
                      return std::holds_alternative<TargetStart>(aOrder);
                    });
    if (starts > 0) {
      const StepSpec& spec =
        step.job_->Record().spec_.steps_[static_cast<std::size_t>(step.step_)];
      double work = static_cast<double>(starts) *
                    static_cast<double>(spec.taskResources_.cpu_) *
                    static_cast<double>(EstimateOf(spec).count());
      accountOrder_.Charge(account, work, WeightOf(account));
    }
    if (placed[account] < steps.size()) {
      turns.emplace(accountOrder_.PassOf(account), account);
    }
  }
}

/// Returns true while a suspected target has a start to answer.
static bool HasTrialStart(const TargetState& aTarget)
{
  return aTarget.suspicion_ > 0 &&
         std::any_of(
           aTarget.runs_.begin(), aTarget.runs_.end(), [](const auto& aEntry) {
             return aEntry.second.phase_ == RunPhase::Starting;
           });
}

/// Returns true if the target takes starts now. If the registry lists a newer
/// incarnation than the one that answered last, starts wait for its answer.
bool Scheduler::MayStartOn(const TargetState& aTarget) const
{
  return aTarget.registered_ && !aTarget.info_.draining_ && aTarget.held_ &&
         aTarget.inRoster_ && aTarget.failedHolds_ == 0 && !aTarget.vacating_ &&
         aTarget.avoidUntil_ <= clock_.Now() && !HasTrialStart(aTarget) &&
         (aTarget.info_.startedAt_ == 0 ||
          aTarget.info_.startedAt_ <= aTarget.startedAt_);
}

/// Returns how many runs of a step a target has. The index of aStep is 0.
int Scheduler::RunsOfStep(const TargetState& aTarget,
                          const TaskName& aStep) const
{
  int runs = 0;
  for (auto at = aTarget.runs_.lower_bound({ aStep, 0 });
       at != aTarget.runs_.end() && at->first.first.job_ == aStep.job_ &&
       at->first.first.occurrence_ == aStep.occurrence_ &&
       at->first.first.step_ == aStep.step_;
       ++at) {
    ++runs;
  }
  return runs;
}

/// Returns the ticket for a step on a target, or null if there is none that is
/// valid long enough for a start. The index of aStep is 0.
const Scheduler::Ticket* Scheduler::ValidTicket(
  const TaskName& aStep,
  const std::string& aTarget) const
{
  auto advice = advice_.find(aStep);
  if (advice == advice_.end()) {
    return nullptr;
  }
  auto ticket = advice->second.tickets_.find(aTarget);
  bool valid = ticket != advice->second.tickets_.end() &&
               ticket->second.validUntil_ > clock_.Now() + kTicketMargin;
  return valid ? &ticket->second : nullptr;
}

static Resources Times(const Resources& aAmount, int aFactor)
{
  return { aAmount.cpu_ * aFactor,
           aAmount.memory_ * aFactor,
           aAmount.gpu_ * aFactor };
}

/// Returns true if a task of the step fits on a target that takes starts.
/// Vacating targets take none, so the one being emptied does not count.
bool Scheduler::HasRoomElsewhere(const StepSpec& aSpec,
                                 const TaskName& aStep) const
{
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& aEntry) {
    return TasksThatFit(aEntry.second, aSpec, aSpec.taskResources_, aStep, 1) >
           0;
  });
}

/// Returns how many tasks of a step the target would take now, at most aMost,
/// if each needs aNeeds. Tickets do not count.
int Scheduler::TasksThatFit(const TargetState& aTarget,
                            const StepSpec& aSpec,
                            const Resources& aNeeds,
                            const TaskName& aStep,
                            int aMost) const
{
  bool mayTake = MayStartOn(aTarget) &&
                 (aSpec.label_.empty() || aTarget.HasLabel(aSpec.label_));
  if (!mayTake) {
    return 0;
  }
  int most = aMost;
  if (aSpec.maxPerTarget_ > 0) {
    most = std::min(most, aSpec.maxPerTarget_ - RunsOfStep(aTarget, aStep));
  }
  Resources free = aTarget.Free();
  int fit = 0;
  while (fit < most && aNeeds.FitsInto(free)) {
    free -= aNeeds;
    ++fit;
  }
  return fit;
}

/// Called when the cap of its account keeps a unit of work from starting, one
/// task of the step or all of them. If the unit could start otherwise, it is
/// the account's next: what cannot be placed must not keep other work from
/// starting.
void Scheduler::NoteCapped(const ReadyStep& aStep, int aTasks)
{
  const JobRecord& record = aStep.job_->Record();
  const StepSpec& spec =
    record.spec_.steps_[static_cast<std::size_t>(aStep.step_)];
  Resources needs = spec.taskResources_;
  if (spec.bestEffort_) {
    needs.cpu_ = 0;
  }
  Resources unit = Times(spec.taskResources_, aTasks);
  if (!caps_.CouldBeNext(record.account_, unit) ||
      IsKnownNotToFit({ needs, spec.label_ })) {
    return;
  }
  TaskName name{ record.id_, aStep.occurrence_->number_, aStep.step_, 0 };
  int fit = 0;
  for (const auto& [id, target] : targets_) {
    fit += TasksThatFit(target, spec, needs, name, aTasks - fit);
  }
  if (fit == 0 && spec.maxPerTarget_ == 0) {
    unfit_.push_back({ needs, spec.label_ });
  }
  if (fit < aTasks) {
    return;
  }
  caps_.SetNext(record.account_, unit);
  if (record.needsTickets_) {
    WantAdvice(aStep);
  }
}

/// Returns true if aFlag is set for any run on the target.
static bool HasRunWith(const TargetState& aTarget, bool RunState::*aFlag)
{
  return std::any_of(aTarget.runs_.begin(),
                     aTarget.runs_.end(),
                     [&](const auto& aEntry) { return aEntry.second.*aFlag; });
}

/// Returns true if a task with the same or smaller needs found no target in
/// this decision. Designed for an overloaded pool: hundreds of waiting steps
/// need not look at each of its targets.
bool Scheduler::IsKnownNotToFit(const Fit& aFit) const
{
  return std::any_of(unfit_.begin(), unfit_.end(), [&](const Fit& aUnfit) {
    return aUnfit.label_ == aFit.label_ &&
           aUnfit.needs_.cpu_ <= aFit.needs_.cpu_ &&
           aUnfit.needs_.memory_ <= aFit.needs_.memory_ &&
           aUnfit.needs_.gpu_ <= aFit.needs_.gpu_;
  });
}

/// Returns the target of least cost on which the task may start, or null. Runs
/// of its step exist or are about to start on aSiblingTargets.
TargetState* Scheduler::ChooseTarget(
  const ReadyStep& aStep,
  const TaskProgress& aTask,
  std::span<const std::string> aSiblingTargets)
{
  const JobRecord& record = aStep.job_->Record();
  const StepSpec& spec =
    record.spec_.steps_[static_cast<std::size_t>(aStep.step_)];
  TaskName name{ record.id_, aStep.occurrence_->number_, aStep.step_, 0 };
  bool serves = spec.longRunning_ && spec.latencyObjective_ > Millis(0);
  Resources needs = spec.taskResources_;
  if (spec.bestEffort_) {
    needs.cpu_ = 0;
  }
  if (IsKnownNotToFit({ needs, spec.label_ })) {
    return nullptr;
  }
  bool anyFits = false;
  TargetState* best = nullptr;
  double bestCost = std::numeric_limits<double>::max();
  for (auto& [id, target] : targets_) {
    Resources free = target.Free();
    bool fits = MayStartOn(target) && needs.FitsInto(free) &&
                (spec.label_.empty() || target.HasLabel(spec.label_));
    anyFits |= fits;
    if (!fits || (record.needsTickets_ && ValidTicket(name, id) == nullptr)) {
      continue;
    }
    if (spec.maxPerTarget_ > 0 &&
        RunsOfStep(target, name) >= spec.maxPerTarget_) {
      continue;
    }
    bool hasCopy = std::any_of(
      aTask.liveRuns_.begin(),
      aTask.liveRuns_.end(),
      [&, key = id](const LiveRun& aLive) { return aLive.target_ == key; });
    if (hasCopy) {
      continue;
    }
    // Each weight exceeds the sum of all smaller ones, so that a smaller cost
    // only decides between targets that are equal in the larger ones:
    //   1e6  the task has failed on the target
    //   1e4  another rack than the task's data; the same again for another
    //        rack than its siblings
    //   1e3  a best-effort task beside a serving one, as they interfere
    //   1e2  a second serving task on the target
    //   20   a label that the task does not need but other steps do
    //   10   the first long-running task on the target
    //   < 1  the share of free processor time: the fullest target is preferred,
    //        but the emptiest for serving and best-effort tasks
    double cost = 0;
    cost += aTask.failedOn_.count(id) > 0 ? 1e6 : 0;
    cost +=
      !spec.dataRack_.empty() && target.Rack() != spec.dataRack_ ? 1e4 : 0;
    bool otherRack =
      spec.sameRack_ && !aSiblingTargets.empty() &&
      targets_.find(aSiblingTargets.front())->second.Rack() != target.Rack();
    cost += otherRack ? 1e4 : 0;
    bool hasNeededLabel =
      spec.label_.empty() &&
      std::any_of(neededLabels_.begin(),
                  neededLabels_.end(),
                  [&entry = target](const std::string& aLabel) {
                    return entry.HasLabel(aLabel);
                  });
    cost += hasNeededLabel ? 20 : 0;
    if (spec.bestEffort_) {
      cost += HasRunWith(target, &RunState::serves_) ? 1e3 : 0;
      cost -= static_cast<double>(free.cpu_) /
              static_cast<double>(target.info_.capacity_.cpu_ + 1);
    } else if (spec.longRunning_ && !serves) {
      // Packs long-running tasks on few targets, so that the VMs of the others
      // can move to another pool.
      cost += HasRunWith(target, &RunState::longRunning_) ? 0 : 10;
      cost += static_cast<double>(free.cpu_) /
              static_cast<double>(target.info_.capacity_.cpu_ + 1);
    } else if (serves) {
      cost += HasRunWith(target, &RunState::bestEffort_) ? 1e3 : 0;
      cost += HasRunWith(target, &RunState::serves_) ? 1e2 : 0;
      cost -= static_cast<double>(free.cpu_) /
              static_cast<double>(target.info_.capacity_.cpu_ + 1);
    } else {
      cost += static_cast<double>(free.cpu_) /
              static_cast<double>(target.info_.capacity_.cpu_ + 1);
    }
    if (cost < bestCost) {
      best = &target;
      bestCost = cost;
    }
  }
  if (!anyFits) {
    unfit_.push_back({ needs, spec.label_ });
  }
  return best;
}

static bool HasNoRun(const TaskProgress& aTask)
{
  return !aTask.done_ && aTask.liveRuns_.empty();
}

/// Notes that a step needs tickets, unless a request is in flight or ended less
/// than kAdvicePause ago.
void Scheduler::WantAdvice(const ReadyStep& aStep)
{
  const JobRecord& record = aStep.job_->Record();
  auto number = static_cast<std::size_t>(aStep.step_);
  TaskName name{ record.id_, aStep.occurrence_->number_, aStep.step_, 0 };
  const StepAdvice& advice = advice_[name];
  if (advice.inFlight_ || clock_.Now() < advice.askAgainAt_) {
    return;
  }
  const StepProgress& step = aStep.occurrence_->steps_[number];
  auto tasks = std::count_if(step.tasks_.begin(), step.tasks_.end(), HasNoRun);
  adviceWanted_.push_back(
    { name, &record.spec_.steps_[number], static_cast<int>(tasks) });
}

/// Returns about how many targets to ask at most. The time that the service
/// takes grows with them, so that fewer are named while other steps wait.
std::size_t Scheduler::MostToAskAbout(const AdviceWanted& aWanted) const
{
  if (adviceWanted_.size() < 2 || grantedShare_ == 0) {
    return kMaxTargetsPerAdvice;
  }
  double enough = kTicketsPerTask * aWanted.tasks_ / grantedShare_;
  return std::clamp(static_cast<std::size_t>(std::ceil(enough)),
                    kMinTargetsPerAdvice,
                    kMaxTargetsPerAdvice);
}

/// Returns targets that might run a step and about which the advice service has
/// not answered: those with room for a task first, of these the ones in the
/// rack of its data.
std::vector<std::string> Scheduler::TargetsToAskAbout(
  const AdviceWanted& aWanted)
{
  StepAdvice& advice = advice_[aWanted.step_];
  Millis now = clock_.Now();
  std::erase_if(advice.tickets_, [&](const auto& aEntry) {
    bool expired = aEntry.second.validUntil_ <= now + kTicketMargin;
    if (expired) {
      advice.asked_.erase(aEntry.first);
    }
    return expired;
  });
  const StepSpec& spec = *aWanted.spec_;
  std::vector<std::tuple<bool, bool, std::string>> found;
  for (const auto& [id, target] : targets_) {
    bool useful = MayStartOn(target) && advice.asked_.count(id) == 0 &&
                  (spec.label_.empty() || target.HasLabel(spec.label_));
    if (useful) {
      found.emplace_back(!spec.taskResources_.FitsInto(target.Free()),
                         target.Rack() != spec.dataRack_,
                         id);
    }
  }
  std::sort(found.begin(), found.end());
  found.resize(std::min(found.size(), MostToAskAbout(aWanted)));
  std::vector<std::string> targets;
  targets.reserve(found.size());
  for (auto& [lacksRoom, isFar, id] : found) {
    targets.push_back(std::move(id));
  }
  return targets;
}

/// Returns the step to ask about next: the first one about which nothing was
/// asked yet, or, of the others, the one whose last request is longest ago.
std::vector<Scheduler::AdviceWanted>::iterator Scheduler::NextForAdvice(
  bool aPrefersRepeat)
{
  auto endedAt = [&](const AdviceWanted& aWanted) {
    return advice_[aWanted.step_].endedAt_;
  };
  auto first = adviceWanted_.end();
  auto repeat = adviceWanted_.end();
  for (auto at = adviceWanted_.begin(); at != adviceWanted_.end(); ++at) {
    bool isFirst = endedAt(*at) == Millis(0);
    if (isFirst && first == adviceWanted_.end()) {
      first = at;
    }
    if (!isFirst &&
        (repeat == adviceWanted_.end() || endedAt(*at) < endedAt(*repeat))) {
      repeat = at;
    }
  }
  bool takesRepeat = repeat != adviceWanted_.end() &&
                     (aPrefersRepeat || first == adviceWanted_.end());
  return takesRepeat ? repeat : first;
}

/// Asks for advice on few steps at a time, as the service answers in turn. One
/// of the requests is for a step that was asked about before, if there is one:
/// steps that keep failing to start can neither hold up the others nor be held
/// up by them.
void Scheduler::DecideAdvice(std::vector<SchedulerOrder>& aOrders)
{
  int inFlight = 0;
  bool hasRepeat = false;
  for (const auto& [step, advice] : advice_) {
    inFlight += advice.inFlight_ ? 1 : 0;
    hasRepeat |= advice.inFlight_ && advice.isRepeat_;
  }
  while (inFlight < kMaxAdviceInFlight && !adviceWanted_.empty()) {
    auto next = NextForAdvice(!hasRepeat);
    AskAdvice ask{ next->step_, TargetsToAskAbout(*next) };
    adviceWanted_.erase(next);
    if (ask.targets_.empty()) {
      continue;
    }
    StepAdvice& advice = advice_[ask.step_];
    advice.inFlight_ = true;
    advice.isRepeat_ = advice.endedAt_ > Millis(0);
    hasRepeat |= advice.isRepeat_;
    ++inFlight;
    aOrders.emplace_back(std::move(ask));
  }
}

void Scheduler::OnAdvice(const TaskName& aStep,
                         std::span<const std::string> aAsked,
                         const Advice& aAdvice,
                         bool aWasLate)
{
  auto asked = advice_.find(aStep);
  if (asked == advice_.end()) {
    return; // the job has ended
  }
  StepAdvice& advice = asked->second;
  Millis now = clock_.Now();
  LogDecision("advice",
              { { "step", aStep.StepText() },
                { "asked", std::to_string(aAsked.size()) },
                { "answered", aAdvice.answered_ ? "1" : "0" },
                { "late", aWasLate ? "1" : "0" },
                { "granted", std::to_string(aAdvice.granted_.size()) } });
  if (!aWasLate) {
    EndRequest(advice);
  }
  if (!aAdvice.answered_) {
    return;
  }
  advice.asked_.insert(aAsked.begin(), aAsked.end());
  if (!aAsked.empty()) {
    double share = static_cast<double>(aAdvice.granted_.size()) /
                   static_cast<double>(aAsked.size());
    double weight = grantedShare_ == 0 ? 1 : kNewAdviceWeight;
    grantedShare_ =
      std::max(kMinGrantedShare, weight * share + (1 - weight) * grantedShare_);
  }
  for (const auto& [target, ticket] : aAdvice.granted_) {
    advice.tickets_[target] = { ticket, now + aAdvice.validFor_ };
  }
}

void Scheduler::OnAdviceLate(const TaskName& aStep)
{
  if (auto asked = advice_.find(aStep); asked != advice_.end()) {
    EndRequest(asked->second);
  }
}

void Scheduler::EndRequest(StepAdvice& aAdvice) const
{
  aAdvice.inFlight_ = false;
  aAdvice.endedAt_ = clock_.Now();
  aAdvice.askAgainAt_ = clock_.Now() + kAdvicePause;
}

bool Scheduler::WantsAdvice(const TaskName& aStep)
{
  Job* job = FindJob(aStep.job_);
  if (job == nullptr || job->IsEnded() || advice_.count(aStep) == 0) {
    return false;
  }
  auto occurrence = job->Occurrences().find(aStep.occurrence_);
  if (occurrence == job->Occurrences().end()) {
    return false;
  }
  const StepProgress& step =
    occurrence->second.steps_.at(static_cast<std::size_t>(aStep.step_));
  return std::any_of(step.tasks_.begin(), step.tasks_.end(), HasNoRun);
}

/// Starts as many tasks of a step as there is room for.
void Scheduler::PlaceStep(const ReadyStep& aStep,
                          std::vector<SchedulerOrder>& aOrders)
{
  const JobRecord& record = aStep.job_->Record();
  const StepSpec& spec =
    record.spec_.steps_[static_cast<std::size_t>(aStep.step_)];
  StepProgress& step =
    aStep.occurrence_->steps_[static_cast<std::size_t>(aStep.step_)];
  std::vector<std::string> siblingTargets;
  for (const TaskProgress& task : step.tasks_) {
    for (const LiveRun& live : task.liveRuns_) {
      siblingTargets.push_back(live.target_);
    }
  }
  for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
    if (!aStep.MayStart(step.tasks_[i]) || !WantsStart(step.tasks_[i], spec)) {
      continue;
    }
    if (!caps_.MayStart(record.account_, spec.taskResources_)) {
      NoteCapped(aStep, 1);
      return;
    }
    TargetState* target = ChooseTarget(aStep, step.tasks_[i], siblingTargets);
    if (target == nullptr) {
      if (record.needsTickets_) {
        WantAdvice(aStep);
      }
      return;
    }
    siblingTargets.push_back(target->info_.id_);
    StartTask(aStep, static_cast<int>(i), ++nextRun_, *target, aOrders);
    caps_.CountStart(record.account_);
  }
}

/// Starts all tasks of a gang under one run number, or none.
void Scheduler::PlaceGang(const ReadyStep& aStep,
                          std::vector<SchedulerOrder>& aOrders)
{
  const JobRecord& record = aStep.job_->Record();
  const StepSpec& spec =
    record.spec_.steps_[static_cast<std::size_t>(aStep.step_)];
  StepProgress& step =
    aStep.occurrence_->steps_[static_cast<std::size_t>(aStep.step_)];
  bool idle = std::all_of(
    step.tasks_.begin(), step.tasks_.end(), [&](const TaskProgress& aMember) {
      return aMember.liveRuns_.empty() && aMember.notBefore_ <= clock_.Now();
    });
  if (!idle) {
    return;
  }
  // Members start together or not at all, so that a part of the room under the
  // cap is of no use to them.
  if (!caps_.MayStart(record.account_,
                      Times(spec.taskResources_, spec.tasks_))) {
    NoteCapped(aStep, spec.tasks_);
    return;
  }
  // Members are placed one by one; all are taken back if one finds no room.
  std::vector<SchedulerOrder> starts;
  std::vector<std::string> siblingTargets;
  RunNumber run = ++nextRun_;
  for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
    TargetState* target = ChooseTarget(aStep, step.tasks_[i], siblingTargets);
    if (target == nullptr) {
      startsInFlight_ -= static_cast<int>(starts.size());
      for (SchedulerOrder& order : starts) {
        auto& start = std::get<TargetStart>(order);
        DropRun(targets_.find(start.target_)->second,
                { start.order_.task_, run });
      }
      unfit_.clear();
      if (record.needsTickets_) {
        WantAdvice(aStep);
      }
      return;
    }
    siblingTargets.push_back(target->info_.id_);
    StartTask(aStep, static_cast<int>(i), run, *target, starts);
  }
  caps_.CountStart(record.account_);
  std::move(starts.begin(), starts.end(), std::back_inserter(aOrders));
}

void Scheduler::StartTask(const ReadyStep& aStep,
                          int aIndex,
                          RunNumber aRun,
                          TargetState& aTarget,
                          std::vector<SchedulerOrder>& aOrders)
{
  const JobRecord& record = aStep.job_->Record();
  const StepSpec& spec =
    record.spec_.steps_[static_cast<std::size_t>(aStep.step_)];
  TaskProgress& task =
    aStep.occurrence_->steps_[static_cast<std::size_t>(aStep.step_)]
      .tasks_[static_cast<std::size_t>(aIndex)];
  TaskName name{ record.id_, aStep.occurrence_->number_, aStep.step_, aIndex };
  TaskName stepName = name;
  stepName.index_ = 0;
  Millis now = clock_.Now();
  RunState run;
  run.takes_ = spec.taskResources_;
  run.bestEffort_ = spec.bestEffort_;
  run.longRunning_ = spec.longRunning_;
  run.serves_ = spec.longRunning_ && spec.latencyObjective_ > Millis(0);
  run.latencyObjective_ = spec.latencyObjective_;
  run.label_ = spec.label_;
  run.account_ = record.account_;
  bool far = !spec.dataRack_.empty() && aTarget.Rack() != spec.dataRack_;
  run.estimate_ = Millis(
    static_cast<std::int64_t>(static_cast<double>(EstimateOf(spec).count()) *
                              (far ? settings_.remoteDataSlowdown_ : 1.0)));
  run.sentAt_ = now;
  run.leaseUntil_ = aTarget.LeaseEnd(now, LeaseToGrant());
  aTarget.leaseGranted_ = std::max(aTarget.leaseGranted_, run.leaseUntil_);
  StartOrder order{ name,
                    aRun,
                    record.spec_.payload_,
                    run.leaseUntil_,
                    settings_.fence_,
                    aTarget.startedAt_,
                    spec.gang_
                      ? aStep.occurrence_
                          ->steps_[static_cast<std::size_t>(aStep.step_)]
                          .tasks_[0]
                          .checkpoint_
                      : task.checkpoint_,
                    "" };
  if (const Ticket* ticket = ValidTicket(stepName, aTarget.info_.id_)) {
    order.ticket_ = ticket->text_;
  }
  LogDecision(
    "run-ordered",
    { { "task", name.Text() },
      { "run", std::to_string(aRun) },
      { "target", aTarget.info_.id_ },
      { "free_cpu", std::to_string(aTarget.Free().cpu_) },
      { "answer_age_ms",
        std::to_string((now - aTarget.lastAnswerAt_).count()) },
      { "class", std::to_string(static_cast<int>(aStep.rank_.deadlineClass_)) },
      { "waited_ms",
        std::to_string((now - aStep.job_->AcceptedAt()).count()) } });
  AddRun(aTarget, { name, aRun }, run);
  ++startsInFlight_;
  task.liveRuns_.push_back({ aTarget.info_.id_, aRun });
  aOrders.emplace_back(TargetStart{ aTarget.info_.id_, std::move(order) });
}

} // namespace coltsfootshed
