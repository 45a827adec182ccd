/// \file
/// Measures the processor time of a service's scheduler in a replayed peak:
/// jobs arrive at several times the mean rate, on targets that answer after two
/// milliseconds. Prints, for several numbers of targets, the processor time for
/// each second of the load and for each started task.

#include "coltsfootshed/Scheduling/Scheduler.h"

#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <queue>

using namespace coltsfootshed;

namespace {

class LoadClock final : public Clock
{
public:
  Millis Now() const override { return now_; }
  Millis now_{ 1000 };
};

constexpr Millis kAnswerDelay{ 2 };
constexpr Millis kDecisionDelay{ 4 };
constexpr Millis kTaskTime{ 800 };
constexpr Millis kLoadTime{ 20000 };
constexpr int kTasksPerStep = 8;
constexpr std::int64_t kTaskCpu = 4500;
constexpr std::int64_t kTargetCpu = 32000;

/// A target that carries out orders; its runs end after kTaskTime.
struct LoadTarget
{
  std::map<RunKey, Millis> runs_; ///< and when each ends
  std::vector<EndedRun> ended_;
  std::uint64_t lastEnd_ = 0;
};

class SchedulerLoad
{
public:
  /// aLoad is the work that arrives, as a part of what the targets can do.
  SchedulerLoad(int aTargets, double aLoad)
    : scheduler_(clock_, clock_, Settings())
    , jobsPerSecond_(aLoad * static_cast<double>(aTargets * kTargetCpu) /
                     (2 * kTasksPerStep * kTaskCpu) /
                     (static_cast<double>(kTaskTime.count()) / 1000))
  {
    for (int i = 0; i < aTargets; ++i) {
      TargetInfo info;
      info.id_ = "i-" + std::to_string(1000 + i);
      info.service_ = "s";
      info.address_ = { "10.0.0.1", 80 };
      info.capacity_ = { kTargetCpu, 65536, 0 };
      info.labels_ = { "a", "r" + std::to_string(i / 12) };
      info.startedAt_ = 1;
      scheduler_.RegisterTarget(info);
    }
  }

  /// Replays the load and prints a row of the table.
  void Run()
  {
    Millis end = clock_.now_ + kLoadTime;
    double nextJob = static_cast<double>(clock_.now_.count());
    ScheduleDecision();
    while (clock_.now_ < end) {
      while (nextJob <= static_cast<double>(clock_.now_.count())) {
        AddJob();
        nextJob += 1000.0 / jobsPerSecond_;
      }
      while (!events_.empty() && events_.top().at_ <= clock_.now_) {
        std::function<void()> act = events_.top().act_;
        events_.pop();
        act();
      }
      if (decideAt_ <= clock_.now_) {
        Decide();
      }
      clock_.now_ += Millis(1);
    }
    double seconds = static_cast<double>(cpu_) / CLOCKS_PER_SEC;
    double loadSeconds = static_cast<double>(kLoadTime.count()) / 1000;
    std::printf("%7zu %9.1f %9d %11d %12.4f %13.1f\n",
                scheduler_.Targets().size(),
                jobsPerSecond_,
                starts_,
                decisions_,
                seconds / loadSeconds,
                1e6 * seconds / std::max(1, starts_));
  }

private:
  struct Event
  {
    Millis at_;
    std::uint64_t number_;
    std::function<void()> act_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(at_, number_) > std::tie(aOther.at_, aOther.number_);
    }
  };

  static SchedulerSettings Settings()
  {
    SchedulerSettings settings;
    settings.service_ = "s";
    settings.fence_ = 1;
    return settings;
  }

  /// Adds the processor time of a call to the scheduler.
  template<typename Call>
  auto Measured(const Call& aCall)
  {
    std::clock_t start = std::clock();
    struct Stop
    {
      std::clock_t start_;
      std::clock_t& sum_;
      ~Stop() { sum_ += std::clock() - start_; }
    } stop{ start, cpu_ };
    return aCall();
  }

  void At(Millis aTime, std::function<void()> aAct)
  {
    events_.push({ aTime, ++eventCount_, std::move(aAct) });
  }

  void ScheduleDecision()
  {
    decideAt_ = std::min(decideAt_, clock_.now_ + kDecisionDelay);
  }

