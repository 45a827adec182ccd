#include "coltsfootshed/Jobs/JobSpec.h"

#include <nlohmann/json.hpp>

namespace coltsfootshed {

using Json = nlohmann::json;

static constexpr std::size_t kIdLength = 16;

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
  auto nextMillis = [&](Millis& aField) {
    aField = Millis(aJson.at(at++).get<std::int64_t>());
  };
  StepSpec step;
  next(step.tasks_);
  next(step.taskResources_.cpu_);
  next(step.taskResources_.memory_);
  next(step.taskResources_.gpu_);
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
  next(step.maxPerTarget_);
  nextMillis(step.latencyObjective_);
  next(step.maxUnavailableTasks_);
  return step;
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
  return record.dump();
}

Result<JobRecord> DecodeRecord(std::string_view aText)
{
  try {
    Json json = Json::parse(aText);
    JobRecord record;
    record.id_ = json.at("id");
    record.queue_ = json.at("queue");
    record.service_ = json.at("service");
    record.spec_.payload_ = json.at("payload");
    for (const Json& step : json.at("steps")) {
      record.spec_.steps_.push_back(StepFromJson(step));
    }
    record.spec_.occurrences_ = json.at("occurrences");
    record.spec_.firstDue_ = Millis(json.at("first_due"));
    record.spec_.interval_ = Millis(json.at("interval"));
    record.priority_ = json.at("priority");
    record.maxAttempts_ = json.at("attempts");
    record.stretch_ = json.at("stretch");
    record.objectiveBase_ = Millis(json.at("aim"));
    record.acceptedAt_ = Millis(json.at("accepted"));
    record.needsTickets_ = json.at("advised");
    return record;
  } catch (const Json::exception& failure) {
    return Fail("decode job record", "", failure.what());
  }
}

} // namespace coltsfootshed
