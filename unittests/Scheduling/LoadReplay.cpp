#include "Scheduling/LoadReplay.h"

#include <algorithm>

namespace coltsfootshed {

static constexpr Millis kStep{ 10 };
static constexpr Fence kFence = 100;
static constexpr std::int64_t kTargetCpu = 32000;
/// Completion objective of each job, as the configuration of a queue gives it.
static constexpr double kStretch = 1.6;
static constexpr Millis kObjectiveBase{ 600 };
static constexpr double kLateWorth = 0.07;

static SchedulerSettings Settings()
{
  SchedulerSettings settings;
  settings.service_ = "s";
  settings.fence_ = kFence;
  return settings;
}

double LoadReplay::Outcome::Worth() const
{
  if (!completeAt_) {
    return 0;
  }
  double took = static_cast<double>((*completeAt_ - arrival_.at_).count());
  double objective =
    kStretch * static_cast<double>(arrival_.taskTime_.count()) +
    static_cast<double>(kObjectiveBase.count());
  if (took <= objective) {
    return 1;
  }
  return took <= 3 * objective ? kLateWorth : 0;
}

LoadReplay::LoadReplay(int aTargets, std::span<const AccountConfig> aAccounts)
  : scheduler_(clock_, clock_, Settings())
{
  scheduler_.SetAccounts(aAccounts);
  for (int i = 0; i < aTargets; ++i) {
    TargetInfo info;
    info.id_ = "i-" + std::to_string(1000 + i);
    info.service_ = "s";
    info.address_ = { "10.0.0.1", 80 };
    info.capacity_ = { kTargetCpu, 65536, 0 };
    info.startedAt_ = 1;
    targets_[info.id_];
    scheduler_.RegisterTarget(info);
  }
}

JobRecord LoadReplay::RecordOf(const Arrival& aArrival, std::uint64_t aNumber)
{
  JobRecord record;
  std::string number = std::to_string(aNumber);
  record.id_ = std::string(16 - number.size(), '0') + number;
  record.queue_ = "q";
  record.service_ = "s";
  record.account_ = aArrival.account_;
  record.stretch_ = kStretch;
  record.objectiveBase_ = kObjectiveBase;
  StepSpec step;
  step.tasks_ = aArrival.tasks_;
  step.taskResources_ = { aArrival.cpu_, 512, 0 };
  step.estimate_ = aArrival.taskTime_;
  record.spec_.steps_.push_back(step);
  return record;
}

void LoadReplay::HandIn(Outcome& aOutcome, std::uint64_t aNumber)
{
  JobRecord record = RecordOf(aOutcome.arrival_, aNumber);
  record.acceptedAt_ = clock_.Now();
  aOutcome.id_ = record.id_;
  if (!admit_(scheduler_, record)) {
    aOutcome.rejected_ = true;
    return;
  }
  taskTimes_[record.id_] = aOutcome.arrival_.taskTime_;
  scheduler_.AddJob(std::move(record), ++revision_);
}

void LoadReplay::EndRuns()
{
  for (auto& [id, target] : targets_) {
    std::erase_if(target.endsAt_, [&, &ended = target](const auto& aEntry) {
      if (aEntry.second > clock_.Now()) {
        return false;
      }
      ended.ended_.push_back({ ++ended.lastEnd_,
                               aEntry.first.first,
                               aEntry.first.second,
                               RunEnd::Done,
                               "" });
      return true;
    });
  }
}

void LoadReplay::AnswerHold(const std::string& aTarget, const HoldOrder& aOrder)
{
  FakeTarget& target = targets_.at(aTarget);
  std::erase_if(target.ended_, [&](const EndedRun& aEnd) {
    return aEnd.number_ <= aOrder.acknowledged_;
  });
  HoldAnswer answer;
  answer.end_ = OrderEnd::Done;
  answer.clock_ = clock_.Now().count();
  answer.startedAt_ = 1;
  answer.ended_ = target.ended_;
  for (const auto& [key, endsAt] : target.endsAt_) {
    answer.running_.push_back({ key.first, key.second, "", 50, 0 });
  }
  scheduler_.OnHold(aTarget, answer);
}

void LoadReplay::Carry(const SchedulerOrder& aOrder)
{
  OrderAnswer done;
  done.end_ = OrderEnd::Done;
  done.clock_ = clock_.Now().count();
  if (const auto* hold = std::get_if<TargetHold>(&aOrder)) {
    AnswerHold(hold->target_, hold->order_);
  } else if (const auto* start = std::get_if<TargetStart>(&aOrder)) {
    const StartOrder& order = start->order_;
    RunKey key{ order.task_, order.run_ };
    targets_.at(start->target_).endsAt_[key] =
      clock_.Now() + taskTimes_.at(order.task_.job_);
    scheduler_.OnStart(start->target_, key, done);
  } else if (const auto* save = std::get_if<SaveProgress>(&aOrder)) {
    scheduler_.OnSaved(*save, ++revision_);
  } else if (std::holds_alternative<SaveRoster>(aOrder)) {
    scheduler_.OnRosterSaved(true);
  }
}

std::vector<LoadReplay::Outcome> LoadReplay::Run(std::vector<Arrival> aArrivals,
                                                 Millis aTail)
{
  // Lets the scheduler hold all targets and save its roster first.
  for (int i = 0; i < 3; ++i) {
    for (const SchedulerOrder& order : scheduler_.Decide()) {
      Carry(order);
    }
    clock_.Advance(kStep);
  }
  std::vector<Outcome> outcomes;
  std::vector<std::size_t> open;
  Millis begin = clock_.Now();
  Millis end = aArrivals.back().at_ + aTail;
  for (Millis now{ 0 }; now <= end; now = clock_.Now() - begin) {
    while (outcomes.size() < aArrivals.size() &&
           aArrivals[outcomes.size()].at_ <= now) {
      outcomes.push_back({ aArrivals[outcomes.size()] });
      HandIn(outcomes.back(), outcomes.size());
      if (!outcomes.back().rejected_) {
        open.push_back(outcomes.size() - 1);
      }
    }
    EndRuns();
    for (const SchedulerOrder& order : scheduler_.Decide()) {
      Carry(order);
    }
    std::erase_if(open, [&](std::size_t aIndex) {
      bool done =
        scheduler_.StateOf(outcomes[aIndex].id_) == JobState::Complete;
      if (done) {
        outcomes[aIndex].completeAt_ = now;
      }
      return done;
    });
    clock_.Advance(kStep);
  }
  return outcomes;
}

double MeanWorth(std::span<const LoadReplay::Outcome> aOutcomes,
                 const std::function<bool(const LoadReplay::Outcome&)>& aCounts)
{
  double sum = 0;
  double count = 0;
  for (const LoadReplay::Outcome& outcome : aOutcomes) {
    if (aCounts(outcome)) {
      sum += outcome.Worth();
      count += 1;
    }
  }
  return count == 0 ? 0 : sum / count;
}

} // namespace coltsfootshed
