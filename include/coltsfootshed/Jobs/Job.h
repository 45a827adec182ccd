/// \file
/// An accepted job with the progress of its tasks: what is done, which runs
/// failed, what is at work, and the part of it that is saved.
#ifndef COLTSFOOTSHED_JOBS_JOB_H
#define COLTSFOOTSHED_JOBS_JOB_H

#include "coltsfootshed/Jobs/JobSpec.h"
#include "coltsfootshed/Jobs/TaskName.h"
#include "coltsfootshed/Store/KeyValueStore.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Rises with every start of a task, also across schedulers.
using RunNumber = std::uint64_t;

enum class JobState
{
  Queued,
  Running,
  Complete,
  Failed,
  Cancelled
};

/// Lower-case name of a state, as in stored progress and on peer links.
std::string_view NameOf(JobState aState);
std::optional<JobState> ParseJobState(std::string_view aText);

/// A run that takes room on a target, or may do so.
struct LiveRun
{
  std::string target_;
  RunNumber run_ = 0;
};

struct TaskProgress
{
  bool done_ = false;
  std::set<RunNumber> failedRuns_; ///< of a gang: kept by task 0 for all
  std::string checkpoint_;
  std::vector<LiveRun> live_;
  std::set<std::string> failedOn_; ///< targets; not saved
  Millis notBefore_{ 0 };          ///< delay before the next start; not saved
};

struct StepProgress
{
  std::vector<TaskProgress> tasks_;
  int done_ = 0;

  bool IsDone() const { return done_ == static_cast<int>(tasks_.size()); }
};

/// One time that the steps run.
struct Occurrence
{
  int number_ = 0;
  std::vector<StepProgress> steps_;

  bool IsDone() const;
  /// True if all steps that a step waits for are done.
  bool IsReady(const StepSpec& aStep) const;
};

/// Counts changes of all jobs of a scheduler; a change is durable once the
/// saved mark of its job has reached it.
using ChangeNumber = std::uint64_t;

class Job
{
public:
  Job(JobRecord aRecord, Millis aSeenAt, Millis aAge);

  const JobRecord& Record() const { return record_; }
  /// When the client handed it in, on the scheduler's clock.
  Millis AcceptedAt() const { return acceptedAt_; }
  bool IsTimed() const { return record_.spec_.occurrences_ > 0; }
  bool IsLasting() const;
  bool IsEnded() const { return ended_; }
  JobState State() const { return state_; }

  /// Creates the occurrences that are due at aTimeOfDay; returns whether any
  /// was created.
  bool CreateDue(Millis aTimeOfDay);
  /// Creates the occurrences up to one of which a target lists runs: an earlier
  /// scheduler has begun it, perhaps by a clock that is ahead. Returns whether
  /// any was created.
  bool CreateThrough(int aNumber);
  std::map<int, Occurrence>& Occurrences() { return occurrences_; }
  const std::map<int, Occurrence>& Occurrences() const { return occurrences_; }
  /// The progress of a task, or null if the job has no such task now.
  TaskProgress* Find(const TaskName& aTask);
  const StepSpec* SpecOf(const TaskName& aTask) const;

  void Begin();
  void MarkDone(const TaskName& aTask);
  /// Counts a failed run; ends the job when its attempts are used up.
  void MarkFailed(const TaskName& aTask, RunNumber aRun);
  void Cancel();

  /// Saved form of the progress.
  std::string EncodeProgress() const;
  /// Takes over saved progress; false if it cannot be read.
  bool LoadProgress(std::string_view aText);

  // Bookkeeping of what is durable, kept by the scheduler.
  ChangeNumber changed_ = 0;
  ChangeNumber saved_ = 0;
  Revision progressRevision_ = 0;
  Revision created_ = 0; ///< at which the store accepted the job

private:
  Occurrence NewOccurrence(int aNumber) const;
  void CreateNext();
  void CheckComplete();

  JobRecord record_;
  Millis acceptedAt_;
  JobState state_ = JobState::Queued;
  bool ended_ = false;
  int begun_ = 0;    ///< occurrences created so far
  int finished_ = 0; ///< occurrences done and forgotten
  std::map<int, Occurrence> occurrences_;
};

} // namespace coltsfootshed

#endif
