#include "coltsfootshed/Jobs/JobSpec.h"

#include "coltsfootshed/Support/JsonReader.h"

#include <algorithm>
#include <limits>

namespace coltsfootshed {

static constexpr std::size_t kIdLength = 16;
/// Most tasks of one step, so that a record cannot exhaust the memory.
static constexpr int kMaxTasks = 100000;
/// Times of the Unix epoch and durations; a sum of some of them fits into 64
/// bits.
static constexpr IntegerRange kAnyTime{ -kMaxExactInteger, kMaxExactInteger };

Resources& Resources::operator+=(const Resources& aOther)
{
  cpu_ += aOther.cpu_;
  memory_ += aOther.memory_;
  gpu_ += aOther.gpu_;
  return *this;
}

Resources& Resources::operator-=(const Resources& aOther)
{
  cpu_ -= aOther.cpu_;
  memory_ -= aOther.memory_;
  gpu_ -= aOther.gpu_;
  return *this;
}

bool Resources::FitsInto(const Resources& aRoom) const
{
  return (cpu_ == 0 || cpu_ <= aRoom.cpu_) &&
         (memory_ == 0 || memory_ <= aRoom.memory_) &&
         (gpu_ == 0 || gpu_ <= aRoom.gpu_);
}

bool IsJobId(std::string_view aText)
{
  return aText.size() == kIdLength &&
         aText.find_first_not_of("0123456789abcdefABCDEF") ==
           std::string_view::npos;
}

static Json StepToJson(const StepSpec& aStep)
{
  return Json::array({ aStep.tasks_,
                       aStep.taskResources_.cpu_,
                       aStep.taskResources_.memory_,
                       aStep.taskResources_.gpu_,
                       aStep.estimate_.count(),
                       aStep.after_,
                       aStep.gang_,
                       aStep.sameRack_,
                       aStep.speculative_,
                       aStep.checkpoints_,
                       aStep.longRunning_,
                       aStep.bestEffort_,
                       aStep.label_,
                       aStep.dataRack_,
                       aStep.image_,
                       aStep.maxPerTarget_,
                       aStep.latencyObjective_.count(),
                       aStep.maxUnavailableTasks_ });
}

static StepSpec StepFromJson(const Json& aJson)
{
  std::size_t at = 0;
  auto next = [&](auto& aField) { aJson.at(at++).get_to(aField); };
  auto nextInteger = [&](auto& aField) {
    using Integer = std::remove_reference_t<decltype(aField)>;
    IntegerRange range{
      std::max<std::int64_t>(std::numeric_limits<Integer>::min(),
                             -kMaxExactInteger),
      std::min<std::int64_t>(std::numeric_limits<Integer>::max(),
                             kMaxExactInteger)
    };
    aField = static_cast<Integer>(IntegerOf(aJson.at(at++), range));
  };
  auto nextMillis = [&](Millis& aField) {
    aField = Millis(IntegerOf(aJson.at(at++), kAnyTime));
  };
  StepSpec step;
  nextInteger(step.tasks_);
  nextInteger(step.taskResources_.cpu_);
  nextInteger(step.taskResources_.memory_);
  nextInteger(step.taskResources_.gpu_);
  nextMillis(step.estimate_);
  next(step.after_);
  next(step.gang_);
  next(step.sameRack_);
  next(step.speculative_);
  next(step.checkpoints_);
  next(step.longRunning_);
  next(step.bestEffort_);
  next(step.label_);
  next(step.dataRack_);
  next(step.image_);
  nextInteger(step.maxPerTarget_);
  nextMillis(step.latencyObjective_);
  nextInteger(step.maxUnavailableTasks_);
  return step;
}

/// Checks what the scheduler relies on in the last of a record's steps.
static void CheckStep(const std::vector<StepSpec>& aSteps)
{
  const StepSpec& last = aSteps.back();
  auto isEarlier = [&](int aStep) {
    return aStep >= 0 && static_cast<std::size_t>(aStep) + 1 < aSteps.size();
  };
  bool dependsOnEarlier =
    std::all_of(last.after_.begin(), last.after_.end(), isEarlier);
  if (last.tasks_ < 1 || last.tasks_ > kMaxTasks || !dependsOnEarlier) {
    throw std::invalid_argument("tasks or order of steps out of range");
  }
}

std::string EncodeRecord(const JobRecord& aRecord)
{
  Json steps = Json::array();
  for (const StepSpec& step : aRecord.spec_.steps_) {
    steps.push_back(StepToJson(step));
  }
  Json record = { { "id", aRecord.id_ },
                  { "queue", aRecord.queue_ },
                  { "service", aRecord.service_ },
                  { "payload", aRecord.spec_.payload_ },
                  { "steps", steps },
                  { "occurrences", aRecord.spec_.occurrences_ },
                  { "first_due", aRecord.spec_.firstDue_.count() },
                  { "interval", aRecord.spec_.interval_.count() },
                  { "priority", aRecord.priority_ },
                  { "attempts", aRecord.maxAttempts_ },
                  { "stretch", aRecord.stretch_ },
                  { "aim", aRecord.objectiveBase_.count() },
                  { "accepted", aRecord.acceptedAt_.count() },
                  { "advised", aRecord.needsTickets_ } };
  if (!aRecord.account_.empty()) {
    record["account"] = aRecord.account_;
  }
  return record.dump();
}

Result<JobRecord> DecodeRecord(std::string_view aText)
{
  auto read = [](const Json& aJson) {
    JobRecord record;
    record.id_ = aJson.at("id");
    record.queue_ = aJson.at("queue");
    record.service_ = aJson.at("service");
    record.spec_.payload_ = aJson.at("payload");
    for (const Json& step : aJson.at("steps")) {
      record.spec_.steps_.push_back(StepFromJson(step));
      CheckStep(record.spec_.steps_);
    }
    auto integer = [&](const char* aName, IntegerRange aRange) {
      return IntegerOf(aJson.at(aName), aRange);
    };
    record.spec_.occurrences_ =
      static_cast<int>(integer("occurrences", kSmallCount));
    record.spec_.firstDue_ = Millis(integer("first_due", kAnyTime));
    record.spec_.interval_ = Millis(integer("interval", kAnyTime));
    record.priority_ = static_cast<int>(
      integer("priority", { -kSmallCount.max_, kSmallCount.max_ }));
    record.maxAttempts_ = static_cast<int>(integer("attempts", kSmallCount));
    record.stretch_ = aJson.at("stretch");
    record.objectiveBase_ = Millis(integer("aim", kAnyTime));
    record.acceptedAt_ = Millis(integer("accepted", kAnyTime));
    record.needsTickets_ = aJson.at("advised");
    record.account_ = Field<std::string>(aJson, "account", "");
    if (!IsJobId(record.id_) || record.spec_.steps_.empty()) {
      throw std::invalid_argument("no valid id or steps");
    }
    return record;
  };
  return ReadJson<JobRecord>(
    aText, kOwnDocument, "decode a job record", "", read);
}

} // namespace coltsfootshed