  void AddJob()
  {
    JobRecord record;
    char id[17];
    std::snprintf(id, sizeof(id), "%016d", ++jobCount_ * 7919 % 100000007);
    record.id_ = id;
    record.service_ = "s";
    record.queue_ = "q";
    record.acceptedAt_ = clock_.now_;
    record.stretch_ = 1.6;
    record.objectiveBase_ = Millis(600);
    StepSpec step;
    step.tasks_ = kTasksPerStep;
    step.taskResources_ = { kTaskCpu, 1024, 0 };
    step.estimate_ = kTaskTime;
    step.image_ = "image";
    record.spec_.steps_ = { step, step };
    record.spec_.steps_[1].after_ = { 0 };
    Measured([&] { scheduler_.AddJob(record, 1000); });
    ScheduleDecision();
  }

  void Decide()
  {
    ++decisions_;
    auto orders = Measured([&] { return scheduler_.Decide(); });
    decideAt_ = std::max(scheduler_.NextDue(), clock_.now_ + kDecisionDelay);
    for (SchedulerOrder& order : orders) {
      Carry(order);
    }
  }

  void Carry(SchedulerOrder& aOrder)
  {
    if (auto* hold = std::get_if<TargetHold>(&aOrder)) {
      LoadTarget& target = targets_[hold->target_];
      std::erase_if(target.ended_, [&](const EndedRun& aEnd) {
        return aEnd.number_ <= hold->order_.acknowledged_;
      });
      bool waits = hold->order_.wait_ > Millis(0) && target.ended_.empty();
      Millis answerAt = clock_.now_ + kAnswerDelay;
      if (waits) {
        answerAt = clock_.now_ + hold->order_.wait_;
        for (const auto& [run, endsAt] : target.runs_) {
          answerAt = std::min(answerAt, endsAt + kAnswerDelay);
        }
      }
      At(answerAt, [this, id = hold->target_] { AnswerHold(id); });
    } else if (auto* start = std::get_if<TargetStart>(&aOrder)) {
      ++starts_;
      RunKey key{ start->order_.task_, start->order_.run_ };
      targets_[start->target_].runs_[key] = clock_.now_ + kTaskTime;
      At(clock_.now_ + kAnswerDelay, [this, id = start->target_, key] {
        Measured([&] { scheduler_.OnStart(id, key, { OrderEnd::Done, {} }); });
        ScheduleDecision();
      });
    } else if (auto* save = std::get_if<SaveProgress>(&aOrder)) {
      At(clock_.now_ + 3 * kAnswerDelay, [this, saved = *save] {
        Measured([&] { scheduler_.OnSaved(saved, ++revision_); });
        ScheduleDecision();
      });
    } else if (std::holds_alternative<SaveRoster>(aOrder)) {
      At(clock_.now_ + 3 * kAnswerDelay, [this] {
        scheduler_.OnRosterSaved(true);
        ScheduleDecision();
      });
    }
  }

  void AnswerHold(const std::string& aId)
  {
    LoadTarget& target = targets_[aId];
    HoldAnswer answer;
    answer.end_ = OrderEnd::Done;
    answer.clock_ = clock_.now_.count();
    answer.startedAt_ = 1;
    for (auto at = target.runs_.begin(); at != target.runs_.end();) {
      if (at->second > clock_.now_) {
        answer.running_.push_back(
          { at->first.first, at->first.second, "", 0, 0 });
        ++at;
        continue;
      }
      target.ended_.push_back({ ++target.lastEnd_,
                                at->first.first,
                                at->first.second,
                                RunEnd::Done,
                                "" });
      at = target.runs_.erase(at);
    }
    answer.ended_ = target.ended_;
    Measured([&] { scheduler_.OnHold(aId, answer); });
    ScheduleDecision();
  }

  LoadClock clock_;
  Scheduler scheduler_;
  double jobsPerSecond_;
  std::map<std::string, LoadTarget> targets_;
  std::priority_queue<Event> events_;
  std::uint64_t eventCount_ = 0;
  Millis decideAt_ = Millis::max();
  std::clock_t cpu_ = 0;
  int jobCount_ = 0;
  int starts_ = 0;
  int decisions_ = 0;
  Revision revision_ = 1000;
};

} // namespace

int main()
{
  for (double load : { 0.8, 1.5 }) {
    std::printf("load %.1f\ntargets    jobs/s    starts   decisions   "
                "cores used  us for a start\n",
                load);
    for (int targets : { 16, 32, 64, 128, 256 }) {
      SchedulerLoad(targets, load).Run();
    }
  }
  return 0;
}
