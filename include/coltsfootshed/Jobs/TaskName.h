/// \file
/// The name by which a task is known to targets: JOB.OCCURRENCE.STEP.INDEX.
#ifndef COLTSFOOTSHED_JOBS_TASKNAME_H
#define COLTSFOOTSHED_JOBS_TASKNAME_H

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootshed {

struct TaskName
{
  std::string job_;
  int occurrence_ = 0;
  int step_ = 0;
  int index_ = 0;

  // The linter takes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskName&) const = default;
  std::string Text() const;
  /// Name of the step, without the index.
  std::string StepText() const;
};

std::optional<TaskName> ParseTaskName(std::string_view aText);

} // namespace coltsfootshed

#endif
