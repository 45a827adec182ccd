#include "coltsfootshed/Jobs/Job.h"

#include "coltsfootshed/Support/JsonReader.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace coltsfootshed {

static constexpr std::array<std::string_view, 5> kStateNames = { "queued",
                                                                 "running",
                                                                 "complete",
                                                                 "failed",
                                                                 "cancelled" };

std::string_view NameOf(JobState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

std::optional<JobState> ParseJobState(std::string_view aText)
{
  auto found = std::find(kStateNames.begin(), kStateNames.end(), aText);
  if (found == kStateNames.end()) {
    return std::nullopt;
  }
  return static_cast<JobState>(found - kStateNames.begin());
}

bool Occurrence::IsDone() const
{
  return std::all_of(steps_.begin(),
                     steps_.end(),
                     [](const StepProgress& aStep) { return aStep.IsDone(); });
}

bool Occurrence::IsReady(const StepSpec& aStep) const
{
  return std::all_of(
    aStep.after_.begin(), aStep.after_.end(), [this](int aPrerequisite) {
      return steps_.at(static_cast<std::size_t>(aPrerequisite)).IsDone();
    });
}

Job::Job(JobRecord aRecord, Millis aNow, Millis aAge)
  : record_(std::move(aRecord))
  , acceptedAt_(aNow - std::max(aAge, Millis(0)))
{
  if (!IsPeriodic()) {
    occurrences_.emplace(0, NewOccurrence(0));
    createdCount_ = 1;
  }
}

Occurrence Job::NewOccurrence(int aNumber) const
{
  Occurrence occurrence;
  occurrence.number_ = aNumber;
  for (const StepSpec& step : record_.spec_.steps_) {
    occurrence.steps_.emplace_back().tasks_.resize(
      static_cast<std::size_t>(step.tasks_));
  }
  return occurrence;
}

bool Job::IsLongRunning() const
{
  return std::any_of(record_.spec_.steps_.begin(),
                     record_.spec_.steps_.end(),
                     [](const StepSpec& aStep) { return aStep.longRunning_; });
}

bool Job::CreateDueOccurrences(Millis aUnixTime)
{
  bool any = false;
  const JobSpec& spec = record_.spec_;
  while (!ended_ && IsPeriodic() && createdCount_ < spec.occurrences_ &&
         aUnixTime >= spec.firstDue_ + createdCount_ * spec.interval_) {
    CreateNext();
    any = true;
  }
  return any;
}

bool Job::CreateOccurrencesThrough(int aNumber)
{
  bool any = false;
  while (!ended_ && IsPeriodic() && createdCount_ <= aNumber &&
         createdCount_ < record_.spec_.occurrences_) {
    CreateNext();
    any = true;
  }
  return any;
}

void Job::CreateNext()
{
  occurrences_.emplace(createdCount_, NewOccurrence(createdCount_));
  ++createdCount_;
}

TaskProgress* Job::Find(const TaskName& aTask)
{
  auto found = occurrences_.find(aTask.occurrence_);
  if (found == occurrences_.end() || SpecOf(aTask) == nullptr) {
    return nullptr;
  }
  auto& tasks =
    found->second.steps_.at(static_cast<std::size_t>(aTask.step_)).tasks_;
  auto index = static_cast<std::size_t>(aTask.index_);
  return index < tasks.size() ? &tasks[index] : nullptr;
}

const StepSpec* Job::SpecOf(const TaskName& aTask) const
{
  auto step = static_cast<std::size_t>(aTask.step_);
  return step < record_.spec_.steps_.size() ? &record_.spec_.steps_[step]
                                            : nullptr;
}

void Job::Begin()
{
  if (state_ == JobState::Queued) {
    state_ = JobState::Running;
  }
}

void Job::MarkDone(const TaskName& aTask)
{
  TaskProgress* task = Find(aTask);
  assert(task != nullptr && "the task must belong to the job");
  const StepSpec& spec = *SpecOf(aTask);
  if (task->done_ || spec.longRunning_) {
    return;
  }
  Begin();
  StepProgress& step = occurrences_.at(aTask.occurrence_)
                         .steps_.at(static_cast<std::size_t>(aTask.step_));
  if (spec.gang_) {
    // A gang ends as a whole: one member's end counts for all.
    for (TaskProgress& member : step.tasks_) {
      member.done_ = true;
    }
    step.done_ = spec.tasks_;
  } else {
    task->done_ = true;
    ++step.done_;
  }
  CheckComplete();
}

void Job::CheckComplete()
{
  // Drops the done occurrences of a periodic job and keeps only their count.
  std::erase_if(occurrences_, [this](const auto& aEntry) {
    bool isDone = IsPeriodic() && aEntry.second.IsDone();
    finishedCount_ += isDone ? 1 : 0;
    return isDone;
  });
  int expected = IsPeriodic() ? record_.spec_.occurrences_ : 1;
  bool complete = IsPeriodic() ? finishedCount_ == expected
                               : occurrences_.begin()->second.IsDone();
  if (complete && !ended_) {
    state_ = JobState::Complete;
    ended_ = true;
  }
}

void Job::MarkFailed(const TaskName& aTask, RunNumber aRun)
{
  const StepSpec& spec = *SpecOf(aTask);
  TaskName counted = aTask;
  counted.index_ = spec.gang_ ? 0 : aTask.index_;
  TaskProgress* task = Find(counted);
  if (task == nullptr || task->done_ || spec.longRunning_) {
    return;
  }
  Begin();
  task->failedRuns_.insert(aRun);
  if (static_cast<int>(task->failedRuns_.size()) >= record_.maxAttempts_ &&
      !ended_) {
    state_ = JobState::Failed;
    ended_ = true;
  }
}

void Job::Cancel()
{
  if (!ended_) {
    state_ = JobState::Cancelled;
    ended_ = true;
  }
}

static Json TasksToJson(const StepProgress& aStep)
{
  std::string done;
  Json failed = Json::array();
  Json checkpoints = Json::array();
  for (std::size_t i = 0; i < aStep.tasks_.size(); ++i) {
    const TaskProgress& task = aStep.tasks_[i];
    done += task.done_ ? '1' : '0';
    if (!task.done_ && !task.failedRuns_.empty()) {
      failed.push_back({ i, task.failedRuns_ });
    }
    if (!task.done_ && !task.checkpoint_.empty()) {
      checkpoints.push_back({ i, task.checkpoint_ });
    }
  }
  return { { "done", done }, { "failed", failed }, { "saved", checkpoints } };
}

std::string Job::EncodeProgress() const
{
  Json progress = { { "service", record_.service_ },
                    { "state", NameOf(state_) },
                    { "created", createdCount_ },
                    { "finished", finishedCount_ } };
  Json occurrences = Json::array();
  if (!ended_) {
    for (const auto& [number, occurrence] : occurrences_) {
      Json steps = Json::array();
      for (const StepProgress& step : occurrence.steps_) {
        steps.push_back(TasksToJson(step));
      }
      occurrences.push_back({ number, steps });
    }
  }
  progress["occurrences"] = occurrences;
  return progress.dump();
}

/// Returns the task that a row of saved progress is about.
static TaskProgress& TaskOf(const Json& aRow, StepProgress& aStep)
{
  auto tasks = static_cast<std::int64_t>(aStep.tasks_.size());
  auto index = IntegerOf(aRow.at(0), { 0, tasks - 1 });
  return aStep.tasks_.at(static_cast<std::size_t>(index));
}

static void TasksFromJson(const Json& aJson, StepProgress& aStep)
{
  std::string done = aJson.at("done");
  for (std::size_t i = 0; i < aStep.tasks_.size() && i < done.size(); ++i) {
    aStep.tasks_[i].done_ = done[i] == '1';
    aStep.done_ += done[i] == '1' ? 1 : 0;
  }
  for (const Json& row : aJson.at("failed")) {
    for (const Json& run : row.at(1)) {
      TaskOf(row, aStep)
        .failedRuns_.insert(static_cast<RunNumber>(IntegerOf(run, kAnyCount)));
    }
  }
  for (const Json& row : aJson.at("saved")) {
    row.at(1).get_to(TaskOf(row, aStep).checkpoint_);
  }
}

Job::SavedProgress Job::ReadProgress(const Json& aJson) const
{
  SavedProgress saved;
  auto state = ParseJobState(aJson.at("state").get<std::string>());
  if (!state) {
    throw std::invalid_argument("no known state");
  }
  saved.state_ = *state;
  saved.ended_ = *state != JobState::Queued && *state != JobState::Running;
  int occurrences = IsPeriodic() ? record_.spec_.occurrences_ : 1;
  saved.createdCount_ =
    static_cast<int>(IntegerOf(aJson.at("created"), { 0, occurrences }));
  saved.finishedCount_ =
    static_cast<int>(IntegerOf(aJson.at("finished"), { 0, occurrences }));
  for (const Json& row : aJson.at("occurrences")) {
    Occurrence occurrence = NewOccurrence(
      static_cast<int>(IntegerOf(row.at(0), { 0, saved.createdCount_ - 1 })));
    for (std::size_t i = 0; i < occurrence.steps_.size(); ++i) {
      TasksFromJson(row.at(1).at(i), occurrence.steps_[i]);
    }
    saved.occurrences_.emplace(occurrence.number_, std::move(occurrence));
  }
  bool lacksItsOccurrence =
    !saved.ended_ && !IsPeriodic() && saved.occurrences_.size() != 1;
  if (lacksItsOccurrence) {
    throw std::invalid_argument("a job that has not ended has no occurrence");
  }
  return saved;
}

bool Job::LoadProgress(std::string_view aText)
{
  auto saved = ReadJson<SavedProgress>(
    aText,
    kOwnDocument,
    "read saved progress",
    record_.id_,
    [this](const Json& aJson) { return ReadProgress(aJson); });
  if (!saved) {
    return false;
  }
  state_ = saved->state_;
  ended_ = saved->ended_;
  createdCount_ = saved->createdCount_;
  finishedCount_ = saved->finishedCount_;
  occurrences_ = std::move(saved->occurrences_);
  return true;
}

} // namespace coltsfootshed
