/// \file
/// An accepted job with the progress of its tasks: which are done, which runs
/// failed and which are live. Part of the progress is stored.
#ifndef COLTSFOOTSHED_JOBS_JOB_H
#define COLTSFOOTSHED_JOBS_JOB_H

#include "coltsfootshed/Jobs/JobSpec.h"
#include "coltsfootshed/Jobs/TaskName.h"
#include "coltsfootshed/Store/KeyValueStore.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootshed {

/// Number of a run. Every start of a task has a higher number than the one
/// before, also if another scheduler has taken over in between.
using RunNumber = std::uint64_t;

enum class JobState
{
  Queued,
  Running,
  Complete,
  Failed,
  Cancelled
};

/// Returns the lower-case name of a state, as in stored progress and in peer
/// messages.
std::string_view NameOf(JobState aState);
std::optional<JobState> ParseJobState(std::string_view aText);

/// A run that uses, or may use, resources of a target.
struct LiveRun
{
  std::string target_;
  RunNumber run_ = 0;
};

struct TaskProgress
{
  bool done_ = false;
  std::set<RunNumber> failedRuns_; ///< task 0 holds those of a whole gang
  std::string checkpoint_;         ///< latest one, from a target; empty: none
  std::vector<LiveRun> liveRuns_;
  std::set<std::string> failedOn_; ///< targets; not saved
  Millis notBefore_{ 0 };          ///< earliest next start; not saved
  /// A target listed a run of it after this scheduler had taken over, and it
  /// has no other run; not saved.
  bool wasRunningAtTakeOver_ = false;
};

struct StepProgress
{
  std::vector<TaskProgress> tasks_;
  int done_ = 0;
  bool wasRunningAtTakeOver_ = false; ///< some of its tasks were; not saved

  bool IsDone() const { return done_ == static_cast<int>(tasks_.size()); }
};

/// One execution of all steps; a periodic job has several.
struct Occurrence
{
  int number_ = 0;
  std::vector<StepProgress> steps_;

  bool IsDone() const;
  /// Returns true if all steps that aStep depends on are done.
  bool IsReady(const StepSpec& aStep) const;
};

/// Number of a change, counted over all jobs of a scheduler. A change is
/// durable once lastSavedChange_ of its job has reached it.
using ChangeNumber = std::uint64_t;

class Job
{
public:
  /// aNow is the time on the scheduler's clock, aAge the time since an entry VM
  /// accepted the job. A negative age counts as 0.
  Job(JobRecord aRecord, Millis aNow, Millis aAge);

  const JobRecord& Record() const { return record_; }
  /// Returns when an entry VM accepted it, on the scheduler's clock.
  Millis AcceptedAt() const { return acceptedAt_; }
  bool IsPeriodic() const { return record_.spec_.occurrences_ > 0; }
  bool IsLongRunning() const;
  bool IsEnded() const { return ended_; }
  JobState State() const { return state_; }

  /// Creates the occurrences that are due at aUnixTime, in milliseconds since
  /// 1970. Returns whether any was created.
  bool CreateDueOccurrences(Millis aUnixTime);
  /// Creates the occurrences up to aNumber, of which a target lists runs: an
  /// earlier scheduler has begun it, perhaps because its clock is ahead.
  /// Returns whether any was created.
  bool CreateOccurrencesThrough(int aNumber);
  std::map<int, Occurrence>& Occurrences() { return occurrences_; }
  const std::map<int, Occurrence>& Occurrences() const { return occurrences_; }
  /// Returns the progress of a task, or null if the job has no such task now.
  TaskProgress* Find(const TaskName& aTask);
  /// Returns the step of a task, or null if the job has no such step.
  const StepSpec* SpecOf(const TaskName& aTask) const;

  /// Makes a queued job a running one.
  void Begin();
  /// Marks a task of this job as done, with its whole gang if it has one. Has
  /// no effect on a long-running task.
  void MarkDone(const TaskName& aTask);
  /// Counts a failed run once, and fails the job when the task has used up its
  /// attempts. Long-running tasks have no limit of attempts. The job must have
  /// the task's step.
  void MarkFailed(const TaskName& aTask, RunNumber aRun);
  void Cancel();

  /// Returns the stored form of the progress.
  std::string EncodeProgress() const;
  /// Loads stored progress. Returns false, and changes nothing, if it cannot be
  /// read.
  bool LoadProgress(std::string_view aText);

  // Persistence state, kept by the scheduler.
  ChangeNumber lastChange_ = 0;       ///< latest change
  ChangeNumber lastSavedChange_ = 0;  ///< latest change that is durable
  Revision progressRevision_ = 0;     ///< store revision of the saved progress
  Revision created_ = 0;              ///< store revision that created the job
  bool isProgressUnreadable_ = false; ///< its tasks may be done
  /// Became known when a successor may have led already, which starts jobs that
  /// were accepted under its leadership at once.
  bool mayBeSuccessors_ = false;
  /// Its account had sent more than its agreed rate when it arrived; not saved.
  bool isBeyondRate_ = false;

private:
  struct SavedProgress
  {
    JobState state_ = JobState::Queued;
    bool ended_ = false;
    int createdCount_ = 0;
    int finishedCount_ = 0;
    std::map<int, Occurrence> occurrences_;
  };

  /// Throws std::exception if the document is not the progress of this job.
  SavedProgress ReadProgress(const nlohmann::json& aJson) const;
  Occurrence NewOccurrence(int aNumber) const;
  void CreateNext();
  void CheckComplete();

  JobRecord record_;
  Millis acceptedAt_;
  JobState state_ = JobState::Queued;
  bool ended_ = false;
  int createdCount_ = 0;  ///< occurrences created so far
  int finishedCount_ = 0; ///< occurrences done and dropped
  std::map<int, Occurrence> occurrences_;
};

} // namespace coltsfootshed

#endif
