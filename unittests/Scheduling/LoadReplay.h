/// \file
/// Replays a load of jobs through a real scheduler, on targets that answer each
/// order at once and run each task for its estimated time, without a network.
#ifndef COLTSFOOTSHED_UNITTESTS_SCHEDULING_LOADREPLAY_H
#define COLTSFOOTSHED_UNITTESTS_SCHEDULING_LOADREPLAY_H

#include "Support/ManualClock.h"
#include "coltsfootshed/Scheduling/Scheduler.h"

#include <functional>

namespace coltsfootshed {

class LoadReplay
{
public:
  /// A job that is handed in; at_ counts from the start of the replay.
  struct Arrival
  {
    Millis at_{ 0 };
    std::string account_;
    int tasks_ = 8;
    std::int64_t cpu_ = 4000;
    Millis taskTime_{ 800 };
  };
  /// What became of a job. A job that was rejected has neither end nor value.
  struct Outcome
  {
    Arrival arrival_;
    std::string id_;
    bool rejected_ = false;
    std::optional<Millis> completeAt_;

    /// The worth of a job to its client: whole within its completion objective,
    /// little up to three times that, then none.
    double Worth() const;
  };

  LoadReplay(int aTargets, std::span<const AccountConfig> aAccounts);

  /// Called before a job is handed in; false rejects it.
  std::function<bool(const Scheduler&, const JobRecord&)> admit_ =
    [](const Scheduler&, const JobRecord&) { return true; };

  /// Replays arrivals, sorted by time, and aTail beyond the last of them.
  std::vector<Outcome> Run(std::vector<Arrival> aArrivals, Millis aTail);

private:
  struct FakeTarget
  {
    std::map<RunKey, Millis> endsAt_;
    std::vector<EndedRun> ended_;
    std::uint64_t lastEnd_ = 0;
  };

  static JobRecord RecordOf(const Arrival& aArrival, std::uint64_t aNumber);
  void HandIn(Outcome& aOutcome, std::uint64_t aNumber);
  void EndRuns();
  void Carry(const SchedulerOrder& aOrder);
  void AnswerHold(const std::string& aTarget, const HoldOrder& aOrder);

  ManualClock clock_;
  Scheduler scheduler_;
  std::map<std::string, FakeTarget> targets_;
  std::map<std::string, Millis> taskTimes_; ///< by job
  Revision revision_ = 1000;
};

/// Returns the mean worth of the outcomes that aCounts selects.
double MeanWorth(
  std::span<const LoadReplay::Outcome> aOutcomes,
  const std::function<bool(const LoadReplay::Outcome&)>& aCounts);

} // namespace coltsfootshed

#endif
